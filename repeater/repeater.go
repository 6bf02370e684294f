// Package repeater lets the daemons of a data centre read the platform's store through one of them, so that the calls to
// the store grow with the number of data centres and not with that of daemons.
//
// Each daemon keeps a Copy of what its followers read and serves it to others. A Reader is the store of a follower: it
// asks the daemons of its data centre that rank before its own, and reads the store itself if none of them answers
// soundly. The first daemon in the ranking has nobody to ask, so it always reads the store. No lease is needed: any number
// of daemons may read the store at the same time.
//
// Each answer tells its age: how long ago the store confirmed that there were no further changes, by a clock that counts
// suspensions. The asking daemon subtracts it from the time at which it sent its own call. What it concludes therefore
// holds whatever delays the answer, and daemons that ask each other in a circle see their ages grow until one of them
// reads the store.
//
// # Usage
//
//	items := repeater.NewCopy(repeater.CopySettings{Sink: sink})
//	f := follower.New(follower.Settings{Store: reader, Sink: items, OnContact: items.Confirm})
//	mux.Handle(repeater.NewHandler(map[string]*repeater.Copy{prefix: items}))
package repeater

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/dialer"
	hostingv1 "github.com/rosemaryrill/rosemaryrill/proto/hosting/v1"
	"github.com/rosemaryrill/rosemaryrill/proto/hosting/v1/hostingv1connect"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("repeater")

const (
	dialTimeout           = 500 * time.Millisecond
	maxIdlePerDaemon      = 4
	idleConnectionTimeout = 30 * time.Second
	// maxMessageBytes limits the size of one answer. The store limits a value to 1 MB.
	maxMessageBytes = 16 << 20
	// longestWait limits how long a call may wait for changes.
	longestWait = 30 * time.Second
)

// handler serves copies to other daemons.
type handler struct {
	copies map[string]*Copy
}

// NewHandler returns the path and the handler that serve copies, by the prefix of their keys.
func NewHandler(copies map[string]*Copy) (path string, served http.Handler) {
	return hostingv1connect.NewStoreServiceHandler(&handler{copies: copies}, connect.WithReadMaxBytes(maxMessageBytes))
}

// Watch serves a call of another daemon.
func (h *handler) Watch(ctx context.Context, request *connect.Request[hostingv1.WatchRequest]) (*connect.Response[hostingv1.WatchResponse], error) {
	items, found := h.copies[request.Msg.GetPrefix()]
	if !found {
		return nil, connect.NewError(connect.CodeNotFound, errs.New("no copy of the prefix %q", request.Msg.GetPrefix()))
	}
	wait := min(time.Duration(min(request.Msg.GetWaitMs(), uint64(longestWait.Milliseconds())))*time.Millisecond, longestWait)
	events, err := items.Watch(ctx, storer.Version(request.Msg.GetAfter()), wait)
	var unconfirmed *UnconfirmedError
	if errors.As(err, &unconfirmed) {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(encodeEvents(events)), nil
}

func encodeEvents(events storer.Events) *hostingv1.WatchResponse {
	response := &hostingv1.WatchResponse{
		Revision: uint64(events.Revision), Compacted: events.Compacted, AfterOutage: events.AfterOutage,
		AgeMs: uint64(events.Age.Milliseconds()) + 1, // Rounded up, since an age must not be understated.
	}
	for _, event := range events.Events {
		response.Changes = append(response.Changes, &hostingv1.Change{
			Key: event.Item.Key, Value: event.Item.Value, Revision: uint64(event.Item.Version), Lease: string(event.Item.Lease),
			Deleted: event.Kind == storer.EventDelete,
		})
	}
	return response
}

// Client calls other daemons. It implements Peers.
type Client struct {
	http *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{http: dialer.NewPeerClient(dialer.PeerSettings{DialTimeout: dialTimeout, MaxIdle: maxIdlePerDaemon, IdleTimeout: idleConnectionTimeout})}
}

// Watch asks a daemon for its changes.
func (c *Client) Watch(ctx context.Context, daemon netip.AddrPort, prefix string, after storer.Version, wait time.Duration) (events storer.Events, err error) {
	defer Error.WrapP(&err)
	client := hostingv1connect.NewStoreServiceClient(c.http, "http://"+daemon.String(), connect.WithReadMaxBytes(maxMessageBytes))
	response, err := client.Watch(ctx, connect.NewRequest(&hostingv1.WatchRequest{
		Prefix: prefix, After: uint64(after), WaitMs: uint64(max(wait, 0).Milliseconds()),
	}))
	if err != nil {
		return storer.Events{}, err
	}
	return decodeEvents(response.Msg), nil
}

func decodeEvents(response *hostingv1.WatchResponse) storer.Events {
	events := storer.Events{
		Revision: storer.Version(response.GetRevision()), Compacted: response.GetCompacted(), AfterOutage: response.GetAfterOutage(),
		Age: time.Duration(min(response.GetAgeMs(), uint64(time.Hour.Milliseconds()))) * time.Millisecond,
	}
	for _, change := range response.GetChanges() {
		kind := storer.EventPut
		if change.GetDeleted() {
			kind = storer.EventDelete
		}
		events.Events = append(events.Events, storer.Event{Kind: kind, Item: storer.Item{
			Key: change.GetKey(), Value: change.GetValue(), Version: storer.Version(change.GetRevision()), Lease: storer.LeaseID(change.GetLease()),
		}})
	}
	return events
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}
