package runner

import (
	"context"
	"time"

	"github.com/zeebo/errs"
)

// Shutdown stops the daemon gracefully. /readyz fails first, and Shutdown waits for the leave
// notice, so that the load balancer stops sending requests. It then serves the requests that have arrived, up to the drain
// bound. Requests still open after that end with an error. Peers and operators are served until no caller is.
func (d *Daemon) Shutdown() (err error) {
	defer Error.WrapP(&err)
	d.observer.Log("runner").Info("runner: stopping", "drain_bound", d.settings.DrainBound)
	d.callersServer.Leave()
	d.operatorsPort.drainer.Leave()
	d.peersPort.drainer.Leave()
	time.Sleep(d.settings.LeaveNotice)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.DrainBound)
	defer cancel()
	err = d.callersServer.Shutdown(ctx)
	return errs.Combine(err, d.Close())
}

// Close stops the daemon at once and waits until all its goroutines have ended. Calls after the
// first return the same error.
func (d *Daemon) Close() (err error) {
	defer Error.WrapP(&err)
	d.closeOnce.Do(func() { d.closeErr = d.close() })
	return d.closeErr
}

func (d *Daemon) close() error {
	var group errs.Group
	group.Add(d.callersServer.Close())
	group.Add(d.operatorsPort.close(closeTimeout)) // Operators' requests need all that is closed below.
	d.commander.Close()
	d.ledger.Close()
	d.gossip.Leave()
	group.Add(d.gossip.Close())
	group.Add(d.poller.Close())
	group.Add(d.streamer.Close())
	d.mover.Close()
	group.Add(d.transferClient.Close())
	close(d.stop)
	d.peerAdapter.Close()
	group.Add(d.configuration.Close())
	group.Add(d.peersPort.close(closeTimeout))
	d.group.Wait()
	group.Add(d.detector.Close())
	d.quarantine.Close()
	group.Add(d.crashes.Close())
	group.Add(d.recorder.Close())
	group.Add(d.receivedCopies.Close())
	group.Add(d.targetClient.Close())
	group.Add(d.peers.Close())
	group.Add(d.store.Close())
	group.Add(d.observer.Close())
	return group.Err()
}
