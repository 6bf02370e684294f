// Package exchanger implements the RPCs between daemons with connect-go, client and server:
// gossip exchanges, fetches of the configuration log and of warm state, queries for the outcome
// of a non-idempotent call, copies of the record of outages and refusals, and requests by topic.
//
// # Usage
//
//	client := exchanger.NewClient(exchanger.ClientSettings{})
//	answer, err := client.Exchange(ctx, address, message)
//
//	path, handler := exchanger.NewHandler(exchanger.Handlers{Gossip: g, OutcomeLedger: ledger})
//	mux.Handle(path, handler)
//
// Hand-written functions convert between the types of the other packages and the protobuf
// messages.
package exchanger

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/dialer"
	"github.com/rosemaryrill/rosemaryrill/dispatcher"
	"github.com/rosemaryrill/rosemaryrill/gossiper"
	peerv1 "github.com/rosemaryrill/rosemaryrill/proto/peer/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/peer/v1/peerv1connect"
)

// Error is the class of all errors of this package.
var Error = errs.Class("exchanger")

const (
	defaultDialTimeout = time.Second
	// maxMessageBytes limits the size of one message between daemons.
	maxMessageBytes       = 16 << 20
	maxIdleConnections    = 64
	maxIdlePerDaemon      = 2
	idleConnectionTimeout = time.Minute
)

// State describes the configuration and the readiness of a daemon. Its sections contain the warm
// state with which a starting daemon initializes its own.
type State struct {
	// Configuration identifies the daemon's current configuration.
	Configuration gossiper.Digest
	// InForce is the revision that all components of the daemon have applied. It may be lower than
	// that of Configuration.
	InForce uint64
	// Ready is true if the daemon has caught up since its start.
	Ready    bool
	Sections []gossiper.Section
}

// ClientSettings are the parameters of a Client.
type ClientSettings struct {
	// Transport sends the calls; by default a transport with its own connection pool, to which
	// ByteCounter and TLS apply.
	Transport http.RoundTripper
	// ByteCounter receives the byte counts of the connections, headers included.
	ByteCounter dialer.ByteCounter
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// Wrap, if set, wraps the transport, for example for tracing.
	Wrap func(http.RoundTripper) http.RoundTripper
	// Sent and Received are called with the sizes of request and response bodies.
	Sent     func(bytes int)
	Received func(bytes int)
}

// Client calls other daemons.
type Client struct {
	settings ClientSettings
	scheme   string
	http     *http.Client
	calls    atomic.Int64
}

// NewClient returns a Client.
func NewClient(settings ClientSettings) *Client {
	if settings.Transport == nil {
		settings.Transport = newTransport(settings)
	}
	if settings.Wrap != nil {
		settings.Transport = settings.Wrap(settings.Transport)
	}
	scheme := "http"
	if settings.TLS != nil {
		scheme = "https"
	}
	return &Client{settings: settings, scheme: scheme, http: &http.Client{Transport: settings.Transport}}
}

// newTransport returns the default transport, with its own connection pool.
func newTransport(settings ClientSettings) *http.Transport {
	return &http.Transport{
		DialContext:         settings.ByteCounter.Wrap(newDialer().DialContext),
		TLSClientConfig:     settings.TLS,
		MaxIdleConnsPerHost: maxIdlePerDaemon,
		MaxIdleConns:        maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}
}

// Calls returns how many calls the client has started.
func (c *Client) Calls() int64 {
	return c.calls.Load()
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// peerClient counts a call and returns the RPC client for the daemon at the address.
func (c *Client) peerClient(address netip.AddrPort) peerv1connect.PeerServiceClient {
	c.calls.Add(1)
	url := c.scheme + "://" + address.String()
	return peerv1connect.NewPeerServiceClient(c.http, url, connect.WithReadMaxBytes(maxMessageBytes))
}

// Exchange sends the message to the daemon at the address and returns its response.
func (c *Client) Exchange(ctx context.Context, address netip.AddrPort, message gossiper.Message) (answer gossiper.Message, err error) {
	defer Error.WrapP(&err)
	request := exchangeToWire(message)
	response, err := c.peerClient(address).Exchange(ctx, connect.NewRequest(request))
	if err != nil {
		return gossiper.Message{}, err
	}
	c.countBytes(request, response.Msg)
	return exchangeFromWire(response.Msg)
}

// FetchEntries returns the encoded entries of the configuration log after the revision, or the
// whole encoded state if the daemon has discarded those entries.
func (c *Client) FetchEntries(ctx context.Context, address netip.AddrPort, after uint64, maxBytes int) (entries [][]byte, state []byte, err error) {
	defer Error.WrapP(&err)
	request := &peerv1.FetchEntriesRequest{After: after, MaxBytes: uint32(maxBytes)}
	response, err := c.peerClient(address).FetchEntries(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, nil, err
	}
	c.countBytes(request, response.Msg)
	return response.Msg.GetEntries(), response.Msg.GetState(), nil
}

// FetchState returns the state of the daemon at the address, with sections of at most maxBytes
// in total.
func (c *Client) FetchState(ctx context.Context, address netip.AddrPort, maxBytes int) (state State, err error) {
	defer Error.WrapP(&err)
	request := &peerv1.FetchStateRequest{MaxBytes: uint32(maxBytes)}
	response, err := c.peerClient(address).FetchState(ctx, connect.NewRequest(request))
	if err != nil {
		return State{}, err
	}
	c.countBytes(request, response.Msg)
	return State{
		Configuration: digestFromWire(response.Msg.GetConfiguration()),
		InForce:       response.Msg.GetInForce(),
		Ready:         response.Msg.GetReady(),
		Sections:      sectionsFromWire(response.Msg.GetSections()),
	}, nil
}

// Outcome queries the daemon for the outcome of the intent. The daemon delays its response until
// the call has ended or the context is done.
func (c *Client) Outcome(ctx context.Context, address netip.AddrPort, id dispatcher.IntentID) (answer dispatcher.Answer, state dispatcher.State, err error) {
	defer Error.WrapP(&err)
	request := &peerv1.OutcomeRequest{Key: id.Key, Nonce: id.Nonce}
	response, err := c.peerClient(address).Outcome(ctx, connect.NewRequest(request))
	if err != nil {
		return dispatcher.Answer{}, dispatcher.StateNotHeld, err
	}
	answer, state = outcomeFromWire(response.Msg)
	return answer, state, nil
}

// CopyRecord stores a copy of a batch of the record of outages and refusals at the daemon, or
// deletes the copy if drop is true.
func (c *Client) CopyRecord(ctx context.Context, address netip.AddrPort, key string, batch []byte, drop bool) (err error) {
	defer Error.WrapP(&err)
	request := &peerv1.CopyRecordRequest{Key: key, Batch: batch, Drop: drop}
	_, err = c.peerClient(address).CopyRecord(ctx, connect.NewRequest(request))
	return err
}

// Ask sends a request to the daemon's handler of the topic and returns its response.
func (c *Client) Ask(ctx context.Context, address netip.AddrPort, topic string, data []byte) (answer []byte, err error) {
	defer Error.WrapP(&err)
	request := &peerv1.AskRequest{Topic: topic, Data: data}
	response, err := c.peerClient(address).Ask(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	c.countBytes(request, response.Msg)
	return response.Msg.GetData(), nil
}
