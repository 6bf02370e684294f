package reserver

import (
	"sync/atomic"
	"time"
)

// evictionPause is the least time between two stalled requests that lose their place to requests over HTTP/2.
const evictionPause = 10 * time.Millisecond

// streams is the memory of requests over HTTP/2 beside their bodies. Thousands may come in the time in which one of them is served, so those
// for which there is no room don't take the lock of the Memory.
type streams struct {
	limit   int64
	held    atomic.Int64
	refused atomic.Int64
	// evictAt is when the next stalled request may lose its place, in nanoseconds since 1970.
	evictAt atomic.Int64
}

// TryTakeStream takes memory for a request over HTTP/2 without its body, and reports whether there was any. If not, a stalled request
// loses its place.
func (m *Memory) TryTakeStream(bytes int) bool {
	if m == nil {
		return true
	}
	if m.streams.held.Add(int64(bytes)) <= m.streams.limit && m.tryAdd(int64(bytes)) {
		return true
	}
	m.streams.held.Add(int64(-bytes))
	m.streams.refused.Add(1)
	now := m.now()
	if next := m.streams.evictAt.Load(); now.UnixNano() >= next && m.streams.evictAt.CompareAndSwap(next, now.Add(evictionPause).UnixNano()) {
		m.EvictStalled()
	}
	return false
}

// tryAdd takes memory without a Share, and reports whether there was any.
func (m *Memory) tryAdd(bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+bytes > m.bodiesBytes {
		return false
	}
	m.held += bytes
	return true
}

// GiveStreamBack gives back what TryTakeStream took.
func (m *Memory) GiveStreamBack(bytes int) {
	if m == nil {
		return
	}
	m.streams.held.Add(int64(-bytes))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= int64(bytes)
	m.signal()
}
