package assembler

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/platform"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

const (
	// maxCatchUpPeers bounds the daemons that a starting daemon asks at once.
	maxCatchUpPeers = 3
	// catchUpTimeout bounds the time for which a starting daemon waits for their answers.
	catchUpTimeout = 400 * time.Millisecond
	// maxCatchUpWait bounds the time for which a starting daemon waits in all, however many daemons appear meanwhile.
	maxCatchUpWait = 500 * time.Millisecond
	// catchUpWindow is how long after its start a daemon also asks daemons that it had not known.
	catchUpWindow = 5 * time.Second
)

// catchUp asks other daemons for the declarations that they have in force. The store may have come back from a copy with older
// ones, which a daemon that starts cannot tell from the newest. Until the first daemons have answered, the daemon uses no
// configuration.
type catchUp struct {
	done  atomic.Bool
	tasks conc.WaitGroup

	mu    sync.Mutex
	asked map[netip.AddrPort]bool
	// waiting counts the rounds of calls that have not ended.
	waiting int
	// limited is set once maxCatchUpWait runs.
	limited bool
}

// catchUpWith asks some of the peers that were not asked before, while the daemon starts.
func (d *Daemon) catchUpWith(peers []broadcaster.Peer) {
	if time.Since(d.startTime) > catchUpWindow {
		peers = nil
	}
	chosen := d.catchUp.begin(peers)
	if len(chosen) == 0 {
		d.catchUp.end()
		return
	}
	d.catchUp.tasks.Go(func() {
		var calls conc.WaitGroup
		for _, address := range chosen {
			calls.Go(func() { d.readDeclarations(address) })
		}
		calls.Wait()
		d.catchUp.end()
	})
}

// end ends a round of calls. The daemon has caught up once no round is left.
func (c *catchUp) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting--
	if c.waiting == 0 {
		c.done.Store(true)
	}
}

// begin begins a round of calls and returns some of the peers that it has not returned before.
func (c *catchUp) begin(peers []broadcaster.Peer) (chosen []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
	for _, i := range rand.Perm(len(peers)) {
		if address := peers[i].Address; !c.asked[address] && len(chosen) < maxCatchUpPeers {
			c.asked[address] = true
			chosen = append(chosen, address)
		}
	}
	if len(chosen) > 0 && !c.limited {
		c.limited = true
		time.AfterFunc(maxCatchUpWait, func() { c.done.Store(true) })
	}
	return chosen
}

// readDeclarations applies the declarations that another daemon has read.
func (d *Daemon) readDeclarations(address netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	events, err := d.sharing.client.Watch(ctx, address, platform.DeclarationsPrefix, 0, 0)
	if err != nil {
		d.logger.Info("declarations of another daemon not read", "peer", address, "error", err)
		return
	}
	d.view.declarations.HandleEvents(events.Events, false)
	d.sharing.copies[platform.DeclarationsPrefix].Learn(events.Events)
}

// supersedes reports whether a declaration is newer by its contents than one that the store has brought back.
func supersedes(known, restored storer.Item) bool {
	a, errKnown := decodeDeclaration(known)
	b, errRestored := decodeDeclaration(restored)
	switch {
	case errKnown != nil:
		return false
	case errRestored != nil:
		return true
	case a.Catalog != nil && b.Catalog != nil:
		return a.Catalog.Version() > b.Catalog.Version()
	default:
		return a.Weights != nil && b.Weights != nil && a.Weights.Version > b.Weights.Version
	}
}
