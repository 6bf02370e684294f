package forwarder

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rosemaryrill/rosemaryrill/classifier"
)

// trackedConn counts the bytes written to a connection. After blockWrites all further writes fail,
// so that the count that blockWrites returns is final.
type trackedConn struct {
	net.Conn
	// socket is the connection under those that count and close.
	socket net.Conn

	// writing is held during a write, and protects upload.
	writing sync.Mutex
	upload  upload

	mu            sync.Mutex
	writesBlocked bool
	written       uint64
	// carried are the hashes of the identities of the last calls that were sent on the connection, at most maxCarried.
	carried []uint64
}

// maxCarried bounds the calls that a connection remembers.
const maxCarried = 256

var errWritesBlocked = errors.New("the call was cancelled before it was sent")

// Write counts the bytes before it writes them to the underlying connection.
func (c *trackedConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.written += uint64(len(p))
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(p)
	c.upload.wrote(p[:n])
	return n, err
}

// blockWrites makes further writes fail and returns how many bytes were written so far.
func (c *trackedConn) blockWrites() (written uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.written
}

func (c *trackedConn) bytesWritten() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// carry records that a call is sent, and reports whether the connection remembers one with the same identity.
func (c *trackedConn) carry(identity string) (before bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hash := xxh3.HashString(identity)
	if slices.Contains(c.carried, hash) {
		return true
	}
	if len(c.carried) == maxCarried {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, hash)
	return false
}

// attempt is one HTTP request to a target. It records the connection that the transport assigns
// to the request, and how many bytes were written to that connection before.
type attempt struct {
	client  *Client
	target  netip.AddrPort
	request *http.Request
	cancel  context.CancelCauseFunc

	mu            sync.Mutex
	conn          *trackedConn
	writtenBefore uint64
	connAssigned  bool
	// connCarried is set if the connection has carried the same call before, so that a late copy of that one's refusal may arrive.
	connCarried bool
	// connReused is set if the connection was used before, so that a late copy of an earlier response may arrive on it.
	connReused bool
}

// newAttempt prepares a request. It clears GetBody, without which the transport can't replay the
// body in a retry. A path without a leading slash is rejected: "@host/" would make the URL point to
// another host.
func (c *Client) newAttempt(ctx context.Context, target netip.AddrPort, method, path string, body io.Reader) (*attempt, error) {
	if !strings.HasPrefix(path, "/") {
		return nil, &NotSentError{Target: target, Cause: &MalformedError{Part: "path"}}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{client: c, target: target, cancel: cancel}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.String()+path, body)
	if err != nil {
		cancel(err)
		return nil, &NotSentError{Target: target, Cause: err}
	}
	request.GetBody = nil
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	a.request = request
	c.counters.sent.Add(1)
	return a, nil
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.connAssigned, a.connReused = true, info.Reused
	if conn, ok := info.Conn.(*trackedConn); ok {
		a.conn = conn
		a.writtenBefore = conn.bytesWritten()
		conn.begin(newUpload(a.request.ContentLength))
		a.connCarried = conn.carry(cmp.Or(a.request.Header.Get(headerRequestID), a.request.URL.Path))
	}
}

// do sends the request and waits up to the given time for the response headers.
func (a *attempt) do(transport http.RoundTripper, wait time.Duration) (response *http.Response, err error) {
	timeout := &TimeoutError{Wait: "answer", After: wait}
	timer := time.AfterFunc(wait, func() { a.cancel(timeout) })
	defer timer.Stop()
	response, err = transport.RoundTrip(a.request)
	if err != nil {
		transportErr := a.transportError(err)
		a.cancel(err)
		return nil, transportErr
	}
	if classifier.Classify(response.StatusCode) != classifier.Final {
		return nil, a.statusError(response)
	}
	if conn := a.connection(); conn != nil && endsWithConnection(response) {
		response.Body = &unframedBody{ReadCloser: response.Body, conn: conn}
	}
	return response, nil
}

// statusError returns the error for a response with a number that is no status, and closes its connection.
func (a *attempt) statusError(response *http.Response) error {
	_ = response.Body.Close() // Nothing of it is needed.
	a.closeConn()
	a.cancel(nil)
	a.client.counters.broken.Add(1)
	return &BrokenError{Target: a.target, Cause: &StatusError{Status: response.StatusCode}, Sent: true}
}

// connection returns the connection that was assigned to the request; nil if it is not tracked.
func (a *attempt) connection() *trackedConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn
}

// transportError converts an error of the transport to a NotSentError or a BrokenError.
func (a *attempt) transportError(err error) error {
	cancelled := a.request.Context().Err() != nil
	if cancelled {
		err = context.Cause(a.request.Context())
	}
	if !a.mayHaveSent(cancelled) {
		a.client.counters.notSent.Add(1)
		return &NotSentError{Target: a.target, Cause: err}
	}
	a.client.counters.broken.Add(1)
	return &BrokenError{Target: a.target, Cause: err, Sent: true, ConnectionLost: !cancelled && !isTimeout(err)}
}

// mayHaveSent reports whether a byte of the request may have been written to the connection. If
// the request is cancelled or nothing of it is written yet, further writes are blocked first.
func (a *attempt) mayHaveSent(cancelled bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn == nil {
		// Either no connection has been assigned, or the connection belongs to
		// Settings.Transport and is not tracked. A cancelled request may still be assigned a
		// connection, but the transport does not write to it.
		return a.connAssigned
	}
	if cancelled || a.conn.bytesWritten() == a.writtenBefore {
		return a.conn.blockWrites() > a.writtenBefore
	}
	return true
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// brokenError returns the error for a response body that could not be read to its end.
func (a *attempt) brokenError(cause error) error {
	connectionLost := true
	if a.request.Context().Err() != nil {
		cause = context.Cause(a.request.Context())
		connectionLost = false
	}
	a.client.counters.broken.Add(1)
	return &BrokenError{Target: a.target, Cause: cause, Sent: true, ConnectionLost: connectionLost}
}

// identityError returns nil if a response belongs to the request: if it carries the request's ID or, on a connection that was
// not used before, none.
func (a *attempt) identityError(response *http.Response, id string) error {
	got := response.Header.Get(headerRequestID)
	if got != "" && got != id {
		return a.mismatchedResponseError(id, got)
	}
	a.mu.Lock()
	reused := a.connReused
	a.mu.Unlock()
	if got != "" || !reused {
		return nil
	}
	a.closeConn()
	a.client.counters.broken.Add(1)
	return &BrokenError{Target: a.target, Cause: &MalformedError{Part: "response without an ID on a kept connection"}, Sent: true}
}

// closeConn closes the connection, on which the response to the request may still arrive.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		_ = a.conn.Close() // Whatever it returns, the connection is not used again.
	}
}

// refusedError returns the error for a call that the target rejected without running it. On a connection that has carried the call
// before, the refusal may be a copy of an earlier one, so the call may have run.
func (a *attempt) refusedError(status int, code string) error {
	a.mu.Lock()
	carried := a.connCarried
	a.mu.Unlock()
	if carried {
		a.closeConn()
		a.client.counters.broken.Add(1)
		return &BrokenError{Target: a.target, Cause: &MalformedError{Part: "refusal on a connection that carried the call before"}, Sent: true}
	}
	a.client.counters.refused.Add(1)
	return &RefusedError{Target: a.target, Status: status, Code: code}
}

// mismatchedResponseError returns the error for a response that carries the ID of another request.
func (a *attempt) mismatchedResponseError(wanted, got string) error {
	a.closeConn()
	a.client.counters.mismatched.Add(1)
	return &MismatchedResponseError{Target: a.target, Wanted: wanted, Got: got}
}
