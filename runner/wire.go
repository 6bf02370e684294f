package runner

import "github.com/rosemaryrill/rosemaryrill/dialer"

// byteCounter returns counters for the bytes on the connections that this daemon opens to the kind
// of peer: "platform", "daemons" or "targets".
func (d *Daemon) byteCounter(peerKind string) dialer.ByteCounter {
	metrics := d.observer.Metrics()
	return dialer.ByteCounter{
		Sent:     func(bytes int) { metrics.WireBytes(peerKind, "sent", bytes) },
		Received: func(bytes int) { metrics.WireBytes(peerKind, "received", bytes) },
	}
}
