package assembler

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/broadcaster"
	"github.com/rosemaryrill/rosemaryrill/recorder"
)

const (
	// streamTimeouts is how many timeouts of its route a stream and its take-ups last at most: the last take-up begins before the
	// first request's time is over. streamMargin is added, since callers and daemons measure from different moments.
	streamTimeouts = 2
	streamMargin   = 5 * time.Second
	// defaultStreamTime is the longest time of a stream while there is no configuration.
	defaultStreamTime = 30 * time.Second
)

// origins remembers which version of the targets' software began each stream.
type origins struct {
	*recorder.Origins
	versions *recorder.Versions
	client   *recorder.Client
}

func (d *Daemon) newOrigins() origins {
	versions := recorder.NewVersions(recorder.VersionsSettings{
		Name: d.settings.Name, Store: d.store, Prefix: softwarePrefix,
		Retention: d.longestStream, Now: time.Now, Logger: d.loggerFor("recorder"),
	})
	client := recorder.NewClient()
	return origins{versions: versions, client: client, Origins: recorder.NewOrigins(recorder.OriginsSettings{
		Versions: versions, Ask: client, Messenger: messenger{daemon: d}, Retention: d.longestStream, Now: time.Now, Logger: d.loggerFor("recorder"),
	})}
}

// messenger sends messages with the daemon's broadcaster, which is created later than its user.
type messenger struct{ daemon *Daemon }

// TellOrigins implements recorder.Messenger.
func (m messenger) TellOrigins(daemons []netip.AddrPort, origins []recorder.Origin) {
	m.daemon.broadcaster.TellOrigins(daemons, origins)
}

// AcknowledgeOrigins implements recorder.Messenger.
func (m messenger) AcknowledgeOrigins(daemon netip.AddrPort, streams []uint64) {
	m.daemon.broadcaster.AcknowledgeOrigins(daemon, streams)
}

func (o origins) start(ctx context.Context) {
	o.versions.Start(ctx)
	o.Origins.Start(ctx)
}

// longestStream returns how long a stream and its take-ups last at most.
func (d *Daemon) longestStream() time.Duration {
	catalog := d.view.declarations.Catalog()
	if catalog == nil {
		return defaultStreamTime
	}
	return streamTimeouts*catalog.LongestStream() + streamMargin
}

// setOriginPeers sets the daemons that are told and asked the origins of streams.
func (d *Daemon) setOriginPeers(peers []broadcaster.Peer, names []string) {
	d.origins.SetPeers(convertPeers(peers, func(peer broadcaster.Peer) recorder.Daemon {
		return recorder.Daemon{Name: peer.Name, Address: peer.Address}
	}))
	d.origins.versions.SetPeers(names)
}

func (o origins) close() error {
	return errors.Join(o.Origins.Close(), o.versions.Close(), o.client.Close())
}
