package limiter

import "time"

// account is the state of a client account at this daemon.
type account struct {
	name     string
	limits   Limits
	requests bucket
	tokens   bucket
	loan     loan
	inFlight int
	waiting  [classCount][]*waitingCall
	// nextStartTag is the start tag of the account's next call in start-time fair queueing. It
	// grows by the tokens of each admitted call, divided by the account's weight.
	nextStartTag float64
}

// account returns the state of an account and creates it if needed. The caller holds the lock.
func (l *Limiter) account(name string) *account {
	known := l.accounts[name]
	if known == nil {
		known = &account{name: name}
		l.accounts[name] = known
	}
	return known
}

// weight returns the account's weight in fair queueing.
func (a *account) weight() float64 {
	if a.limits.FairShareWeight <= 0 {
		return 1
	}
	return a.limits.FairShareWeight
}

func (a *account) waitingCalls() int {
	total := 0
	for _, waiting := range a.waiting {
		total += len(waiting)
	}
	return total
}

// queuedPerWeight returns the number of waiting calls of a class, divided by the account's weight.
func (a *account) queuedPerWeight(class Class) float64 {
	return float64(len(a.waiting[class])) / a.weight()
}

// oldestWaiting returns the oldest waiting call of a class whose deadline has not passed.
func (a *account) oldestWaiting(class Class, now time.Time) *waitingCall {
	for _, w := range a.waiting[class] {
		if w.request.Deadline.IsZero() || now.Before(w.request.Deadline) {
			return w
		}
	}
	return nil
}

// charge takes one request and its tokens from the account's buckets, or returns a LimitError
// if a bucket is in debt.
func (l *Limiter) charge(a *account, tokens int, now time.Time) error {
	requestRate := a.limits.RequestsPerSecond * l.usableFraction(a, now)
	tokenRate := a.limits.TokensPerSecond * l.usableFraction(a, now)
	a.requests.refill(requestRate, now)
	a.tokens.refill(tokenRate, now)
	retryAfter := max(a.requests.delay(requestRate), a.tokens.delay(tokenRate))
	if retryAfter > 0 {
		return &LimitError{Account: a.name, RetryAfter: retryAfter}
	}
	a.requests.draw(1)
	a.tokens.draw(float64(tokens))
	return nil
}

// refund credits the request and the tokens of a call that did not run to the account's buckets.
func (l *Limiter) refund(w *waitingCall, now time.Time) {
	a := w.account
	fraction := l.usableFraction(a, now)
	a.requests.refill(a.limits.RequestsPerSecond*fraction, now)
	a.requests.draw(-1)
	a.tokens.refill(a.limits.TokensPerSecond*fraction, now)
	a.tokens.draw(-float64(w.request.Tokens))
}

// underConcurrencyLimit reports whether the account may run another call at this daemon. Every
// daemon allows at least one.
func (l *Limiter) underConcurrencyLimit(a *account, now time.Time) bool {
	if a.limits.MaxConcurrent <= 0 {
		return true
	}
	bound := max(float64(a.limits.MaxConcurrent)*l.usableFraction(a, now), 1)
	return float64(a.inFlight+1) <= bound
}
