package assembler

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/tracker"
	"github.com/rosemaryrill/rosemaryrill/waiter"
)

const (
	// holdingsInterval is the time between two questions. Another daemon is asked each time, since datagrams may be lost and
	// the one that was asked may have just started.
	holdingsInterval = 200 * time.Millisecond
	// holdingsQuestions is how many daemons a starting daemon asks what targets and stores hold.
	holdingsQuestions = 3
	// holdingsWindow is how long after its start a daemon asks.
	holdingsWindow = 10 * time.Second
)

// learnHoldings asks some other daemons what targets and stores hold, as soon as this daemon knows the targets. Without that, a
// daemon that starts lets targets read again what others hold.
func (d *Daemon) learnHoldings(ctx context.Context) {
	asked := make(map[netip.AddrPort]bool)
	for len(asked) < holdingsQuestions && time.Since(d.startTime) < holdingsWindow {
		if !waiter.Sleep(ctx, holdingsInterval) {
			return
		}
		if !d.view.Complete() {
			continue
		}
		if address, found := d.cachePolling.informant(d.settings.DataCentre, asked); found {
			asked[address] = true
			d.broadcaster.AskHoldings([]netip.AddrPort{address})
		}
	}
	d.logger.Info("other daemons asked what targets hold", "daemons", len(asked), "age", time.Since(d.startTime))
}

// informant returns a daemon that was not asked before, of the data centre if it has one.
func (c *cachePolling) informant(dataCentre string, asked map[netip.AddrPort]bool) (address netip.AddrPort, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, candidates := range [][]tracker.Peer{c.peersIn(dataCentre), c.peers} {
		for _, i := range rand.Perm(len(candidates)) {
			if address := candidates[i].Address; !asked[address] {
				return address, true
			}
		}
	}
	return netip.AddrPort{}, false
}
