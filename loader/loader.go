// Package loader reads the settings of the daemon from a file of JSON with comments.
//
// Every setting is declared once, with its form and meaning, in the table that the function
// sections returns. Parsing, `rilld settings` and docs/SETTINGS.md all use that table. All faults
// of a file are reported, with file, line and column.
//
// # Usage
//
//	settings, err := loader.Load("rilld.jsonc")
//	var faults *locator.FaultsError
//	if errors.As(err, &faults) {
//		for _, fault := range faults.Faults {
//			fmt.Println(fault)
//		}
//	}
//
// Describe returns all settings with their defaults:
//
//	for _, field := range loader.Describe() {
//		fmt.Println(field.Name, field.Default, field.Meaning)
//	}
package loader

import (
	"log/slog"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/locator"
	"github.com/rosemaryrill/rosemaryrill/registrar"
)

// Error is the class of all errors of this package.
var Error = errs.Class("loader")

// Settings are the settings of a daemon.
type Settings struct {
	// Name is unique among all daemons of the fleet. Load generates a name if the file has none.
	Name       string
	DataCentre string

	CallersListen   netip.AddrPort
	PeersListen     netip.AddrPort
	OperatorsListen netip.AddrPort
	// PeersAdvertise is the address at which other daemons reach the peers' port. Default:
	// PeersListen.
	PeersAdvertise netip.AddrPort

	// Platform contains the addresses of the platform's key-value service.
	Platform []netip.AddrPort
	// SeedPeers are the addresses of the peers' ports of daemons to contact if the platform's host
	// list cannot be read.
	SeedPeers []netip.AddrPort

	TLS TLS
	// OperatorsTokenDigest is the digest of the operators' token; zero means no token.
	OperatorsTokenDigest registrar.KeyDigest

	Limits Limits
	// LeaveNotice is how long a stopping daemon fails /readyz while it still accepts new
	// connections.
	LeaveNotice time.Duration
	// DrainBound is how long a stopping daemon waits for its open requests.
	DrainBound time.Duration

	Log       Log
	Telemetry Telemetry
	// Hosted applies to a daemon that runs on a hosting platform, started by rilld front.
	Hosted Hosted
	// FirstConfigurationFile is the path of a configuration file that the daemon commits if the
	// platform stores no configuration.
	FirstConfigurationFile string
}

// TLS contains the paths of certificate and key files. A port without them uses plain TCP.
type TLS struct {
	CallersCertificateFile string
	CallersKeyFile         string
	PeersCertificateFile   string
	PeersKeyFile           string
	// AuthorityFile contains the certificate of the authority that signs the peers' certificates.
	AuthorityFile string
}

// Limits bound the requests of callers, the number of requests that the daemon serves or queues
// at once, and the number of engines that load weights at once.
type Limits struct {
	// MemoryBytes is the memory that is available to the process.
	MemoryBytes  int
	MaxBodyBytes int
	// MaxListElements is the maximum number of elements of all lists in a model call.
	MaxListElements int
	MaxHeaderBytes  int
	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	MaxConcurrent   int
	QueueLength     int
	// MaxLoads is the maximum number of engines in the data centre that load weights at once.
	MaxLoads int
	// DefaultDeadline is the time limit of a request that specifies no deadline.
	DefaultDeadline time.Duration
}

// Hosted contains the settings and time bounds of a daemon on a hosting platform.
type Hosted struct {
	// ReadyListen is the address of the readiness probe.
	ReadyListen netip.AddrPort
	// MetricsListen is the address that serves the metrics.
	MetricsListen netip.AddrPort
	// MemoryBytes is the memory that is available to the process.
	MemoryBytes float64
	// LinkMegabits is the bandwidth of the host's link in Mbit/s; zero if it is not known.
	LinkMegabits float64
	// StopBound is the time from the stop signal until the process is killed.
	StopBound time.Duration
	// KeyRevocation is the maximum time from the revocation of a key until no daemon accepts it.
	KeyRevocation time.Duration
	// WeightsSpread is the maximum time from the replacement of weights until no request begins on
	// the old ones.
	WeightsSpread time.Duration
	// TargetHeartbeat is the interval at which targets renew their entries in the store.
	TargetHeartbeat time.Duration
	// LeaseTime is the minimum time from the last order of one holder of a duty to the first
	// order of its next holder.
	LeaseTime time.Duration
	// RetryRatio and RetryBurst bound the retries to a service by all daemons together, over any
	// period, to RetryRatio times the number of its requests plus RetryBurst.
	RetryRatio float64
	RetryBurst float64
	// FairShares makes the daemon hold client accounts to their fair shares of overloaded services.
	FairShares bool
	// EngineMemory makes the daemon refuse requests for which no engine has memory.
	EngineMemory bool
	// CrossDataCentreGigabyteCost is the cost of a gigabyte between data centres, where 1 is what an answer on time is worth; zero if
	// it is not to be weighed.
	CrossDataCentreGigabyteCost float64
	// CrossDataCentreCacheGigabyteCost is the same for cached parts of prompts that engines move, which may use another network.
	CrossDataCentreCacheGigabyteCost float64
}

// LogFormat is the format of log lines.
type LogFormat string

// The log formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log contains the settings of logging.
type Log struct {
	Level slog.Level
	// Parts overrides Level for single parts of the daemon, such as "router".
	Parts  map[string]slog.Level
	Format LogFormat
}

// Telemetry contains the settings of tracing.
type Telemetry struct {
	// OTLPEndpoint is the URL of the collector to which traces are sent; they are dropped if it is
	// empty.
	OTLPEndpoint string
	// SampleRatio is the fraction of requests that are traced, among those for which the caller
	// has made no sampling decision.
	SampleRatio float64
}

// DefaultSettings returns the defaults of all settings. The data centre and the addresses of the
// platform have no default and are required; every other setting without a default is optional.
func DefaultSettings() Settings {
	return Settings{
		CallersListen:   netip.MustParseAddrPort("0.0.0.0:8080"),
		PeersListen:     netip.MustParseAddrPort("0.0.0.0:8081"),
		OperatorsListen: netip.MustParseAddrPort("127.0.0.1:8082"),
		Limits: Limits{
			MemoryBytes:     1 << 30,
			MaxBodyBytes:    16 << 20,
			MaxListElements: 100_000,
			MaxHeaderBytes:  64 << 10,
			HeaderTimeout:   10 * time.Second,
			BodyTimeout:     30 * time.Second,
			MaxConcurrent:   4096,
			QueueLength:     1024,
			MaxLoads:        2,
			DefaultDeadline: 2 * time.Minute,
		},
		Hosted: Hosted{
			ReadyListen:     netip.MustParseAddrPort("0.0.0.0:8083"),
			MetricsListen:   netip.MustParseAddrPort("127.0.0.1:8084"),
			MemoryBytes:     256 << 20,
			StopBound:       8 * time.Second,
			KeyRevocation:   5 * time.Second,
			WeightsSpread:   10 * time.Second,
			TargetHeartbeat: 1200 * time.Millisecond,
			LeaseTime:       3 * time.Second,
			RetryRatio:      0.2,
			RetryBurst:      50,
		},
		LeaveNotice: 5 * time.Second,
		DrainBound:  5 * time.Minute,
		Log:         Log{Level: slog.LevelInfo, Format: LogText},
		Telemetry:   Telemetry{SampleRatio: 0.01},
	}
}

// Load reads the settings from the file at the path. If the file sets no name, Load generates one
// from the data centre and a random UUID. It returns a locator.FaultsError with all faults of the
// file, or the error if the file cannot be read.
func Load(path string) (settings Settings, err error) {
	defer Error.WrapP(&err)
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	settings, err = Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	if settings.Name == "" {
		settings.Name = settings.DataCentre + "-" + uuid.NewString()
	}
	return settings, nil
}

// Parse parses the settings from the data of a file; name is the file's name in the positions of
// faults. It returns a locator.FaultsError with all faults. Rules that concern several settings are
// checked only if the file has no other faults.
func Parse(name string, data []byte) (settings Settings, err error) {
	defer Error.WrapP(&err)
	document := locator.Parse(name, data)
	settings = DefaultSettings()
	root := document.Root()
	for _, section := range sections() {
		object := root
		if section.name != "" {
			object = root.Object(section.name)
		}
		for _, field := range section.fields {
			if node, given := object.Node(field.name); given {
				field.read(node, &settings)
			}
		}
		if section.name != "" {
			object.ReportUnknown()
		}
	}
	root.ReportUnknown()
	if document.Err() == nil {
		checkAndDerive(document, &settings)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}
