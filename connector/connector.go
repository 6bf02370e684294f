// Package connector sends HTTP/1.1 requests to targets over persistent connections, without retries.
//
// The client of net/http retries some requests by itself when a reused connection turns out to be
// closed, and accepts any response that arrives next on a connection. This package writes a request at
// most once, reports in the error whether any byte of it may have been sent, skips responses to other
// requests, and does not reuse a connection with unread bytes, nor for a request that was sent on it before.
//
// # Usage
//
//	c := connector.New(connector.Settings{})
//	defer c.Close()
//	response, err := c.Send(ctx, address, request)
//	var unsent *connector.UnsentError
//	if errors.As(err, &unsent) {
//		// Nothing was sent, so the request may go to any other target.
//	}
//	defer response.Close()
package connector

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/rosemaryrill/rosemaryrill/classifier"
	"github.com/rosemaryrill/rosemaryrill/reserver"
)

// Error is the class of all errors of this package.
var Error = errs.Class("connector")

const (
	// DefaultDialTimeout limits the time for opening a connection.
	DefaultDialTimeout = 200 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection may be reused if the target sends no Keep-Alive
	// timeout.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultMaxIdle limits the number of idle connections to one target.
	DefaultMaxIdle = 12
	// idleMargin is subtracted from the timeout in the target's Keep-Alive header, so that no request is written
	// while the target closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxInlineBytes is the largest body that is written before the response is read. Writing a larger
	// one first could block forever on a target that responds without reading it.
	maxInlineBytes  = 12 << 10
	readBufferBytes = 4 << 10
	// maxMismatchedResponses limits how many responses are skipped: informational (1xx) ones and responses to other
	// requests.
	maxMismatchedResponses = 3
	// maxHeadBytes limits what is read from a connection until the header of the response is complete, including skipped
	// responses without a body. A target in trouble may send bytes without end.
	maxHeadBytes = 64 << 10
	// maxMismatchedBytes limits the body of a skipped response.
	maxMismatchedBytes = 1 << 20
	// maxCarried is the number of requests after which a connection is closed, since it remembers the identity of each.
	maxCarried = 1000
)

// Settings are the parameters of a Connector.
type Settings struct {
	// DialTimeout limits the time for opening a connection. Default: DefaultDialTimeout.
	DialTimeout time.Duration
	// OnConnect is called with the time that the opening of a connection took. It is optional.
	OnConnect func(address netip.AddrPort, took time.Duration)
	// IdleTimeout is how long an idle connection may be reused if the target sends no Keep-Alive timeout.
	// Default: DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxIdle limits the number of idle connections to one target. Default: DefaultMaxIdle.
	MaxIdle int
	// Memory bounds the memory of incomplete headers. Default: no bound of all together.
	Memory *reserver.Budget
	// OnSocket is called with each socket before it is connected. Its error fails the connection. Default: no call.
	OnSocket func(socket syscall.RawConn) error
}

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path with its query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked selects chunked transfer encoding for the body instead of a Content-Length.
	Chunked bool
	// Identity is what tells the request from others, and what responses to it name. A connection that has carried a request
	// with the same identity is not used: a late copy of the earlier response could not be told from the response. If it is
	// empty, every connection is used.
	Identity string
	// MatchesResponse reports whether a response header belongs to this request. If it is nil, every
	// response is accepted.
	MatchesResponse func(http.Header) bool
	// NamesRequest reports whether a response header names the request that it answers. One that doesn't is skipped on a
	// connection that was used before, since it may be a late copy of an earlier response. If it is nil, none has to.
	NamesRequest func(http.Header) bool
	// Separate makes the request use connections that only other separate requests use. Late copies of responses that name no
	// request then never reach requests of callers.
	Separate bool
	// Exclusive makes the request use a connection of its own, which is closed after the response. A late copy of the
	// response to an earlier request cannot be taken for the response then, even if responses carry no identity.
	Exclusive bool
	// PeerTimeout is how long the target may leave sent bytes unacknowledged before the connection ends. A target that only
	// reads and writes nothing acknowledges them. Default: DefaultPeerTimeout.
	PeerTimeout time.Duration
}

// UnsentError is returned if no byte of the request was sent.
type UnsentError struct {
	Cause error
}

// Error includes the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NoResponseError is returned if the request may have been sent and no response was received. The target may
// have run it.
type NoResponseError struct {
	Cause error
}

// Error includes the cause.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("request sent, no response received: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// StatusError is the cause if a target sent a number that is no status in place of an answer.
type StatusError struct {
	Status int
}

// Error names the number.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%03d is no status of an answer", e.Status)
}

// Response is the response of a target. Body ends with io.EOF only if it was received completely, as far as that can be known. If the
// response is not Delimited, that takes that the target had the whole request before it ended the connection.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Delimited is set if the response states where its body ends, by a length or by chunks. Otherwise the body ends with
	// the connection, so that one that a target broke off without a reset ends with io.EOF too.
	Delimited bool

	body       io.ReadCloser
	connector  *Connector
	connection *connection
	upload     *upload
	// cancelAfterFunc cancels the closing of the connection at the end of the request's context. It returns false if
	// the context has ended already.
	cancelAfterFunc func() bool
	// bodyComplete is set once Body has returned io.EOF.
	bodyComplete bool
	// keepAlive is set if the target keeps the connection open after the response.
	keepAlive bool
	closeOnce sync.Once
}

// Connector manages persistent connections to targets. Its methods are safe for concurrent use.
type Connector struct {
	settings Settings
	dialer   net.Dialer

	mu   sync.Mutex
	idle map[poolKey][]*connection
	// sweptAt is when idle connections that are not reused any more were last closed.
	sweptAt time.Time
	closed  bool
}

// connection is a persistent connection to a target.
type connection struct {
	net.Conn
	// reader buffers what limiter lets through.
	reader  *bufio.Reader
	limiter *headLimiter
	pool    poolKey
	// used is set once a request was answered on the connection, and suspect if a response on it named no request.
	used, suspect bool
	// carried are the hashes of the identities of the requests that were sent on the connection.
	carried map[uint64]struct{}
	// idleDeadline is the time from which an idle connection is not reused, since the target may close it.
	idleDeadline time.Time
	// idleTimeout is the time from the release of the connection to idleDeadline.
	idleTimeout time.Duration
	// peerTimeout is the timeout that the kernel applies, and watch the watch of the current request; nil if there is none.
	peerTimeout time.Duration
	watch       *watch
	// unreachable is set if the watch closed the connection.
	unreachable atomic.Bool
}

// New returns a Connector without connections.
func New(settings Settings) *Connector {
	settings.DialTimeout = cmp.Or(settings.DialTimeout, DefaultDialTimeout)
	if settings.OnConnect == nil {
		settings.OnConnect = func(netip.AddrPort, time.Duration) {}
	}
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, DefaultIdleTimeout)
	settings.MaxIdle = cmp.Or(settings.MaxIdle, DefaultMaxIdle)
	return &Connector{
		settings: settings,
		dialer:   net.Dialer{Timeout: settings.DialTimeout, KeepAlive: -1, Control: settings.control},
		idle:     make(map[poolKey][]*connection),
	}
}

// Close closes the idle connections. A connection in use is closed when its response is closed.
func (c *Connector) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, connections := range c.idle {
		for _, conn := range connections {
			_ = conn.Close() // No request is open on it, so the error does not matter.
		}
	}
	clear(c.idle)
	return nil
}

// Send writes the request once and reads the header of the response. When ctx ends, the connection is
// closed, so that the target can cancel the request, and what it has not got yet of the request never reaches it.
func (c *Connector) Send(ctx context.Context, address netip.AddrPort, request Request) (response *Response, err error) {
	defer Error.WrapP(&err)
	conn, err := c.acquire(ctx, poolKey{address: address, separate: request.Separate}, request)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	if err := conn.setPeerTimeout(cmp.Or(request.PeerTimeout, DefaultPeerTimeout)); err != nil {
		_ = conn.Close() // Nothing was sent on it.
		return nil, &UnsentError{Cause: err}
	}
	cancelAfterFunc := context.AfterFunc(ctx, conn.abort) // Makes pending reads fail.
	upload := conn.write(request.encode())
	head, err := conn.readResponse(request)
	if err != nil {
		cancelAfterFunc()
		conn.watch.stop()
		conn.abort()
		return nil, &NoResponseError{Cause: cmp.Or(ctx.Err(), conn.explain(err))}
	}
	response = &Response{
		Status: head.StatusCode, Header: head.Header, body: head.Body,
		Delimited: head.ContentLength >= 0 || len(head.TransferEncoding) > 0,
		connector: c, connection: conn, upload: upload, cancelAfterFunc: cancelAfterFunc,
		keepAlive: !head.Close && !request.Exclusive && !conn.suspect && len(conn.carried) < maxCarried,
	}
	response.Body = &bodyReader{response: response}
	conn.idleTimeout = parseIdleTimeout(head.Header, c.settings.IdleTimeout)
	return response, nil
}

// Reach opens a connection to an address, which is closed again or used for the next request there. It returns an error if
// that fails.
func (c *Connector) Reach(ctx context.Context, address netip.AddrPort) (err error) {
	defer Error.WrapP(&err)
	conn, err := c.dial(ctx, poolKey{address: address})
	if err != nil {
		return err
	}
	conn.idleTimeout = c.settings.IdleTimeout
	c.release(conn)
	return nil
}

// Refuses reports whether nothing listens at an address: whether its host refuses a new connection, which is closed if it
// does not.
func (c *Connector) Refuses(ctx context.Context, address netip.AddrPort) bool {
	conn, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err == nil {
		_ = conn.Close() // Nothing was sent on it.
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// headLimiter limits what is read until a header is complete. The size of a body is limited by whoever reads it.
type headLimiter struct {
	reader io.Reader
	// memory reads from reader within the budget for incomplete headers.
	memory *reserver.Reader
	// inHead is set while a header is read, of which left bytes may still come.
	inHead bool
	left   int
}

// HeadTooLargeError is returned if a target sends more than maxHeadBytes without completing the header of a response.
type HeadTooLargeError struct{}

// Error says so.
func (*HeadTooLargeError) Error() string { return "the header of the response exceeds the size limit" }

// Read reads from the connection, within the limit of a header.
func (l *headLimiter) Read(p []byte) (n int, err error) {
	if !l.inHead {
		return l.reader.Read(p)
	}
	if l.left <= 0 {
		return 0, &HeadTooLargeError{}
	}
	n, err = l.memory.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// write sends the request. A request with a large body is written in a goroutine, so that the caller can read
// the response meanwhile.
func (c *connection) write(head, body, tail []byte) *upload {
	u := newUpload()
	if len(body) <= maxInlineBytes {
		_, err := c.Write(append(append(head, body...), tail...))
		u.result <- err
		return u
	}
	c.startWatch()
	watch := c.watch
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(body)
		}
		if err == nil && len(tail) > 0 {
			_, err = c.Write(tail)
		}
		watch.setWritten()
		u.result <- err
	}()
	return u
}

// explain returns the error of a read, or why the watch closed the connection.
func (c *connection) explain(err error) error {
	if c.unreachable.Load() {
		return ErrPeerUnreachable
	}
	return err
}

// readResponse reads the header of the response. It skips informational (1xx) responses and responses to
// other requests.
func (c *connection) readResponse(request Request) (response *http.Response, err error) {
	c.limiter.left = maxHeadBytes
	defer c.limiter.memory.Hold(0)
	for range maxMismatchedResponses + 1 {
		c.limiter.inHead = true
		response, err = http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		c.limiter.inHead = false
		switch classifier.Classify(response.StatusCode) {
		case classifier.None:
			return nil, &StatusError{Status: response.StatusCode}
		case classifier.Informational:
			continue
		}
		if c.belongs(request, response.Header) {
			return response, nil
		}
		if _, err := io.CopyN(io.Discard, response.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) || response.Close {
			return nil, errors.Join(errors.New("received a response to another request"), err)
		}
	}
	return nil, errors.New("received too many informational responses or responses to other requests")
}

// belongs reports whether a response header belongs to the request.
func (c *connection) belongs(request Request, header http.Header) bool {
	if request.NamesRequest != nil && !request.NamesRequest(header) {
		c.suspect = true
		if c.used {
			return false
		}
	}
	return request.MatchesResponse == nil || request.MatchesResponse(header)
}

// encode returns the wire format of the request. The body is not copied.
func (r Request) encode() (head, body, tail []byte) {
	var b strings.Builder
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	switch {
	case r.Chunked && len(r.Body) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // Writing to a strings.Builder does not fail.
	b.WriteString("\r\n")
	if r.Chunked && len(r.Body) > 0 {
		return fmt.Appendf(nil, "%s%x\r\n", b.String(), len(r.Body)), r.Body, []byte("\r\n0\r\n\r\n")
	}
	return []byte(b.String()), r.Body, nil
}

// parseIdleTimeout returns the timeout in the Keep-Alive header minus idleMargin, or the fallback if the header contains
// no timeout.
func parseIdleTimeout(header http.Header, fallback time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return fallback
}

// bodyReader reads the body and records whether it was received completely. Once it has returned an error, it returns that again.
type bodyReader struct {
	response *Response
	err      error
}

func (b *bodyReader) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err = b.response.body.Read(p)
	b.err = b.classify(err)
	return n, b.err
}

// classify returns the error of a read. It is io.EOF only if the body is whole.
func (b *bodyReader) classify(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		if err := b.response.verifyEnd(); err != nil {
			return err
		}
		b.response.bodyComplete = true
		return io.EOF
	case b.response.connection != nil:
		return b.response.connection.explain(err)
	}
	return err
}

// Close makes the connection available for reuse if the context of the request is still active, the
// target keeps the connection open, the whole request was written, the whole response was read and no
// further bytes are buffered. Otherwise it closes the connection.
func (r *Response) Close() error {
	r.closeOnce.Do(func() {
		contextActive := r.cancelAfterFunc()
		if r.connection == nil {
			return
		}
		r.connection.watch.stop()
		r.connection.watch = nil
		if contextActive && r.bodyComplete && r.keepAlive && r.upload.succeeded() && r.connection.reader.Buffered() == 0 {
			r.connection.used = true
			r.connector.release(r.connection)
			return
		}
		r.connection.abort() // The rest of the response is not needed.
	})
	return nil
}

// IsHopByHop reports whether a header is hop-by-hop: it applies to a single connection and must not be
// forwarded.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade", "Proxy-Connection":
		return true
	}
	return false
}

// NewResponse returns a delimited response without a connection, for test doubles of a Connector.
func NewResponse(status int, header http.Header, body io.ReadCloser) *Response {
	response := &Response{Status: status, Header: header, Delimited: true, body: body, cancelAfterFunc: func() bool { return false }}
	response.Body = &bodyReader{response: response}
	return response
}
