package drainer

import (
	"net/http"
	"time"
)

const (
	// streamBytes is what a request over HTTP/2 takes beside its head and its body, and headFieldBytes what a field of its head takes beside its text.
	streamBytes    = 16 << 10
	headFieldBytes = 160
	// maxRefusing bounds the requests over HTTP/2 whose refusals wait for the caller to read them.
	maxRefusing = 64
	// refusedPause is how long nothing is read from a connection of HTTP/2 after a request for which there was no memory: the head of each takes
	// memory before its request can be refused.
	refusedPause = 50 * time.Millisecond
	// maxUnanswered is how many bytes are read from a connection of HTTP/2 while it takes no answers. A frame that asks for one has 9 bytes.
	maxUnanswered = 16 << 10
)

// StreamMemory is the memory for requests that share a connection (HTTP/2). Its methods must not block.
type StreamMemory interface {
	TryTakeStream(bytes int) bool
	GiveStreamBack(bytes int)
}

// boundStreams takes memory for each request over HTTP/2. A connection carries many of them, so the bound on connections doesn't bound them.
// One without memory is refused.
func (d *Drainer) boundStreams(next http.Handler) http.Handler {
	if d.settings.Streams == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor < 2 {
			next.ServeHTTP(w, r)
			return
		}
		bytes := streamBytes + headSize(r)
		if !d.settings.Streams.TryTakeStream(bytes) {
			d.refuseStream(w, r)
			return
		}
		defer d.settings.Streams.GiveStreamBack(bytes)
		next.ServeHTTP(w, r)
	})
}

// headSize returns what the head of a request holds.
func headSize(r *http.Request) (bytes int) {
	bytes = len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			bytes += headFieldBytes + len(name) + len(value)
		}
	}
	return bytes
}

// refuseStream refuses a request for which there is no memory. It doesn't wait for long until the refusal is read; if too many wait already, the
// request is reset.
func (d *Drainer) refuseStream(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connectionKey{}).(*connection); ok && c != nil {
		c.pause()
	}
	d.unread.endStalled()
	defer d.refusing.Add(-1)
	if d.refusing.Add(1) > maxRefusing {
		panic(http.ErrAbortHandler)
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(lingerTime)) // Writers of tests have none.
	d.settings.RefuseStream(w, r)
	_ = control.Flush() // The caller may have left.
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (n int, err error) {
	if c.beginWrite() {
		defer c.endWrite()
	}
	return c.Conn.Write(p)
}

// beginWrite tells that a write is under way, which may last until the caller reads. It reports whether endWrite has to follow.
func (c *connection) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.multiplexed {
		return false
	}
	if c.writing == 0 {
		c.written = make(chan struct{})
		c.unanswered = 0
	}
	c.writing++
	return true
}

// endWrite tells that a write has ended.
func (c *connection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writing == 0 {
		close(c.written)
	}
}

// pause lets nothing be read from the connection for refusedPause.
func (c *connection) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = time.Now().Add(refusedPause)
}

// awaitPause waits until the connection may be read.
func (c *connection) awaitPause() {
	c.mu.Lock()
	until := c.pausedUntil
	c.mu.Unlock()
	if !until.IsZero() {
		time.Sleep(time.Until(until))
	}
}

// awaitWritten waits until the caller reads what is being written, if it has sent a lot since the write began. Package net/http keeps an answer to
// each frame that asks for one.
func (c *connection) awaitWritten() {
	c.mu.Lock()
	written := c.written
	wait := c.writing > 0 && c.unanswered > maxUnanswered
	c.mu.Unlock()
	if wait {
		<-written
	}
}
