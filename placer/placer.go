// Package placer chooses the target of a request for which callers name the parts of the prompt.
//
// It knows the targets, what each is expected to hold in its cache, how much work the daemon and
// its peers have there, and which targets are about to be changed. It estimates when a target
// would give the first event and takes the earliest, so that a prompt goes where most of it is
// cached unless that target is busy. Parts that another target holds are fetched from there, which
// takes a small part of the time that reading them takes.
//
// The package has no network and no goroutines. Time is given to it.
//
// # Usage
//
//	p := placer.New(placer.Settings{DataCentre: "north", Now: time.Now})
//	p.SetTargets(targets)
//	choice, err := p.Choose(call, nil)
//	var none *placer.NoTargetError
//	if errors.As(err, &none) {
//		// Refuse, and tell the caller to come back after none.RetryAfter.
//	}
//	defer choice.Flight.Finished()
package placer

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Target is one incarnation of a target as it describes itself.
type Target struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	Slots      int
	// Started tells the incarnations of one id apart.
	Started time.Time
	// Leaving says that the target takes no new work.
	Leaving bool
	// Versions are the weights of each model.
	Versions map[string]int64
}

// Part is a piece of a prompt that several requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Call is what is known of a request before it is sent.
type Call struct {
	Service string
	// Model is empty for plain services.
	Model string
	// Wall separates the cached parts of isolated accounts; it is empty for all others.
	Wall string
	// Parts are those of the prompt in their order. The last one belongs to the request alone.
	Parts        []Part
	PromptTokens int
	// OutputTokens is how long the answer is expected to be.
	OutputTokens int
	// Urgency is the rank of the request, below Urgencies; zero is the most urgent.
	Urgency int
	// Within is the time to the first event beyond which the call should not be sent; zero is any.
	// A prompt that takes long to read by itself may take so much more.
	Within time.Duration
	// Left is the time in which the call must begin; zero is any.
	Left time.Duration
}

// Choice is the target of one attempt.
type Choice struct {
	Target Target
	// Version is the weights that the target is believed to have; zero for plain services.
	Version int64
	// FetchFrom holds more of the prompt than the target; it is invalid where nobody does.
	FetchFrom netip.AddrPort
	// SaveTo is the store that the target should send the prompt's shared parts to, if any.
	SaveTo netip.AddrPort
	// Expected is the estimated time to the first event.
	Expected time.Duration
	// Read is how many tokens of the prompt the target has to read, and Ahead how many of other
	// requests are expected to be read before.
	Read  int
	Ahead int
	// Requests is how many requests the target is expected to have in hand.
	Requests int
	Flight   *Flight
}

// NoTargetError says that no target can take the call now.
type NoTargetError struct {
	Service string
	// RetryAfter is when a target is expected to have room.
	RetryAfter time.Duration
}

// NotInTimeError says that every target would take too long.
type NotInTimeError struct {
	Service string
	// Expected is the shortest time to the first event.
	Expected time.Duration
	// Within is what the call may take.
	Within time.Duration
}

// Error names the times.
func (e *NotInTimeError) Error() string {
	return fmt.Sprintf("service %s is expected to answer after %s, asked within %s", e.Service, e.Expected, e.Within)
}

// Error names the service.
func (e *NoTargetError) Error() string {
	return "no target of service " + e.Service + " can take the call"
}

// Settings are the parameters of a Placer.
type Settings struct {
	// DataCentre is that of the daemon.
	DataCentre string
	Now        func() time.Time
	// VersionBound is how long a target may begin requests on replaced weights.
	VersionBound time.Duration
	// Seed differs between daemons.
	Seed uint64
}

// Engine describes the engines of a service.
type Engine struct {
	CacheTokens       int
	TokenBytes        int
	LinkBitsPerSecond float64
}

// wanted are weights that a model was to have from some time on.
type wanted struct {
	version int64
	since   time.Time
	// guessed says that since is not when the daemon saw the naming, but early enough for any.
	guessed bool
}

// versions are the wanted weights of a model, oldest first.
type versions []wanted

// newest returns the newest weights.
func (v versions) newest() (newest wanted) {
	if len(v) > 0 {
		newest = v[len(v)-1]
	}
	return newest
}

// replacedSince returns since when weights are replaced by newer ones, and whether they are. Where
// namings before the first known one are missing, it returns unknown.
func (v versions) replacedSince(version int64, unknown time.Time) (since time.Time, replaced bool) {
	if len(v) > 0 && version+1 < v[0].version {
		return unknown, true
	}
	for _, named := range v {
		if named.version > version {
			return named.since, true
		}
	}
	return time.Time{}, false
}

// Placer chooses targets. Its methods are safe for concurrent use.
type Placer struct {
	settings Settings

	started time.Time

	mu       sync.Mutex
	targets  map[string]*target
	engines  map[string]Engine
	wanted   map[string]versions
	services map[string][]*target
	peers    map[string]peer
	byHash   map[TargetHash]*target
	rates    map[string]*readRates
	store    *partStore
	// untold are parts that peers were not told of yet.
	untold []Holding
	// filler numbers the parts that nobody asks for again; fillerSeed keeps them apart from those
	// of other daemons.
	filler     uint64
	fillerSeed uint64
}

// New returns a Placer without targets.
func New(settings Settings) *Placer {
	return &Placer{
		settings:   settings,
		started:    settings.Now(),
		targets:    make(map[string]*target),
		engines:    make(map[string]Engine),
		wanted:     make(map[string]versions),
		services:   make(map[string][]*target),
		peers:      make(map[string]peer),
		byHash:     make(map[TargetHash]*target),
		rates:      make(map[string]*readRates),
		store:      newPartStore(Store{}),
		fillerSeed: settings.Seed,
	}
}

// SetTargets replaces the targets. A target that starts anew loses all that was known of it.
func (p *Placer) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.targets
	p.targets = make(map[string]*target, len(targets))
	p.services = make(map[string][]*target)
	p.byHash = make(map[TargetHash]*target, len(targets))
	for _, described := range targets {
		known := before[described.ID]
		if known == nil || !known.Started.Equal(described.Started) || known.Address != described.Address {
			known = newTarget(described)
		}
		known.describe(described)
		p.targets[described.ID] = known
		p.services[described.Service] = append(p.services[described.Service], known)
		p.byHash[known.hash] = known
		known.peers = work{}
	}
	for _, known := range p.peers {
		p.count(known.loads, same)
	}
}

// SetEngines tells what the engines of each service are like.
func (p *Placer) SetEngines(engines map[string]Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = engines
}

// keptVersions bounds the wanted weights of a model that are remembered.
const keptVersions = 16

// Want notes weights that a model is to have from now on. Without fresh they may have been named
// long before, and replaced ones are used only for a short time.
func (p *Placer) Want(model string, version int64, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	named := wanted{version: version, since: now}
	if !fresh {
		named.guessed = true
		named.since = p.unknownSince()
	}
	p.want(model, named)
}

// unknownGrace is how long a daemon that has just started uses replaced weights without knowing
// since when they are replaced.
const unknownGrace = 2500 * time.Millisecond

// unknownSince is since when weights count as replaced where it is not known.
func (p *Placer) unknownSince() time.Time {
	return p.started.Add(unknownGrace + versionMargin - p.settings.VersionBound)
}

// want adds a naming, or improves what is known of one.
func (p *Placer) want(model string, named wanted) {
	known := p.wanted[model]
	for i := range known {
		if known[i].version != named.version {
			continue
		}
		if known[i].guessed || !named.guessed && named.since.Before(known[i].since) {
			known[i] = named
		}
		return
	}
	at, _ := slices.BinarySearchFunc(known, named, func(a, b wanted) int { return cmp.Compare(a.version, b.version) })
	known = slices.Insert(known, at, named)
	p.wanted[model] = known[max(len(known)-keptVersions, 0):]
}

// Wanted returns the newest weights of a model.
func (p *Placer) Wanted(model string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted[model].newest().version
}

// Targets returns the targets of all services that are not leaving, as they are known now.
func (p *Placer) Targets() (targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.targets {
		if !known.Leaving && !known.left {
			targets = append(targets, known.snapshot())
		}
	}
	return targets
}
