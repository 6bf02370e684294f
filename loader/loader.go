// Package loader reads the settings of the daemon from a file of JSON with comments.
//
// Every field is declared once, with its default and its meaning, in the table of this
// package; reading, `rilld settings` and docs/SETTINGS.md all come from that table. Faults
// carry file, line and column, and all of them are listed.
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
// The table of all settings with their defaults is printed from Describe:
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

// Settings are what a daemon is told at its start.
type Settings struct {
	// Name is unique among all daemons of the fleet.
	Name       string
	DataCentre string

	CallersListen   netip.AddrPort
	PeersListen     netip.AddrPort
	OperatorsListen netip.AddrPort
	// PeersAdvertise is where other daemons reach the peers' port.
	PeersAdvertise netip.AddrPort

	// Platform holds the addresses of the platform's key-value service.
	Platform []netip.AddrPort
	// SeedPeers are asked where the platform's host list cannot be read.
	SeedPeers []netip.AddrPort

	TLS TLS
	// OperatorsTokenDigest is the digest of the operators' token; zero means no token.
	OperatorsTokenDigest registrar.KeyDigest

	Limits Limits
	// LeaveNotice is how long a daemon that stops says so at /readyz before it closes its ports.
	LeaveNotice time.Duration
	// DrainBound is how long a daemon that stops waits for its open requests.
	DrainBound time.Duration

	Log       Log
	Telemetry Telemetry
	// Hosted is for a daemon that runs on a hosting platform, by rilld front.
	Hosted Hosted
	// FirstConfigurationFile is committed where the platform holds no configuration at all.
	FirstConfigurationFile string
}

// TLS names the files of certificates and keys. A port without them speaks plain TCP.
type TLS struct {
	CallersCertificateFile string
	CallersKeyFile         string
	PeersCertificateFile   string
	PeersKeyFile           string
	// AuthorityFile signs the certificates of peers.
	AuthorityFile string
}

// Limits bound what callers may send and what the daemon keeps open.
type Limits struct {
	MaxBodyBytes    int
	MaxHeaderBytes  int
	HeaderTimeout   time.Duration
	BodyTimeout     time.Duration
	MaxConcurrent   int
	QueueLength     int
	MaxLoads        int
	DefaultDeadline time.Duration
}

// Hosted sets what a daemon on a hosting platform keeps to.
type Hosted struct {
	// ReadyListen answers whether the daemon takes requests.
	ReadyListen netip.AddrPort
	// MetricsListen serves the metrics.
	MetricsListen netip.AddrPort
	// MemoryBytes is the memory of the process.
	MemoryBytes int
	// StopBound is the time from the signal to stop until the process is killed.
	StopBound time.Duration
	// KeyRevocation is the time after which a key that was taken away must not work anywhere.
	KeyRevocation time.Duration
	// WeightsSpread is the time after which no request may begin on replaced weights.
	WeightsSpread time.Duration
	// LeaseTime is the time between the orders of two holders of a duty.
	LeaseTime time.Duration
	// RetryRatio and RetryBurst bound repetitions of all daemons together: a share of the requests
	// and a number beside it, however long the time.
	RetryRatio float64
	RetryBurst int
}

// LogFormat is the form of log lines.
type LogFormat string

// The formats.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log sets what is logged.
type Log struct {
	Level slog.Level
	// Parts gives parts of the daemon a level of their own.
	Parts  map[string]slog.Level
	Format LogFormat
}

// Telemetry sets where traces go.
type Telemetry struct {
	// OTLPEndpoint is the URL of a collector; traces are dropped where it is empty.
	OTLPEndpoint string
	// SampleRatio is the share of requests that are traced where the caller did not decide.
	SampleRatio float64
}

// DefaultSettings returns the settings of an empty file. A name, a data centre and the
// platform are still missing from them.
func DefaultSettings() Settings {
	return Settings{
		CallersListen:   netip.MustParseAddrPort("0.0.0.0:8080"),
		PeersListen:     netip.MustParseAddrPort("0.0.0.0:8081"),
		OperatorsListen: netip.MustParseAddrPort("127.0.0.1:8082"),
		Limits: Limits{
			MaxBodyBytes:    16 << 20,
			MaxHeaderBytes:  64 << 10,
			HeaderTimeout:   10 * time.Second,
			BodyTimeout:     30 * time.Second,
			MaxConcurrent:   4096,
			QueueLength:     1024,
			MaxLoads:        2,
			DefaultDeadline: 2 * time.Minute,
		},
		Hosted: Hosted{
			ReadyListen:   netip.MustParseAddrPort("0.0.0.0:8083"),
			MetricsListen: netip.MustParseAddrPort("127.0.0.1:8084"),
			MemoryBytes:   256 << 20,
			StopBound:     8 * time.Second,
			KeyRevocation: 5 * time.Second,
			WeightsSpread: 10 * time.Second,
			LeaseTime:     3 * time.Second,
			RetryRatio:    0.2,
			RetryBurst:    50,
		},
		LeaveNotice: 5 * time.Second,
		DrainBound:  5 * time.Minute,
		Log:         Log{Level: slog.LevelInfo, Format: LogText},
		Telemetry:   Telemetry{SampleRatio: 0.01},
	}
}

// Load reads the file at the path and gives a daemon without a name a random one. It returns
// a locator.FaultsError with all faults of the file, or the error of reading it.
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

// Parse reads the settings from the data of the named file. It returns a locator.FaultsError
// with all faults.
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
			object.Finish()
		}
	}
	root.Finish()
	if document.Err() == nil {
		checkTogether(document, &settings)
	}
	if err := document.Err(); err != nil {
		return Settings{}, err
	}
	return settings, nil
}
