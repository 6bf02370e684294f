package limiter

import (
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/router"
)

// waitingCall is a call that waits in the queue or, once admitted, occupies a slot until its release.
type waitingCall struct {
	account    *account
	request    Request
	enqueuedAt time.Time
	// ready receives nil when the call is admitted and an error when it is shed.
	ready chan error
}

// queue orders the waiting calls by start-time fair queueing. The calls themselves are stored in
// their accounts, by class.
type queue struct {
	length int
	// active are the accounts with waiting calls.
	active []*account
	// virtualTime is the largest start tag of the calls admitted so far.
	virtualTime float64
}

func (q *queue) push(w *waitingCall) {
	a := w.account
	if a.waitingCalls() == 0 {
		q.active = append(q.active, a)
		a.nextStartTag = max(a.nextStartTag, q.virtualTime)
	}
	class := w.request.Class
	a.waiting[class] = append(a.waiting[class], w)
	q.length++
}

// remove removes a call from the queue and reports whether it was waiting.
func (q *queue) remove(w *waitingCall) bool {
	a := w.account
	class := w.request.Class
	i := slices.Index(a.waiting[class], w)
	if i < 0 {
		return false
	}
	a.waiting[class] = slices.Delete(a.waiting[class], i, i+1)
	q.length--
	if a.waitingCalls() == 0 {
		q.active = slices.DeleteFunc(q.active, func(other *account) bool { return other == a })
	}
	return true
}

// advance moves the virtual time up to the start tag of a call that starts, and the next start
// tag of its account by the call's tokens divided by the account's weight.
func (q *queue) advance(w *waitingCall) {
	q.virtualTime = max(q.virtualTime, w.account.nextStartTag)
	w.account.nextStartTag += float64(max(w.request.Tokens, 1)) / w.account.weight()
}

// next returns the oldest waiting call of the class from the account with the smallest start tag,
// among the accounts for which mayStart is true.
func (q *queue) next(class Class, now time.Time, mayStart func(*account) bool) *waitingCall {
	var best *account
	var first *waitingCall
	for _, a := range q.active {
		w := a.oldestWaiting(class, now)
		if w == nil || !mayStart(a) {
			continue
		}
		if best == nil || a.nextStartTag < best.nextStartTag {
			best, first = a, w
		}
	}
	return first
}

// victim returns the call to shed: the newest call of the account with the most waiting calls
// per weight, a deferrable call if there is any.
func (q *queue) victim() *waitingCall {
	for _, class := range [classCount]Class{router.ClassDeferrable, router.ClassInteractive} {
		var worst *account
		for _, a := range q.active {
			if len(a.waiting[class]) > 0 && (worst == nil || a.queuedPerWeight(class) > worst.queuedPerWeight(class)) {
				worst = a
			}
		}
		if worst != nil {
			return worst.waiting[class][len(worst.waiting[class])-1]
		}
	}
	return nil
}
