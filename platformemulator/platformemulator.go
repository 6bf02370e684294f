// Package platformemulator emulates the platform: a key-value store with compare-and-swap,
// leases and watches, and a list of hosts that may lag.
//
// A Platform keeps its state in memory. Its methods have the signatures of storer.Client, so
// code that declares a small interface accepts either. It uses only the clock and the timers
// of the time package and therefore runs in virtual time within a synctest bubble. Handler
// serves the same state over HTTP as specified in docs/PROTOCOLS.md.
//
// The emulator can inject faults: an outage, delays, answers that are lost after the write
// took effect, writes that take effect after their caller gave up, stale reads, a compacted
// watch history, a restored older state, and network partitions of single callers.
//
// # Usage
//
// A test makes one Platform and one Connection for each daemon:
//
//	platform := platformemulator.New(platformemulator.Settings{})
//	sapporo := platform.Connection("sapporo-1")
//	sapporo.SetFaults(platformemulator.Faults{Partitioned: true})
//	platform.SetFaults(platformemulator.Faults{LoseAnswers: 1})
//	backup := platform.Snapshot()
//	platform.Restore(backup)
//
// Faults of the Platform apply to all callers, those of a Connection only to its caller.
package platformemulator

import (
	"errors"
	"time"

	"github.com/rosemaryrill/rosemaryrill/storer"
)

// DefaultHistoryLimit is the default of Settings.HistoryLimit.
const DefaultHistoryLimit = 100_000

// DefaultStaleBy is the default of Faults.StaleBy.
const DefaultStaleBy = 3

// Causes of the storer.UnavailableError and storer.UnknownOutcomeError that injected faults
// and rate limits return.
var (
	ErrOutage      = errors.New("outage")
	ErrPartitioned = errors.New("caller is partitioned from the platform")
	ErrRateLimited = errors.New("rate limit exceeded")
	ErrAnswerLost  = errors.New("answer lost")
	ErrRequestLost = errors.New("request lost")
)

// Call is a kind of call, by which calls are counted.
type Call string

// The kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallCreate Call = "create"
	CallSwap   Call = "swap"
	CallDelete Call = "delete"
	CallGrant  Call = "grant"
	CallRenew  Call = "renew"
	CallRevoke Call = "revoke"
	CallWatch  Call = "watch"
	CallHosts  Call = "hosts"
)

// Settings configure a Platform.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond limit the rates of calls; calls beyond a limit fail
	// with ErrRateLimited. Zero means no limit. A watch counts as one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// HistoryLimit is the minimum number of past events that the watch history keeps; zero
	// means DefaultHistoryLimit.
	HistoryLimit int
	// Hosts is the initial host list.
	Hosts []storer.Host
}

// Faults are the faults to inject into the whole Platform or one Connection. A count is
// decremented each time that its fault applies.
type Faults struct {
	// Outage makes every call fail without taking effect, including calls in flight that
	// have not taken effect yet. Calls that have taken effect lose their answer.
	Outage bool
	// Partitioned makes the platform unreachable for one caller, with the same consequences as an outage.
	// It has no effect in the faults of the Platform.
	Partitioned bool
	// Delay is added to every call, half of it before the call takes effect. If the caller
	// gives up a write in the first half, the write still takes effect at the end of that half.
	Delay time.Duration
	// LoseAnswers is the number of writes that take effect but whose answer is lost.
	LoseAnswers int
	// LoseRequests is the number of writes that are lost before they take effect. The caller
	// gets a storer.UnknownOutcomeError, as for a lost answer.
	LoseRequests int
	// StaleReads is the number of gets and lists that read an older state.
	StaleReads int
	// StaleBy is the number of versions by which a stale read is behind the current revision;
	// zero means DefaultStaleBy.
	StaleBy int
	// HostLag is the age of the host list.
	HostLag time.Duration
}

// caller is an alias under which Platform can embed a Connection, because a field named
// Connection would clash with its method of that name.
type caller = Connection

// Platform is an emulated platform. Its embedded Connection is that of an unnamed caller.
type Platform struct {
	*caller
}

// New returns a Platform without keys.
func New(settings Settings) *Platform {
	return &Platform{caller: &Connection{store: newStore(settings)}}
}

// Connection returns a new Connection for a caller, with its own faults and call counts.
func (p *Platform) Connection(name string) *Connection {
	return &Connection{store: p.store, name: name}
}

// SetFaults replaces the faults that apply to all callers.
func (p *Platform) SetFaults(faults Faults) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.faults = faults
	p.store.broadcast()
}

// Faults returns the faults that apply to all callers.
func (p *Platform) Faults() Faults {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return p.store.faults
}

// Calls returns the number of calls of each kind by all callers, including refused ones.
func (p *Platform) Calls() map[Call]int {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	return copyCounts(p.store.counts)
}

// SetHosts replaces the host list. Hosts returns it once it is at least as old
// as Faults.HostLag.
func (p *Platform) SetHosts(hosts []storer.Host) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.addHosts(hosts)
}

// Compact discards the watch history up to the current revision.
func (p *Platform) Compact() {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.compact(p.store.revision)
}

// ExpireLease ends a lease as if its TTL had passed.
func (p *Platform) ExpireLease(id storer.LeaseID) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	p.store.endLease(id)
}
