package drainer

import (
	"net/http"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

// unreadGrace is how long a caller may leave a piece of an answer over HTTP/2 unread while there is no memory for others.
const unreadGrace = time.Second

// unreadAnswers are the answers over HTTP/2 that are being written, each of which lasts until its caller reads. Its methods are safe for
// concurrent use.
type unreadAnswers struct {
	mu sync.Mutex
	// since is when the write of each answer began, and checkedAt when they were looked through last.
	since     map[*answer]time.Time
	checkedAt time.Time
}

// add tells that a write begins.
func (u *unreadAnswers) add(a *answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.since == nil {
		u.since = make(map[*answer]time.Time)
	}
	if _, writing := u.since[a]; !writing {
		u.since[a] = time.Now()
	}
}

// remove tells that the write has ended.
func (u *unreadAnswers) remove(a *answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.since, a)
}

// endStalled resets the requests whose callers have left a piece of the answer unread for unreadGrace. It looks for them once in that time.
func (u *unreadAnswers) endStalled() {
	if !u.mu.TryLock() {
		return // Another request looks for them, or will.
	}
	defer u.mu.Unlock()
	now := time.Now()
	if now.Sub(u.checkedAt) < unreadGrace {
		return
	}
	u.checkedAt = now
	for a, since := range u.since {
		if now.Sub(since) >= unreadGrace {
			delete(u.since, a)
			_ = http.NewResponseController(a.ResponseWriter).SetWriteDeadline(dialer.ExpiredDeadline) // Fails only if the request has ended.
		}
	}
}
