package connector

import (
	"bufio"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// sweepInterval is the least time between two searches for idle connections that are not reused any more.
const sweepInterval = time.Second

// poolKey identifies the connections that may serve the same requests.
type poolKey struct {
	address  netip.AddrPort
	separate bool
}

// acquire returns a reusable idle connection, unless the request is exclusive, or else a new one.
func (c *Connector) acquire(ctx context.Context, pool poolKey, request Request) (conn *connection, err error) {
	for !request.Exclusive {
		conn := c.takeIdle(pool, request.Identity)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleDeadline) && conn.reusable() {
			conn.carry(request.Identity)
			return conn, nil
		}
		_ = conn.Close() // No request is open on it, so the error does not matter.
	}
	conn, err = c.dial(ctx, pool)
	if err != nil {
		return nil, err
	}
	conn.carry(request.Identity)
	return conn, nil
}

// dial opens a connection.
func (c *Connector) dial(ctx context.Context, pool poolKey) (*connection, error) {
	begun := time.Now()
	opened, err := c.dialer.DialContext(ctx, "tcp", pool.address.String())
	if err != nil {
		return nil, err
	}
	c.settings.OnConnect(pool.address, time.Since(begun))
	limiter := &headLimiter{reader: opened, memory: c.settings.Memory.Reader(opened)}
	return &connection{
		Conn: opened, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, pool: pool, carried: make(map[uint64]struct{}),
	}, nil
}

// takeIdle removes the idle connection that was used last from the pool, among those that have not carried the identity, and
// returns it; nil if there is none.
func (c *Connector) takeIdle(pool poolKey, identity string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[pool]
	for i, conn := range slices.Backward(idle) {
		if conn.hasCarried(identity) {
			continue
		}
		c.idle[pool] = slices.Delete(idle, i, i+1)
		return conn
	}
	return nil
}

// carry records that a request with the identity is sent on the connection.
func (c *connection) carry(identity string) {
	if identity != "" {
		c.carried[xxh3.HashString(identity)] = struct{}{}
	}
}

// hasCarried reports whether a request with the identity was sent on the connection.
func (c *connection) hasCarried(identity string) bool {
	if identity == "" {
		return false
	}
	_, carried := c.carried[xxh3.HashString(identity)]
	return carried
}

// release makes a connection available for the next request. If MaxIdle connections to the target are idle
// already, or the Connector is closed, it closes the connection.
func (c *Connector) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[conn.pool]
	if c.closed || len(idle) >= c.settings.MaxIdle {
		_ = conn.Close() // No request is open on it, so the error does not matter.
		return
	}
	now := time.Now()
	conn.idleDeadline = now.Add(conn.idleTimeout)
	c.idle[conn.pool] = append(idle, conn)
	if now.Sub(c.sweptAt) >= sweepInterval {
		c.sweptAt = now
		c.closeExpired(now)
	}
}

// closeExpired closes the idle connections that are not reused any more. Those to targets that are gone would otherwise keep
// their descriptors. The caller holds mu.
func (c *Connector) closeExpired(now time.Time) {
	for pool, idle := range c.idle {
		kept := slices.DeleteFunc(idle, func(conn *connection) bool {
			expired := !now.Before(conn.idleDeadline)
			if expired {
				_ = conn.Close() // No request is open on it, so the error does not matter.
			}
			return expired
		})
		if c.idle[pool] = kept; len(kept) == 0 {
			delete(c.idle, pool)
		}
	}
}
