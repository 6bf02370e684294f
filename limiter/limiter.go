// Package limiter decides which calls may start now, which wait, and which are refused before
// they run.
//
// A Limiter enforces three limits at one daemon:
//
//   - The limits of each account on requests, tokens and concurrent calls. They apply to all
//     daemons of a data centre together. Each daemon owns an even part of each limit and lends
//     what it does not need to named peers for a few seconds. A loan binds the lender until it
//     ends, whether or not the borrower receives it, so that the parts never add up to more
//     than the limit, even under a network partition.
//   - The capacity: the number of calls that may run at once. Further calls wait in a queue until
//     their deadlines. Interactive calls are admitted first. Within a class, start-time fair
//     queueing divides the capacity among the accounts, so that none gets more than its share
//     while another waits.
//   - The length of the queue. Beyond it a call is shed: the newest deferrable call of the
//     account with the most waiting calls relative to its weight, or an interactive one if no
//     deferrable call waits.
//
// Every error means that the call has not run. Retries are limited by a retry budget, to which
// each admitted call adds a fraction of a retry.
//
// # Usage
//
//	limits := limiter.New(limiter.Settings{Capacity: 64})
//	limits.SetAccounts(accounts)
//	limits.SetPeers([]string{"daemon-2", "daemon-3"})
//	release, err := limits.Admit(ctx, limiter.Request{Account: "demo", Tokens: 4000, Deadline: deadline})
//	if err != nil {
//		return err // *LimitError, *ShedError, *DeadlineError or the error of ctx
//	}
//	defer release()
//
// Daemons send each other the result of Usage, which the receiver passes to ObservePeer.
package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/router"
)

// Error is the class of all errors of this package.
var Error = errs.Class("limiter")

// Class is the scheduling class of a call. It depends on whether the caller waits for the answer.
type Class = router.Class

// classCount is the number of classes.
const classCount = 2

// Limits are the limits of an account over all daemons of a data centre. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrent     int
	// FairShareWeight is the account's weight in fair queueing; zero means 1.
	FairShareWeight float64
}

// Account is a client account.
type Account struct {
	Name   string
	Limits Limits
}

// Request asks for a call to start.
type Request struct {
	Account string
	Class   Class
	// Tokens is the size of the call: the tokens of its prompt and of the longest answer.
	Tokens int
	// Deadline is when the call stops waiting; zero means that only the context ends the wait.
	Deadline time.Time
}

// Limiter admits calls. Its methods are safe for concurrent use.
type Limiter struct {
	settings Settings
	retries  *RetryBudget

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peerReport
	queue    queue
	inFlight [classCount]int
	capacity int
}

// New returns a Limiter without accounts. Accounts that were not set have no limits.
func New(settings Settings) *Limiter {
	settings = settings.withDefaults()
	return &Limiter{
		settings: settings,
		retries:  NewRetryBudget(settings.Retries),
		accounts: make(map[string]*account),
		peers:    make(map[string]*peerReport),
		capacity: settings.Capacity,
	}
}

// SetAccounts replaces the limits of all accounts. Accounts that are not in the list have no
// limits afterwards. Demand, loans and waiting calls of all accounts are kept.
func (l *Limiter) SetAccounts(accounts []Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.accounts {
		known.limits = Limits{}
	}
	for _, wanted := range accounts {
		l.account(wanted.Name).limits = wanted.Limits
	}
	l.dispatch(time.Now())
}

// SetCapacity changes how many calls may run at once, at least one.
func (l *Limiter) SetCapacity(calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = max(calls, 1)
	l.dispatch(time.Now())
}

// Admit waits until the call may start. The caller calls release when the call has ended. An
// error means that the call has not run: a *LimitError if the account exceeds its limits, a
// *ShedError if the call was shed from a full queue, a *DeadlineError if the deadline passed, or
// the error of the context.
func (l *Limiter) Admit(ctx context.Context, request Request) (release func(), err error) {
	defer Error.WrapP(&err)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := l.enqueue(request, time.Now())
	if err != nil {
		return nil, err
	}
	if err := l.wait(ctx, w); err != nil {
		return nil, err
	}
	l.retries.Deposit()
	return sync.OnceFunc(func() { l.release(w) }), nil
}

// enqueue charges the call to its account, puts it into the queue and sheds a call if the queue
// is too long.
func (l *Limiter) enqueue(request Request, now time.Time) (*waitingCall, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return nil, &DeadlineError{Account: request.Account, Deadline: request.Deadline}
	}
	a := l.account(request.Account)
	a.requests.demand.add(1, now)
	a.tokens.demand.add(float64(request.Tokens), now)
	if err := l.charge(a, request.Tokens, now); err != nil {
		return nil, err
	}
	w := &waitingCall{account: a, request: request, enqueuedAt: now, ready: make(chan error, 1)}
	l.queue.push(w)
	l.dispatch(now)
	if l.queue.length > l.settings.MaxQueue {
		l.shed(now)
	}
	return w, nil
}

// wait waits until the call is admitted or shed, its deadline passes or the context ends.
func (l *Limiter) wait(ctx context.Context, w *waitingCall) error {
	var expired <-chan time.Time
	if !w.request.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(w.request.Deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case err := <-w.ready:
		return err
	case <-ctx.Done():
		return l.abandon(w, ctx.Err())
	case <-expired:
		waited := time.Since(w.enqueuedAt)
		return l.abandon(w, &DeadlineError{Account: w.request.Account, Deadline: w.request.Deadline, Waited: waited})
	}
}

// abandon removes a call that stops waiting from the queue and returns the reason. If the call
// was admitted concurrently, its slot is released; if it was shed, that error is returned.
func (l *Limiter) abandon(w *waitingCall, reason error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.queue.remove(w) {
		if err := <-w.ready; err != nil {
			return err
		}
		l.releaseSlot(w, now)
	}
	l.refund(w, now)
	return reason
}

func (l *Limiter) release(w *waitingCall) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.releaseSlot(w, time.Now())
}

// releaseSlot frees the slot of a call and admits the next one. The caller holds the lock.
func (l *Limiter) releaseSlot(w *waitingCall, now time.Time) {
	l.inFlight[w.request.Class]--
	w.account.inFlight--
	l.dispatch(now)
}

// dispatch admits waiting calls while there is capacity. The caller holds the lock.
func (l *Limiter) dispatch(now time.Time) {
	for {
		w := l.next(now)
		if w == nil {
			return
		}
		l.queue.remove(w)
		l.queue.advance(w)
		l.inFlight[w.request.Class]++
		w.account.inFlight++
		w.ready <- nil
	}
}

// next returns the call to admit next, or nil if none may start.
func (l *Limiter) next(now time.Time) *waitingCall {
	total := 0
	for _, count := range l.inFlight {
		total += count
	}
	if total >= l.capacity {
		return nil
	}
	mayStart := func(a *account) bool { return l.underConcurrencyLimit(a, now) }
	if w := l.queue.next(router.ClassInteractive, now, mayStart); w != nil {
		return w
	}
	if l.inFlight[router.ClassDeferrable] >= l.deferrableCapacity() {
		return nil
	}
	return l.queue.next(router.ClassDeferrable, now, mayStart)
}

// deferrableCapacity returns how many deferrable calls may run at once.
func (l *Limiter) deferrableCapacity() int {
	return max(int(float64(l.capacity)*l.settings.DeferrableFraction), 1)
}

// shed removes one waiting call from the queue with a ShedError. The caller holds the lock.
func (l *Limiter) shed(now time.Time) {
	w := l.queue.victim()
	l.queue.remove(w)
	l.refund(w, now)
	w.ready <- &ShedError{Account: w.request.Account, Class: w.request.Class, Queued: l.queue.length}
}

// TryRetry reports whether the retry budget allows a call to be sent again, and takes one retry
// from the budget if it does.
func (l *Limiter) TryRetry() bool { return l.retries.TryWithdraw() }

// QueueLength returns the number of waiting calls.
func (l *Limiter) QueueLength() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.length
}
