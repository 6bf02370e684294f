package drainer

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

const (
	// freeHeadBytes is the length of a head that doesn't count, and headCopies how often net/http holds the rest while it reads it.
	freeHeadBytes = 4 << 10
	headCopies    = 3
	// freeHeadFields is the number of fields that don't count, and headFieldBytes what net/http holds for a field of a head beside its text.
	freeHeadFields = 64
	headFieldBytes = 160
	// headStepBytes is how much memory is taken at once for a head.
	headStepBytes = 16 << 10
	// spareRatio is the part of the connections that is kept for new ones, for which older ones make room.
	spareRatio = 1.0 / 8
	// lingerTime, lingerBytes and maxLingering bound what is read of requests that were refused.
	lingerTime   = 500 * time.Millisecond
	lingerBytes  = 8 << 20
	maxLingering = 32
	// writtenAtOnce is the size of the pieces of an answer for each of which the write timeout counts.
	writtenAtOnce = 64 << 10
)

// errHeadMemory is the cause if the connection is closed since there is no memory for a long head.
var errHeadMemory = errors.New("no memory for the head of the request")

// headEnd ends a head.
var headEnd = []byte("\r\n\r\n")

// takeHead takes memory for a piece of a head that is long or has many fields. The piece may end with the beginning of a body, which doesn't
// count. The caller holds mu.
func (c *connection) takeHead(piece []byte) error {
	heads := c.drainer.settings.Heads
	piece, _, _ = bytes.Cut(piece, headEnd)
	c.headBytes += len(piece)
	c.headFields += bytes.Count(piece, []byte{'\n'})
	needed := headCopies*max(c.headBytes-freeHeadBytes, 0) + headFieldBytes*max(c.headFields-freeHeadFields, 0)
	if heads == nil || needed <= c.headTaken {
		return nil
	}
	step := max(needed-c.headTaken, headStepBytes)
	if !heads.TryTake(step) {
		return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadMemory}
	}
	c.headTaken += step
	return nil
}

// giveHeadBack gives back the memory for the head. The caller holds mu.
func (c *connection) giveHeadBack() {
	c.headBytes, c.headFields = 0, 0
	if c.headTaken > 0 {
		c.drainer.settings.Heads.GiveBack(c.headTaken)
		c.headTaken = 0
	}
}

// admit tracks a new connection, or closes it and returns nil if there are too many.
func (d *Drainer) admit(conn net.Conn) *connection {
	limit := d.settings.MaxConnections
	if limit <= 0 {
		return d.add(conn)
	}
	d.mu.Lock()
	open := len(d.connections)
	d.mu.Unlock()
	if open >= limit-max(int(spareRatio*float64(limit)), 1) {
		d.displace(d.snapshot())
	}
	if open >= limit {
		d.refused.Add(1)
		_ = conn.Close() // Nothing was read from it.
		return nil
	}
	return d.add(conn)
}

// displace ends the connection that has waited longest for a request or for the rest of a head.
func (d *Drainer) displace(open []*connection) {
	var oldest *connection
	var longest time.Duration
	for _, c := range open {
		if wait := c.dispensable(); wait > longest {
			oldest, longest = c, wait
		}
	}
	if oldest == nil {
		if d.settings.EndStalled != nil && d.settings.EndStalled() {
			d.displaced.Add(1)
		}
		return
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if oldest.state != stateServing && oldest.state != stateEnding {
		d.displaced.Add(1)
		oldest.end()
	}
}

// dispensable returns for how long the connection has waited for a request or the rest of a head, or zero if it must stay: during a
// request, and as long as its last answer has announced.
func (c *connection) dispensable() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := time.Since(c.since)
	switch {
	case c.ending, c.state == stateServing, c.state == stateEnding, c.state == stateIdle && wait <= c.reuseTime():
		return 0
	}
	return wait
}

// Connections returns the number of connections that are open, that made room for new ones, and of new ones that were closed since there
// were too many.
func (d *Drainer) Connections() (open, displaced, refused int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(len(d.connections)), d.displaced.Load(), d.refused.Load()
}

// Linger sends the refusal that a handler has written, and reads for a short time what the caller goes on to send, since the reset of the
// connection could hide the refusal. Whatever comes later is not read: the refusal has to announce the end of the connection.
func (d *Drainer) Linger(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	defer func() { _ = control.SetReadDeadline(dialer.ExpiredDeadline) }() // Writers of tests have none.
	if c := connectionOf(r); c != nil && r.ProtoMajor == 1 {
		limitReceived(c.Conn)
	}
	if d.lingering.Add(1) <= maxLingering && !d.draining.Load() && r.Header.Get("Expect") == "" && control.Flush() == nil {
		if control.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, r.Body, lingerBytes) // It ends with the body or at the deadline.
		}
	}
	d.lingering.Add(-1)
}
