// Package forwarder sends calls to targets: model calls, service calls, polls and orders.
//
// The type of the error of a failed call indicates whether any byte of the request may have been
// sent to the target. A call that is not idempotent is sent at most once: the transport can't retry
// it, and redirects are not followed.
//
// # Usage
//
// One Client serves a whole daemon. Every wait is bounded, by the context and by Settings:
//
//	client := forwarder.New(forwarder.Settings{})
//	defer client.Close()
//	stream, err := client.Generate(ctx, target, forwarder.ModelCall{RunID: "r1", Account: "a"})
//	for event, err := stream.Next(); err == nil; event, err = stream.Next() {
//		// Use the event.
//	}
//
// Errors are checked with errors.As. A NotSentError means that no byte was sent, a RefusedError
// that the target did not run the call, a BrokenError that the call may have run, and a
// MismatchedResponseError that the response belongs to another request.
package forwarder

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/dialer"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Error is the class of all errors of this package.
var Error = errs.Class("forwarder")

// Defaults of Settings.
const (
	DefaultConnectTimeout   = time.Second
	DefaultHeaderTimeout    = 60 * time.Second
	DefaultEventTimeout     = 10 * time.Second
	DefaultControlTimeout   = time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxIdlePerTarget = 32
	DefaultMaxBodyBytes     = 16 << 20
	DefaultMaxImportBytes   = 256 << 20
	DefaultMaxEventBytes    = 1 << 20
	// DefaultAnswerBytes is the memory of all incomplete answers together.
	DefaultAnswerBytes = 64 << 20
	maxHeaderBytes     = 64 << 10
	keepAliveInterval  = 5 * time.Second
)

// Settings configure a Client. Zero values are replaced by the defaults.
type Settings struct {
	// Transport replaces the client's own HTTP transports; tests use one without a network.
	Transport http.RoundTripper
	// ByteCounter counts the bytes of the client's connections, headers included.
	ByteCounter dialer.ByteCounter
	// ConnectTimeout bounds the wait for a connection.
	ConnectTimeout time.Duration
	// HeaderTimeout bounds the wait for response headers, including queueing at the target.
	HeaderTimeout time.Duration
	// EventTimeout bounds the wait for each event of a stream but the first, which is bounded
	// by HeaderTimeout.
	EventTimeout time.Duration
	// ControlTimeout bounds polls, orders and cancellations as a whole.
	ControlTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept open.
	IdleTimeout time.Duration
	// MaxIdlePerTarget is how many idle connections are kept open for each target.
	MaxIdlePerTarget int
	// MaxBodyBytes bounds the response body of a service or a control call, MaxImportBytes the
	// data of exported cache blocks and MaxEventBytes one event of a stream.
	MaxBodyBytes   int64
	MaxImportBytes int64
	MaxEventBytes  int
	// Memory bounds the memory of incomplete answers together, except those of Export. Default: a budget of
	// DefaultAnswerBytes for the client.
	Memory *reserver.Budget
}

func (s Settings) withDefaults() Settings {
	s.ConnectTimeout = cmp.Or(s.ConnectTimeout, DefaultConnectTimeout)
	s.HeaderTimeout = cmp.Or(s.HeaderTimeout, DefaultHeaderTimeout)
	s.EventTimeout = cmp.Or(s.EventTimeout, DefaultEventTimeout)
	s.ControlTimeout = cmp.Or(s.ControlTimeout, DefaultControlTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, DefaultIdleTimeout)
	s.MaxIdlePerTarget = cmp.Or(s.MaxIdlePerTarget, DefaultMaxIdlePerTarget)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	s.MaxImportBytes = cmp.Or(s.MaxImportBytes, DefaultMaxImportBytes)
	s.MaxEventBytes = cmp.Or(s.MaxEventBytes, DefaultMaxEventBytes)
	if s.Memory == nil {
		s.Memory = reserver.NewBudget(DefaultAnswerBytes)
	}
	return s
}

// Client sends calls to targets. It is safe for concurrent use.
type Client struct {
	settings        Settings
	sharedTransport http.RoundTripper
	counters        counters
	// namesRequests contains the addresses of services whose last answer carried the ID of its request.
	namesRequests sync.Map
}

type counters struct {
	sent       atomic.Uint64
	notSent    atomic.Uint64
	refused    atomic.Uint64
	broken     atomic.Uint64
	mismatched atomic.Uint64
}

// Counters count the calls of a Client by their outcome.
type Counters struct {
	// Sent counts the calls that were started.
	Sent    uint64
	NotSent uint64
	Refused uint64
	Broken  uint64
	// Mismatched counts responses and events that carried the ID of another request.
	Mismatched uint64
}

// New returns a client with no open connections.
func New(settings Settings) *Client {
	settings = settings.withDefaults()
	c := &Client{settings: settings, sharedTransport: settings.Transport}
	if c.sharedTransport == nil {
		c.sharedTransport = newTransport(settings, false)
	}
	return c
}

// Close closes the idle connections. Running calls are not interrupted; they end with their
// contexts.
func (c *Client) Close() (err error) {
	if closer, ok := c.sharedTransport.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
	return nil
}

// Counters returns the counts so far.
func (c *Client) Counters() Counters {
	return Counters{
		Sent:       c.counters.sent.Load(),
		NotSent:    c.counters.notSent.Load(),
		Refused:    c.counters.refused.Load(),
		Broken:     c.counters.broken.Load(),
		Mismatched: c.counters.mismatched.Load(),
	}
}

// newTransport returns a transport whose connections count the bytes written. With singleUse,
// each request opens a new connection and closes it afterwards.
func newTransport(settings Settings, singleUse bool) *http.Transport {
	netDialer := &net.Dialer{Timeout: settings.ConnectTimeout, KeepAlive: keepAliveInterval}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			tracked := &trackedConn{}
			dial := func(ctx context.Context, network, address string) (conn net.Conn, err error) {
				tracked.socket, err = netDialer.DialContext(ctx, network, address)
				return tracked.socket, err
			}
			var err error
			tracked.Conn, err = settings.ByteCounter.Wrap(dialer.Abandoning(dial))(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return tracked, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    settings.MaxIdlePerTarget,
		IdleConnTimeout:        settings.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
