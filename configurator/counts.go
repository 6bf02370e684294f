package configurator

import "sync/atomic"

// Counts are the event counters of a Configurator since its start.
type Counts struct {
	// Applied counts the revisions that were applied.
	Applied int64
	// Committed counts the commits of this daemon, Rebased the attempts that lost a race for their
	// revision and were rebased.
	Committed int64
	Rebased   int64
	// LostAnswers counts the writes of entries whose response was lost, Settled those that were
	// found to have taken effect, SettledLost those that failed because another entry has their
	// revision.
	LostAnswers int64
	Settled     int64
	SettledLost int64
	// Behind counts the reads that returned an incomplete log: it ended before the current revision
	// or entries were missing in it.
	Behind int64
	// StoreWentBack counts the versions of the platform's store that were lower than one seen before:
	// the store came back from a copy, or a read was stale.
	StoreWentBack int64
	// Snapshots, Trimmed and Recreated count the snapshots that this daemon wrote and the entries
	// that it deleted and recreated as the maintenance leader.
	Snapshots int64
	Trimmed   int64
	Recreated int64
	// LeadershipLost counts the maintenance leases that expired while this daemon held them.
	LeadershipLost int64
}

// counters holds the atomic counters behind Counts.
type counters struct {
	applied        atomic.Int64
	committed      atomic.Int64
	rebased        atomic.Int64
	lostAnswers    atomic.Int64
	settled        atomic.Int64
	settledLost    atomic.Int64
	behind         atomic.Int64
	storeWentBack  atomic.Int64
	snapshots      atomic.Int64
	trimmed        atomic.Int64
	recreated      atomic.Int64
	leadershipLost atomic.Int64
}

// Counts returns the counters.
func (c *Configurator) Counts() Counts {
	return Counts{
		Applied:        c.counters.applied.Load(),
		Committed:      c.counters.committed.Load(),
		Rebased:        c.counters.rebased.Load(),
		LostAnswers:    c.counters.lostAnswers.Load(),
		Settled:        c.counters.settled.Load(),
		SettledLost:    c.counters.settledLost.Load(),
		Behind:         c.counters.behind.Load(),
		StoreWentBack:  c.counters.storeWentBack.Load(),
		Snapshots:      c.counters.snapshots.Load(),
		Trimmed:        c.counters.trimmed.Load(),
		Recreated:      c.counters.recreated.Load(),
		LeadershipLost: c.counters.leadershipLost.Load(),
	}
}
