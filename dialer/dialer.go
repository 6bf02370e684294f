// Package dialer opens connections that count the bytes that they send and receive, or that are reset when they are closed before
// the peer has got all of them, and clients for calls to other daemons. Unlike the sizes of message bodies, the counts include headers and so show the network traffic of
// a daemon.
//
// # Usage
//
//	counter := dialer.ByteCounter{Sent: sent, Received: received}
//	transport := &http.Transport{DialContext: counter.Wrap((&net.Dialer{}).DialContext)}
package dialer

import (
	"context"
	"net"
)

// DialFunc opens a connection, as the method DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ByteCounter holds callbacks that receive the byte counts of reads and writes on connections, that
// is, of the TCP payload. They are called concurrently. A nil callback is not called.
type ByteCounter struct {
	Sent     func(bytes int)
	Received func(bytes int)
}

// Wrap returns a dial function whose connections report their reads and writes to c.
func (c ByteCounter) Wrap(dial DialFunc) DialFunc {
	if c.Sent == nil && c.Received == nil {
		return dial
	}
	if c.Sent == nil {
		c.Sent = func(int) {}
	}
	if c.Received == nil {
		c.Received = func(int) {}
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counter: c}, nil
	}
}

// countingConn is a connection that reports its reads and writes.
type countingConn struct {
	net.Conn
	counter ByteCounter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	c.counter.Received(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (n int, err error) {
	n, err = c.Conn.Write(p)
	c.counter.Sent(n)
	return n, err
}
