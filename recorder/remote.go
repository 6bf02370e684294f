package recorder

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/rosemaryrill/rosemaryrill/dialer"
	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/hosting/v1/hostingv1connect"
)

const (
	dialTimeout           = 150 * time.Millisecond
	maxIdlePerDaemon      = 2
	idleConnectionTimeout = 30 * time.Second
)

// handler serves the origins that a daemon knows to others.
type handler struct{ origins *Origins }

// NewHandler returns the path and the handler that serve the origins to other daemons.
func NewHandler(origins *Origins) (path string, served http.Handler) {
	return hostingv1connect.NewOriginServiceHandler(handler{origins: origins})
}

// Find serves a call of another daemon.
func (h handler) Find(_ context.Context, request *connect.Request[hostingv1.FindRequest]) (*connect.Response[hostingv1.FindResponse], error) {
	origin, known := h.origins.Known(request.Msg.GetStream())
	return connect.NewResponse(&hostingv1.FindResponse{Known: known, Software: origin.Software, Attempt: uint32(origin.Number())}), nil
}

// Client asks other daemons.
type Client struct{ http *http.Client }

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{http: dialer.NewPeerClient(dialer.PeerSettings{DialTimeout: dialTimeout, MaxIdle: maxIdlePerDaemon, IdleTimeout: idleConnectionTimeout})}
}

// Find asks a daemon for the origin of a stream.
func (c *Client) Find(ctx context.Context, daemon netip.AddrPort, stream uint64) (origin Origin, known bool, err error) {
	defer Error.WrapP(&err)
	client := hostingv1connect.NewOriginServiceClient(c.http, "http://"+daemon.String())
	response, err := client.Find(ctx, connect.NewRequest(&hostingv1.FindRequest{Stream: stream}))
	if err != nil {
		return Origin{}, false, err
	}
	return OriginOf(stream, response.Msg.GetSoftware(), uint64(response.Msg.GetAttempt())), response.Msg.GetKnown(), nil
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
