// Package limiter decides which calls may start now, which wait, and which are refused before
// they run.
//
// Each daemon has one Limiter. It holds three bounds:
//
//   - The limits of an account on requests, tokens and concurrent calls. They hold for all
//     daemons of a data centre together. Each daemon owns an even part of each limit, and lends
//     what it does not need to named peers for a few seconds. A loan binds its lender until it
//     ends, whether or not the borrower hears of it, so that the parts never sum up to more
//     than the limit, also while daemons are cut off from each other.
//   - The capacity of the pool. Beyond it calls wait in a queue with their deadlines. Interactive
//     calls go first, and within a class the accounts share by start-time fair queueing, so
//     that none takes more than its share while another waits.
//   - The length of the queue. Beyond it the newest deferrable call of the account that waits
//     with the most for its share is shed, and interactive ones only when no deferrable is left.
//
// Every error means that the call has not run. Retries draw on a budget that calls pay into.
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
// Daemons pass each other the result of Usage, which the receiver gives to ObservePeer.
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

// Class says whether a caller waits for the answer.
type Class = router.Class

// classes is the number of classes.
const classes = 2

// Limits bound an account over all daemons of a data centre. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	MaxConcurrent     int
	// Share weighs the account against others that wait; zero means 1.
	Share float64
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
	// Tokens is the size of the call: its prompt and the longest answer.
	Tokens int
	// Deadline is when the caller gives up; zero means only with its context.
	Deadline time.Time
}

// Limiter admits calls. Its methods are safe for concurrent use.
type Limiter struct {
	settings Settings
	retries  *Budget

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	queue    queue
	inFlight [classes]int
	capacity int
}

// New returns a limiter that knows no accounts; unknown accounts have no limits.
func New(settings Settings) *Limiter {
	settings = settings.withDefaults()
	return &Limiter{
		settings: settings,
		retries:  NewBudget(settings.Retries),
		accounts: make(map[string]*account),
		peers:    make(map[string]*peer),
		capacity: settings.Capacity,
	}
}

// SetAccounts replaces the limits of all accounts.
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

// SetCapacity changes how many calls may run at once.
func (l *Limiter) SetCapacity(calls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.capacity = max(calls, 1)
	l.dispatch(time.Now())
}

// Admit waits until the call may start. The caller calls release when the call has ended. The
// error says that the call has not run: a *LimitError where the account is beyond its limits, a
// *ShedError where the queue is full, a *DeadlineError where the deadline passed, or the error
// of the context.
func (l *Limiter) Admit(ctx context.Context, request Request) (release func(), err error) {
	defer Error.WrapP(&err)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w, err := l.enter(request, time.Now())
	if err != nil {
		return nil, err
	}
	if err := l.await(ctx, w); err != nil {
		return nil, err
	}
	l.retries.Deposit()
	return sync.OnceFunc(func() { l.release(w) }), nil
}

// enter checks the limits of the account and puts the call into the queue.
func (l *Limiter) enter(request Request, now time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !request.Deadline.IsZero() && !now.Before(request.Deadline) {
		return nil, &DeadlineError{Account: request.Account, Deadline: request.Deadline}
	}
	a := l.account(request.Account)
	a.requests.demand.add(1, now)
	a.tokens.demand.add(float64(request.Tokens), now)
	if err := l.take(a, request.Tokens, now); err != nil {
		return nil, err
	}
	w := &waiter{account: a, request: request, entered: now, ready: make(chan error, 1)}
	l.queue.push(w)
	l.dispatch(now)
	if l.queue.length > l.settings.MaxQueue {
		l.shed(now)
	}
	return w, nil
}

// await waits until the call is admitted or refused.
func (l *Limiter) await(ctx context.Context, w *waiter) error {
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
		return l.leave(w, ctx.Err())
	case <-expired:
		waited := time.Since(w.entered)
		return l.leave(w, &DeadlineError{Account: w.request.Account, Deadline: w.request.Deadline, Waited: waited})
	}
}

// leave takes a call that gave up out of the queue. A call that was admitted at the same
// moment gives its place back.
func (l *Limiter) leave(w *waiter, reason error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.queue.remove(w) {
		if err := <-w.ready; err != nil {
			return err
		}
		l.free(w, now)
	}
	l.refund(w, now)
	return reason
}

func (l *Limiter) release(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.free(w, time.Now())
}

// free gives the place of a call to the next one. The lock is held.
func (l *Limiter) free(w *waiter, now time.Time) {
	l.inFlight[w.request.Class]--
	w.account.inFlight--
	l.dispatch(now)
}

// dispatch admits waiting calls while there is room. The lock is held.
func (l *Limiter) dispatch(now time.Time) {
	for {
		w := l.next(now)
		if w == nil {
			return
		}
		l.queue.remove(w)
		l.queue.serve(w)
		l.inFlight[w.request.Class]++
		w.account.inFlight++
		w.ready <- nil
	}
}

// next returns the call that starts next, or nil where none may.
func (l *Limiter) next(now time.Time) *waiter {
	total := 0
	for _, count := range l.inFlight {
		total += count
	}
	if total >= l.capacity {
		return nil
	}
	room := func(a *account) bool { return l.hasRoom(a, now) }
	if w := l.queue.next(router.ClassInteractive, now, room); w != nil {
		return w
	}
	if l.inFlight[router.ClassDeferrable] >= l.deferrableCapacity() {
		return nil
	}
	return l.queue.next(router.ClassDeferrable, now, room)
}

// deferrableCapacity is how many deferrable calls may run at once.
func (l *Limiter) deferrableCapacity() int {
	return max(int(float64(l.capacity)*l.settings.DeferrableShare), 1)
}

// shed refuses one waiting call.
func (l *Limiter) shed(now time.Time) {
	w := l.queue.victim()
	l.queue.remove(w)
	l.refund(w, now)
	w.ready <- &ShedError{Account: w.request.Account, Class: w.request.Class, Queued: l.queue.length}
}

// Retry reports whether a call may be sent again, and draws on the budget for it.
func (l *Limiter) Retry() bool { return l.retries.Withdraw() }

// Queued returns the number of waiting calls.
func (l *Limiter) Queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.length
}
