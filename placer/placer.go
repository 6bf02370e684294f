// Package placer chooses the targets of requests whose callers list the parts of the prompt.
//
// A Placer knows the targets, the parts that each is expected to hold in its cache, the work that this daemon and its
// peers have there, and the targets whose weights are about to change. It estimates the time to the first event at each
// target and chooses the one with the lowest cost, so that a prompt goes to the target that has most of it cached
// unless that target is busy. The chosen target fetches parts that another one holds, which takes a small fraction of
// their prefill time.
//
// The package does no network I/O and starts no goroutines. It takes the time from Settings.Now.
//
// # Usage
//
//	p := placer.New(placer.Settings{DataCentre: "north", Now: time.Now})
//	p.SetTargets(targets)
//	choice, err := p.Choose(call, nil)
//	var none *placer.NoTargetError
//	if errors.As(err, &none) {
//		// Refuse the request and ask the caller to retry after none.RetryAfter.
//	}
//	defer choice.Attempt.Finish()
package placer

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/balancer"
)

// Target describes one incarnation of a target, as it reports itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests beyond which further ones wait at the target.
	Slots int
	// Started distinguishes the incarnations of one id.
	Started time.Time
	// Software is the version of the target's software. Versions have no order.
	Software string
	// Leaving is set if the target accepts no new requests.
	Leaving bool
	// Versions are the versions of the weights by model.
	Versions map[string]int64
}

// Part is a segment of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call describes a request for which a target is chosen.
type Call struct {
	Service string
	// Model is empty for services without a model.
	Model string
	// Software is the version of the software that the target must have; empty if any will do. The rest of a stream has to
	// come from the version that began it.
	Software string
	// CacheNamespace separates the cached parts of requests that must not share any.
	CacheNamespace string
	// Parts are the parts of the prompt in order. The last one belongs to the request alone.
	Parts        []Part
	PromptTokens int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Urgency is the priority class of the request, below Urgencies; zero is the most urgent.
	Urgency int
	// FirstEventLimit limits the expected time to the first event; zero means no limit. For a prompt with a long
	// prefill, the limit rises to the prefill time plus a fraction of FirstEventLimit.
	FirstEventLimit time.Duration
	// Objective is the time within which the answer, or its first event, is on time; zero if there is none.
	Objective time.Duration
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// TimeLeft is the time within which the call must begin; zero means no limit.
	TimeLeft time.Duration
}

// Choice is the target that was chosen for an attempt, with the estimates for the call there.
type Choice struct {
	Target Target
	// Version is the version of the weights that the target is assumed to have; zero for services without a model.
	Version int64
	// FetchFrom is the target or store that holds more of the prompt than Target; it is invalid if there is none.
	FetchFrom netip.AddrPort
	// SaveTo is the store to which the target should send the shared parts of the prompt; it is invalid if there is none.
	SaveTo netip.AddrPort
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// PrefillTokens is the number of prompt tokens that the target has to prefill, and QueuedPrefillTokens the
	// number of prompt tokens of other requests whose prefill is expected to come first.
	PrefillTokens       int
	QueuedPrefillTokens int
	// SharedRead is the number of tokens of shared parts among PrefillTokens, and ReadCause why they have to be read; it is
	// empty if there are none.
	SharedRead int
	ReadCause  ReadCause
	// Requests is the number of running and waiting requests that the target is expected to have.
	Requests int
	// Attempt records the outcome at the target. The caller must call its Finish method.
	Attempt *Attempt
}

// NoTargetError reports that no target can accept the call now.
type NoTargetError struct {
	Service string
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
	// Full is set if targets were left out since they have no memory for the call.
	Full bool
}

// NotInTimeError reports that the first event is expected too late at the target with the lowest cost.
type NotInTimeError struct {
	Service string
	// Expected is the estimated time to the first event at that target.
	Expected time.Duration
	// Limit is the limit that Expected exceeds.
	Limit time.Duration
}

// Error names the service, the expected time and the limit.
func (e *NotInTimeError) Error() string {
	return fmt.Sprintf("service %s is expected to answer after %s, the limit is %s", e.Service, e.Expected, e.Limit)
}

// Error names the service.
func (e *NoTargetError) Error() string {
	if e.Full {
		return "no target of service " + e.Service + " has memory for the call"
	}
	return "no target of service " + e.Service + " can take the call"
}

// Settings are the parameters of a Placer.
type Settings struct {
	// Name is the name of the daemon.
	Name string
	// DataCentre is the data centre of the daemon.
	DataCentre string
	Now        func() time.Time
	// VersionBound is how long after an operator declared newer weights a target may still begin requests on the weights
	// that they replace.
	VersionBound time.Duration
	// Seed must differ between daemons. It makes the keys that each daemon assigns to unshared parts distinct from those
	// of the other daemons.
	Seed uint64
	// SoftwareRecorded reports whether daemons that start learn that a version of the software serves. Targets of other versions
	// are chosen only if there is no other. Default: always.
	SoftwareRecorded func(service, software string) bool
	// Crossing decides which requests leave their data centre. Default: targets in other data centres have a fixed penalty.
	Crossing Crossing
	// LimitMemory leaves engines out that have no memory for a call. Default: they only cost more.
	LimitMemory bool
	// Logger logs what targets say of themselves. Default: no log.
	Logger *slog.Logger
}

// Engine describes the engines of a service.
type Engine struct {
	// CacheTokens is the capacity of an engine's KV cache in tokens, and TokenBytes the size of a cached token.
	CacheTokens int
	TokenBytes  int
	// LinkBitsPerSecond is the bandwidth at which an engine transfers cached tokens.
	LinkBitsPerSecond float64
	// PrefillChunkTokens is the number of prompt tokens that an engine prefills between two tokens of its streams; zero if unknown.
	PrefillChunkTokens int
}

// wantedVersion is a wanted version of the weights of a model, and the time since which it is wanted.
type wantedVersion struct {
	version int64
	since   time.Time
	// estimated is set if since is an assumed time, because the daemon does not know when the version was set. The
	// assumed time is early, so that the replaced weights are used only for a short time.
	estimated bool
}

// versionHistory contains the wanted versions of a model, oldest first.
type versionHistory []wantedVersion

// newest returns the newest version, or zero if there is none.
func (v versionHistory) newest() (newest wantedVersion) {
	if len(v) > 0 {
		newest = v[len(v)-1]
	}
	return newest
}

// replacedSince reports whether a version was replaced by a newer one, and since when. It returns fallback as the time
// if the history begins after the version that directly followed, since it is then unknown when that one was wanted.
func (v versionHistory) replacedSince(version int64, fallback time.Time) (since time.Time, replaced bool) {
	if len(v) > 0 && version+1 < v[0].version {
		return fallback, true
	}
	for _, wanted := range v {
		if wanted.version > version {
			return wanted.since, true
		}
	}
	return time.Time{}, false
}

// Placer chooses targets. Its methods are safe for concurrent use.
type Placer struct {
	settings Settings

	started time.Time

	mu        sync.Mutex
	targets   map[string]*target        // by id
	engines   map[string]Engine         // by service
	wanted    map[string]versionHistory // by model
	byService map[string][]*target      // by service
	peers     map[string]peer           // by the name that Import was given
	byHash    map[TargetHash]*target
	// answeredAt is when a target last answered a request.
	answeredAt time.Time
	// brittle are the services whose targets say that they are brittle.
	brittle map[string]brittleness
	// departures are the incarnations that said that they are leaving.
	departures map[TargetHash]*departure
	rates      map[string]*prefillEstimator // by service
	claims     map[string]*memoryClaims     // by service
	// usedParts are shared parts of calls of this daemon.
	usedParts seenParts
	stores    storeSet
	seen      seenParts
	// answerTimes are the times of answers without a model at the usual target, in nanoseconds.
	answerTimes map[string]*medianEstimator // by service
	sendRates   map[string]*serviceRates    // by service
	random      *rand.Rand
	// scratch is the memory of the candidates of one choice after another, options and groups that of Placer.chooseDataCentre.
	scratch []candidate
	options []balancer.Option
	groups  [][]candidate
	// dataCentres are the data centres of the targets by address, and dataCentreCount is their number, if Settings.Crossing is set.
	dataCentres     map[netip.AddrPort]string
	dataCentreCount int
	// changedFactors are the targets whose last reports are news to the peers.
	changedFactors []*target
	// peerNames are the names of the other daemons, as last set by SetPeers.
	peerNames []string
	// pendingHoldings are parts that are not yet announced to the peers.
	pendingHoldings []Holding
	// unsharedPartCount numbers the parts that belong to one call alone; unsharedPartSeed keeps their keys distinct
	// from those of other daemons.
	unsharedPartCount uint64
	unsharedPartSeed  uint64
}

// New returns a Placer without targets.
func New(settings Settings) *Placer {
	if settings.Logger == nil {
		settings.Logger = slog.New(slog.DiscardHandler)
	}
	if settings.SoftwareRecorded == nil {
		settings.SoftwareRecorded = func(string, string) bool { return true }
	}
	return &Placer{
		settings:         settings,
		started:          settings.Now(),
		targets:          make(map[string]*target),
		engines:          make(map[string]Engine),
		wanted:           make(map[string]versionHistory),
		byService:        make(map[string][]*target),
		peers:            make(map[string]peer),
		byHash:           make(map[TargetHash]*target),
		brittle:          make(map[string]brittleness),
		departures:       make(map[TargetHash]*departure),
		rates:            make(map[string]*prefillEstimator),
		claims:           make(map[string]*memoryClaims),
		answerTimes:      make(map[string]*medianEstimator),
		sendRates:        make(map[string]*serviceRates),
		random:           rand.New(rand.NewPCG(settings.Seed, xxh3.HashString(settings.Name))),
		unsharedPartSeed: settings.Seed,
	}
}

// SetTargets replaces the targets. A new incarnation of a target starts with an empty state.
func (p *Placer) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	before := p.targets
	p.targets = make(map[string]*target, len(targets))
	p.byService = make(map[string][]*target)
	p.byHash = make(map[TargetHash]*target, len(targets))
	for _, described := range targets {
		known := before[described.ID]
		if known == nil || !known.Started.Equal(described.Started) || known.Address != described.Address {
			known = newTarget(described)
		}
		known.applyDescription(described, now)
		p.targets[described.ID] = known
		p.byService[described.Service] = append(p.byService[described.Service], known)
		p.byHash[known.hash] = known
		known.peerWork = work{}
	}
	if p.settings.Crossing != nil {
		p.groupByDataCentre()
	}
	for _, known := range p.peers {
		p.addPeerWork(known.loads, identity)
	}
	p.recountStoreWork()
	p.forgetDepartures(now)
}

// SetEngines sets the properties of the engines of each service.
func (p *Placer) SetEngines(engines map[string]Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = engines
}

// maxKeptVersions bounds the wanted versions of a model that are kept.
const maxKeptVersions = 16

// SetWantedVersion records the wanted version of the weights of a model. If fresh is true, it is wanted from now on.
// Otherwise it may have been wanted for a long time, and the weights that it replaces are used only for a short time.
func (p *Placer) SetWantedVersion(model string, version int64, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	wanted := wantedVersion{version: version, since: now}
	if !fresh {
		wanted.estimated = true
		wanted.since = p.assumedReplacementTime()
	}
	p.addWanted(model, wanted)
}

// unknownReplacementGrace is how long after its start a daemon uses replaced weights whose time of replacement
// it does not know.
const unknownReplacementGrace = 2500 * time.Millisecond

// assumedReplacementTime returns the time at which weights count as replaced if the actual time is not known.
func (p *Placer) assumedReplacementTime() time.Time {
	return p.started.Add(unknownReplacementGrace + versionSendMargin - p.settings.VersionBound)
}

// addWanted adds a wanted version, or corrects the time since which a known one is wanted.
func (p *Placer) addWanted(model string, wanted wantedVersion) {
	known := p.wanted[model]
	for i := range known {
		if known[i].version != wanted.version {
			continue
		}
		if known[i].estimated || !wanted.estimated && wanted.since.Before(known[i].since) {
			known[i] = wanted
		}
		return
	}
	at, _ := slices.BinarySearchFunc(known, wanted, func(a, b wantedVersion) int { return cmp.Compare(a.version, b.version) })
	known = slices.Insert(known, at, wanted)
	p.wanted[model] = known[max(len(known)-maxKeptVersions, 0):]
}

// WantedVersion returns the newest wanted version of the weights of a model.
func (p *Placer) WantedVersion(model string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted[model].newest().version
}

// Targets returns the current state of the targets of all services, without those that accept no new requests.
func (p *Placer) Targets() (targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.targets {
		if p.accepts(known) {
			targets = append(targets, known.snapshot())
		}
	}
	return targets
}
