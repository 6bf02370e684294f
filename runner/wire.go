package runner

import "github.com/rosemaryrill/rosemaryrill/dialer"

// wireCount returns counters for the bytes of the connections that this daemon opens to peers of
// the kind.
func (d *Daemon) wireCount(peerKind string) dialer.ByteCounter {
	metrics := d.observer.Metrics()
	return dialer.ByteCounter{
		Sent:     func(bytes int) { metrics.WireBytes(peerKind, "sent", bytes) },
		Received: func(bytes int) { metrics.WireBytes(peerKind, "received", bytes) },
	}
}
