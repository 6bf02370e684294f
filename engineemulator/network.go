package engineemulator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"syscall"
)

// Server is a server on a Network: an Engine or another emulated target.
type Server interface {
	http.Handler
	// Incarnation returns an empty string while the server refuses connections.
	Incarnation() string
}

// Network is an http.RoundTripper that connects clients to emulated servers without sockets, so
// that both run within a testing/synctest bubble. Close waits for the handlers, which end once
// their servers are closed or their clients have disconnected.
type Network struct {
	handlers sync.WaitGroup

	mu      sync.Mutex
	servers map[netip.AddrPort]Server
	// onRequest, if set, is called for each request that reaches a server.
	onRequest func(*http.Request)
}

// NewNetwork returns a network without servers. It calls onRequest, which may be nil, for each
// request that reaches a server.
func NewNetwork(onRequest func(*http.Request)) *Network {
	return &Network{servers: make(map[netip.AddrPort]Server), onRequest: onRequest}
}

// Add makes a server reachable at an address.
func (n *Network) Add(address netip.AddrPort, server Server) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = server
}

// Remove makes new connections to the address fail, as a network partition does. Requests in
// flight continue.
func (n *Network) Remove(address netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// Close waits until all handlers have returned.
func (n *Network) Close() (err error) {
	n.handlers.Wait()
	return nil
}

// RoundTrip sends a request to its server and returns once the response header is available.
func (n *Network) RoundTrip(request *http.Request) (response *http.Response, err error) {
	defer Error.WrapP(&err)
	ctx := request.Context()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	address, err := netip.ParseAddrPort(request.URL.Host)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	server := n.servers[address]
	n.mu.Unlock()
	if server == nil || server.Incarnation() == "" {
		return nil, fmt.Errorf("connect to %s: %w", address, syscall.ECONNREFUSED)
	}
	body, err := readRequest(request)
	if err != nil {
		return nil, err
	}
	if trace := httptrace.ContextClientTrace(ctx); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	if n.onRequest != nil {
		n.onRequest(request)
	}
	return n.serve(ctx, server, request, body)
}

func readRequest(request *http.Request) (body []byte, err error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	return io.ReadAll(request.Body)
}

// serve runs the handler of the server in a goroutine and waits for the response header.
func (n *Network) serve(ctx context.Context, server Server, request *http.Request, body []byte) (*http.Response, error) {
	serverCtx, cancelHandler := context.WithCancel(ctx)
	incoming := request.Clone(serverCtx)
	incoming.RequestURI = request.URL.RequestURI()
	incoming.Body = io.NopCloser(bytes.NewReader(body))
	reader, writer := io.Pipe()
	answer := &pipeResponseWriter{header: make(http.Header), body: writer, responseStarted: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	n.handlers.Add(1)
	go func() {
		defer n.handlers.Done()
		defer cancelHandler()
		defer stop()
		answer.finish(runHandler(server, answer, incoming))
	}()
	select {
	case <-answer.responseStarted:
	case <-ctx.Done():
		cancelHandler()
		return nil, ctx.Err()
	}
	if answer.failure != nil {
		return nil, answer.failure
	}
	return &http.Response{
		Status:     http.StatusText(answer.status),
		StatusCode: answer.status,
		Proto:      "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header:        answer.sentHeader,
		Body:          &responseBody{PipeReader: reader, cancelHandler: cancelHandler},
		ContentLength: -1,
		Request:       request,
	}, nil
}

// runHandler runs a handler and converts a panic with http.ErrAbortHandler to ECONNRESET, the
// error that a client sees when the connection breaks.
func runHandler(server Server, w http.ResponseWriter, r *http.Request) (err error) {
	defer func() {
		failure := recover()
		if failure == nil {
			return
		}
		if abort, ok := failure.(error); !ok || !errors.Is(abort, http.ErrAbortHandler) {
			panic(failure)
		}
		err = syscall.ECONNRESET
	}()
	server.ServeHTTP(w, r)
	return nil
}

// responseBody is a response body whose Close cancels the handler.
type responseBody struct {
	*io.PipeReader
	cancelHandler context.CancelFunc
}

// Close cancels the context of the handler and closes the pipe.
func (b *responseBody) Close() (err error) {
	b.cancelHandler()
	return b.PipeReader.Close()
}

// pipeResponseWriter is the http.ResponseWriter of a handler. The client reads the body from
// the other end of the pipe.
type pipeResponseWriter struct {
	header          http.Header
	sentHeader      http.Header
	status          int
	body            *io.PipeWriter
	responseStarted chan struct{}
	failure         error
}

// Header returns the header that WriteHeader sends.
func (w *pipeResponseWriter) Header() http.Header { return w.header }

// WriteHeader sends the status and the header; later calls have no effect.
func (w *pipeResponseWriter) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.sentHeader = w.header.Clone()
	close(w.responseStarted)
}

// Write sends a part of the body and blocks until the client has read it.
func (w *pipeResponseWriter) Write(p []byte) (count int, err error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

// Flush does nothing, because every write is passed to the client at once.
func (w *pipeResponseWriter) Flush() {}

// finish ends the response. An error before the header fails the request; a later one fails
// the reads of the body.
func (w *pipeResponseWriter) finish(err error) {
	if w.status == 0 {
		if err != nil {
			w.failure = err
			w.status = http.StatusInternalServerError
			close(w.responseStarted)
			return
		}
		w.WriteHeader(http.StatusOK)
	}
	if err != nil {
		_ = w.body.CloseWithError(err)
		return
	}
	_ = w.body.Close()
}
