package storer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// breaker is a circuit breaker. It opens after failureThreshold consecutive failures, so that
// callers fail immediately during an outage. After openInterval it allows one probe; a
// successful probe closes the circuit, a failed one opens it for twice as long.
type breaker struct {
	mu               sync.Mutex
	failureThreshold int
	baseOpenInterval time.Duration
	maxOpenInterval  time.Duration
	failures         int
	openInterval     time.Duration
	openUntil        time.Time
	probeInFlight    bool
}

func newBreaker(settings Settings) *breaker {
	return &breaker{failureThreshold: settings.FailuresToOpen, baseOpenInterval: settings.OpenFor, maxOpenInterval: settings.OpenCap}
}

// allow reports whether a call may be sent, and whether it is a probe. Each allowed call must
// be followed by exactly one of recordSuccess, recordFailure and releaseProbe.
func (b *breaker) allow() (probe, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < b.failureThreshold {
		return false, true
	}
	if b.probeInFlight || time.Now().Before(b.openUntil) {
		return false, false
	}
	b.probeInFlight = true
	return true, true
}

// recordSuccess closes the circuit.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures = 0
	b.openInterval = 0
	b.probeInFlight = false
}

// recordFailure counts a failure. While the circuit is open, only a failed probe extends the
// open interval; failures of calls that were sent before it opened do not.
func (b *breaker) recordFailure(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if probe {
		b.probeInFlight = false
	}
	if b.failures == b.failureThreshold || (probe && b.failures > b.failureThreshold) {
		b.open()
	}
}

// releaseProbe allows another probe after one that ended without a result, for example
// because its caller cancelled it.
func (b *breaker) releaseProbe(probe bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if probe {
		b.probeInFlight = false
	}
}

// open starts the next open interval: it doubles the previous one up to maxOpenInterval, and
// draws the actual duration between half and all of it.
func (b *breaker) open() {
	b.openInterval = min(max(2*b.openInterval, b.baseOpenInterval), b.maxOpenInterval)
	half := b.openInterval / 2
	b.openUntil = time.Now().Add(half + rand.N(half+1))
}
