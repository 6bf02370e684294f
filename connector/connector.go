// Package connector sends HTTP/1.1 requests to targets over kept connections, each exactly once.
//
// The client of net/http repeats some requests by itself when a kept connection has died, and takes
// whatever comes next on a connection for the answer. Here a request is written at most once, an
// error says whether any byte of it may have left, answers that belong to other requests are passed
// over, and a connection on which anything is left over is not used again.
//
// # Usage
//
//	c := connector.New(connector.Settings{})
//	defer c.Close()
//	response, err := c.Send(ctx, address, request)
//	var unsent *connector.UnsentError
//	if errors.As(err, &unsent) {
//		// Nothing left; any other target may be tried.
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
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("connector")

const (
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 200 * time.Millisecond
	// DefaultIdleTimeout is how long a kept connection is used where the target names no time.
	DefaultIdleTimeout = 2 * time.Second
	// DefaultMaxIdle bounds the kept connections to one target.
	DefaultMaxIdle = 12
	// idleMargin keeps clear of the time after which the target closes an idle connection.
	idleMargin = 700 * time.Millisecond
	// inlineBytes is the largest request that is written before the answer is read. A larger one
	// might wait for a target that answers without reading.
	inlineBytes = 12 << 10
	readBuffer  = 4 << 10
	// maxStrayAnswers bounds the answers to other requests that are passed over.
	maxStrayAnswers = 3
	// maxStrayBytes bounds the body of such an answer.
	maxStrayBytes = 1 << 20
)

// Settings are the parameters of a Connector.
type Settings struct {
	// DialTimeout bounds the opening of a connection. Default: DefaultDialTimeout.
	DialTimeout time.Duration
	// IdleTimeout is how long a kept connection is used where the target names no time. Default:
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// MaxIdle bounds the kept connections to one target. Default: DefaultMaxIdle.
	MaxIdle int
}

// Request is one request to a target.
type Request struct {
	Method string
	// URI is the path with its query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Chunked writes the body in chunks instead of with its length.
	Chunked bool
	// Answers says whether a header belongs to the answer of this request; nil takes any.
	Answers func(http.Header) bool
}

// UnsentError says that no byte of the request left.
type UnsentError struct {
	Cause error
}

// Error names the cause.
func (e *UnsentError) Error() string { return fmt.Sprintf("not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// BrokenError says that the request was sent and that its answer did not come: it may have run.
type BrokenError struct {
	Cause error
}

// Error names the cause.
func (e *BrokenError) Error() string { return fmt.Sprintf("sent, no answer: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Response is the answer of a target. Body ends with io.EOF only where the answer is whole.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader

	body       io.ReadCloser
	connector  *Connector
	connection *connection
	written    <-chan error
	stop       func() bool
	whole      bool
	lasting    bool
	once       sync.Once
}

// Connector keeps connections to targets. Its methods are safe for concurrent use.
type Connector struct {
	settings Settings
	dialer   net.Dialer

	mu     sync.Mutex
	idle   map[netip.AddrPort][]*connection
	closed bool
}

type connection struct {
	net.Conn
	reader  *bufio.Reader
	address netip.AddrPort
	// usableUntil is when the target may close the connection while it is idle.
	usableUntil time.Time
	keptFor     time.Duration
}

// New returns a Connector without connections.
func New(settings Settings) *Connector {
	settings.DialTimeout = cmp.Or(settings.DialTimeout, DefaultDialTimeout)
	settings.IdleTimeout = cmp.Or(settings.IdleTimeout, DefaultIdleTimeout)
	settings.MaxIdle = cmp.Or(settings.MaxIdle, DefaultMaxIdle)
	return &Connector{
		settings: settings,
		dialer:   net.Dialer{Timeout: settings.DialTimeout, KeepAlive: -1, Control: watchSilence},
		idle:     make(map[netip.AddrPort][]*connection),
	}
}

// Close closes the idle connections; those in use are closed when their response is.
func (c *Connector) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, connections := range c.idle {
		for _, kept := range connections {
			_ = kept.Close() // Nothing is left to send.
		}
	}
	clear(c.idle)
	return nil
}

// Send writes the request once and reads the head of its answer. When ctx ends the connection is
// closed, which tells the target to stop.
func (c *Connector) Send(ctx context.Context, address netip.AddrPort, request Request) (response *Response, err error) {
	defer Error.WrapP(&err)
	conn, err := c.take(ctx, address)
	if err != nil {
		return nil, &UnsentError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // The reader sees the end.
	written := conn.write(request.encode())
	answer, err := conn.readAnswer(request)
	if err != nil {
		stop()
		_ = conn.Close() // The error of the answer is the one that counts.
		return nil, &BrokenError{Cause: cmp.Or(ctx.Err(), err)}
	}
	response = &Response{
		Status: answer.StatusCode, Header: answer.Header, body: answer.Body,
		connector: c, connection: conn, written: written, stop: stop,
		lasting: !answer.Close,
	}
	response.Body = &bodyReader{response: response}
	conn.keptFor = keptFor(answer.Header, c.settings.IdleTimeout)
	return response, nil
}

// take returns an idle connection that is still sound, or a new one.
func (c *Connector) take(ctx context.Context, address netip.AddrPort) (conn *connection, err error) {
	for {
		conn := c.pop(address)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.usableUntil) && conn.quiet() {
			return conn, nil
		}
		_ = conn.Close() // Nothing was sent on it.
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: opened, reader: bufio.NewReaderSize(opened, readBuffer), address: address}, nil
}

func (c *Connector) pop(address netip.AddrPort) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[address]
	if len(kept) == 0 {
		return nil
	}
	conn := kept[len(kept)-1]
	c.idle[address] = kept[:len(kept)-1]
	return conn
}

// keep takes a connection back for the next request.
func (c *Connector) keep(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[conn.address]
	if c.closed || len(kept) >= c.settings.MaxIdle {
		_ = conn.Close() // Nothing is left to send.
		return
	}
	conn.usableUntil = time.Now().Add(conn.keptFor)
	c.idle[conn.address] = append(kept, conn)
}

// write sends the request, a large one beside the reading of the answer.
func (c *connection) write(head, body []byte) <-chan error {
	written := make(chan error, 1)
	if len(body) <= inlineBytes {
		_, err := c.Write(append(head, body...))
		written <- err
		return written
	}
	go func() {
		_, err := c.Write(head)
		if err == nil {
			_, err = c.Write(body)
		}
		written <- err
	}()
	return written
}

// readAnswer reads the head of the answer, passing over answers to other requests.
func (c *connection) readAnswer(request Request) (answer *http.Response, err error) {
	for range maxStrayAnswers + 1 {
		answer, err = http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if request.Answers == nil || request.Answers(answer.Header) {
			return answer, nil
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxStrayBytes); !errors.Is(err, io.EOF) || answer.Close {
			return nil, errors.Join(errors.New("an answer to another request came"), err)
		}
	}
	return nil, errors.New("too many answers to other requests")
}

// encode returns the bytes of the request.
func (r Request) encode() (head, body []byte) {
	var b strings.Builder
	b.Grow(1 << 10)
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	switch {
	case r.Chunked && len(r.Body) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut:
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_ = r.Header.Write(&b) // A strings.Builder does not fail.
	b.WriteString("\r\n")
	if r.Chunked && len(r.Body) > 0 {
		return []byte(b.String()), []byte(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(r.Body), r.Body))
	}
	return []byte(b.String()), r.Body
}

// keptFor reads how long the target keeps an idle connection.
func keptFor(header http.Header, otherwise time.Duration) time.Duration {
	for _, parameter := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return otherwise
}

// bodyReader reads the body and notes whether it came whole.
type bodyReader struct {
	response *Response
}

func (b *bodyReader) Read(p []byte) (n int, err error) {
	n, err = b.response.body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		b.response.whole = true
		return n, io.EOF
	}
	return n, err
}

// Close gives the connection back where nothing is left on it, and closes it otherwise.
func (r *Response) Close() error {
	r.once.Do(func() {
		undisturbed := r.stop()
		if r.connection == nil {
			return
		}
		if undisturbed && r.whole && r.lasting && r.writtenWhole() && r.connection.reader.Buffered() == 0 {
			r.connector.keep(r.connection)
			return
		}
		_ = r.connection.Close() // The answer was read as far as it is wanted.
	})
	return nil
}

func (r *Response) writtenWhole() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}

// OfConnection says whether a header concerns one connection alone, and is not passed on.
func OfConnection(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Te", "Trailer", "Upgrade", "Proxy-Connection":
		return true
	}
	return false
}

// NewResponse returns a response without a connection, for stand-ins of a Connector.
func NewResponse(status int, header http.Header, body io.ReadCloser) *Response {
	response := &Response{Status: status, Header: header, body: body, stop: func() bool { return false }}
	response.Body = &bodyReader{response: response}
	return response
}
