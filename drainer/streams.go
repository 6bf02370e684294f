package drainer

import (
	"net/http"
	"time"
)

const (
	// streamBytes is what a request over HTTP/2 takes beside its head and its body.
	streamBytes = 16 << 10
	// maxRefusing bounds the requests over HTTP/2 whose refusals wait for the caller to read them.
	maxRefusing = 64
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
	if c := connectionOf(r); c != nil {
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
