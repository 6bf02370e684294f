package runner

import (
	"context"
	"time"

	"github.com/rosemaryrill/rosemaryrill/attributor"
	"github.com/rosemaryrill/rosemaryrill/detector"
	"github.com/rosemaryrill/rosemaryrill/exchanger"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	"github.com/rosemaryrill/rosemaryrill/quarantiner"
)

const quarantineTimeout = time.Second

func (d *Daemon) startQuarantine(context.Context) error {
	d.quarantine = quarantiner.New(quarantiner.Settings{
		Daemon: d.settings.Name,
		Peers:  quarantinePeers{gossip: d.gossip, client: d.peers},
		Logger: d.observer.Log("quarantiner"),
	})
	return nil
}

// quarantinePeers sends the quarantine's requests to the other daemons of the data centre.
type quarantinePeers struct {
	gossip *gossiper.Gossiper
	client *exchanger.Client
}

// Members implements quarantiner.Peers.
func (p quarantinePeers) Members() []string {
	return memberNames(append(p.gossip.Peers(), p.gossip.Self()))
}

// Ask implements quarantiner.Peers.
func (p quarantinePeers) Ask(ctx context.Context, daemon string, request []byte) (response []byte, err error) {
	member, ok := p.gossip.Find(daemon)
	if !ok {
		return nil, &unknownDaemonError{name: daemon}
	}
	return p.client.Ask(ctx, member.Address, topicQuarantine, request)
}

func (d *Daemon) exportQuarantine(maxBytes int) []byte {
	if len(d.quarantine.RestrictedCalls()) == 0 {
		return nil
	}
	return d.quarantine.Export(maxBytes)
}

func (d *Daemon) importQuarantine(from gossiper.Member, data []byte) {
	if err := d.quarantine.Merge(data); err != nil {
		d.observer.Log("quarantiner").Debug("quarantiner: cannot decode a peer's message", "member", from.Name, "error", err)
	}
}

// observeAlive reports to the quarantine that a target is alive, so that broken connections to it
// are not counted as its crash.
func (d *Daemon) observeAlive(ctx context.Context, target, incarnation string) {
	if len(d.quarantine.RestrictedCalls()) > 0 {
		d.quarantine.ReportAlive(ctx, target, incarnation)
	}
}

// updateQuarantine reports to the quarantine and to the attributor of crashes whether the incarnation that a target had before
// the change has crashed or is alive. A new incarnation or a refused connection counts as a
// crash.
func (d *Daemon) updateQuarantine(change detector.Change) {
	before, after := change.Before, change.After
	if before.Incarnation == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), quarantineTimeout)
	defer cancel()
	switch {
	case after.Incarnation != before.Incarnation, after.Reason == detector.ReasonRefused:
		d.quarantine.ReportCrash(ctx, change.Target, before.Incarnation)
		d.crashes.ReportEnded(attributor.NamedIncarnation(change.Target, before.Incarnation))
	case after.State == detector.Live:
		d.quarantine.ReportAlive(ctx, change.Target, after.Incarnation)
	}
}
