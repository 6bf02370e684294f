package runner

import (
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/forwarder"
	"github.com/rosemaryrill/rosemaryrill/mover"
)

// movingDaemons is how many daemons of a data centre move the cached blocks of a leaving target.
const movingDaemons = 2

// startMover starts the mover, which copies cached blocks between engines over connections that
// are separate from those of requests.
func (d *Daemon) startMover() error {
	d.transferClient = forwarder.New(forwarder.Settings{MaxImportBytes: mover.DefaultMaxBytes})
	d.mover = mover.New(mover.Settings{Engines: d.transferClient, Targets: d.pools, Log: d.observer.Log("mover")})
	metrics := d.observer.Metrics()
	counters := d.mover.Counters
	return errs.Combine(
		metrics.Gauge("rill_moves", "Moves of cached blocks that were carried out.", func() int64 { return int64(counters().Done) }),
		metrics.Gauge("rill_moved_tokens", "Prompt tokens in moved blocks.", func() int64 { return int64(counters().Tokens) }),
		metrics.Gauge("rill_moves_given_up", "Moves that were dropped, void or failed.", func() int64 {
			totals := counters()
			return int64(totals.Dropped + totals.FactsChanged + totals.Failed)
		}),
	)
}

// moveCachedBlocks cancels the moves that a change of a target makes void. If the target starts
// to leave, it moves the hot prefixes that only this target caches to other targets.
func (d *Daemon) moveCachedBlocks(change detector.Change) {
	d.mover.CancelChanged()
	if change.After.State != detector.Leaving || change.Before.State == detector.Leaving {
		return
	}
	if !d.gossip.AmongFirst("move "+change.Target, movingDaemons) {
		return
	}
	for _, move := range d.pools.ProposeDrainMoves(change.Target) {
		d.mover.Move(move)
	}
}
