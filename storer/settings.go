package storer

import (
	"cmp"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/rosemaryrill/rosemaryrill/dialer"
)

// ErrClosed is the cause of the UnavailableError of calls that are made after Close.
var ErrClosed = errors.New("client is closed")

// ErrRateLimited is the cause of the error of a call that was not sent because the rate limit of
// the client (CallsPerSecond, CallBurst) did not admit it before its deadline.
var ErrRateLimited = errors.New("rate limit of platform calls exceeded")

// ErrCircuitOpen is the cause of the error of a call that was not sent because earlier calls
// failed and the circuit breaker is open.
var ErrCircuitOpen = errors.New("circuit breaker is open after recent platform failures")

// The defaults of Settings.
const (
	DefaultCallsPerSecond  = 50
	DefaultCallBurst       = 100
	DefaultAttempts        = 4
	DefaultRetryBase       = 50 * time.Millisecond
	DefaultRetryCap        = time.Second
	DefaultAttemptTimeout  = 2 * time.Second
	DefaultDialTimeout     = 500 * time.Millisecond
	DefaultFailuresToOpen  = 5
	DefaultOpenFor         = time.Second
	DefaultOpenCap         = 5 * time.Second
	DefaultMaxConnections  = 16
	DefaultIdleConnections = 8
)

// Settings configure a Client. Zero fields take their defaults.
type Settings struct {
	// ByteCounter receives the byte counts of the connections, headers included.
	ByteCounter dialer.ByteCounter
	// Addresses are the endpoints of the service. If no connection can be made to one, the
	// next is tried.
	Addresses []netip.AddrPort
	// CallsPerSecond limits the rate of calls of this client, retries and watches included,
	// with bursts of CallBurst. A call over the limit is delayed, or fails with ErrRateLimited if
	// the delay would exceed its deadline.
	CallsPerSecond float64
	CallBurst      int
	// Attempts limits how often a read is sent. The backoff between two attempts has full
	// jitter; its upper bound is RetryBase, doubled after each attempt up to RetryCap.
	Attempts  int
	RetryBase time.Duration
	RetryCap  time.Duration
	// AttemptTimeout is the timeout of one attempt; the wait of a watch is added to it.
	AttemptTimeout time.Duration
	// DialTimeout is the timeout for connecting to one address.
	DialTimeout time.Duration
	// FailuresToOpen is how many consecutive failures open the circuit. It stays open for a
	// jittered OpenFor, doubled with each failed probe up to OpenCap; while it is open, calls
	// fail immediately.
	FailuresToOpen int
	OpenFor        time.Duration
	OpenCap        time.Duration
	// Wrap, if set, wraps the transport of the calls, for example for tracing.
	Wrap func(http.RoundTripper) http.RoundTripper
	// MaxConnections limits the connections to one address.
	MaxConnections int
}

func (s Settings) withDefaults() Settings {
	s.CallsPerSecond = cmp.Or(s.CallsPerSecond, DefaultCallsPerSecond)
	s.CallBurst = cmp.Or(s.CallBurst, DefaultCallBurst)
	s.Attempts = cmp.Or(s.Attempts, DefaultAttempts)
	s.RetryBase = cmp.Or(s.RetryBase, DefaultRetryBase)
	s.RetryCap = cmp.Or(s.RetryCap, DefaultRetryCap)
	s.AttemptTimeout = cmp.Or(s.AttemptTimeout, DefaultAttemptTimeout)
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.FailuresToOpen = cmp.Or(s.FailuresToOpen, DefaultFailuresToOpen)
	s.OpenFor = cmp.Or(s.OpenFor, DefaultOpenFor)
	s.OpenCap = cmp.Or(s.OpenCap, DefaultOpenCap)
	s.MaxConnections = cmp.Or(s.MaxConnections, DefaultMaxConnections)
	return s
}
