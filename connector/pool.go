package connector

import (
	"bufio"
	"context"
	"net/netip"
	"slices"
	"time"
)

// sweepInterval is the least time between two searches for idle connections that are not reused any more.
const sweepInterval = time.Second

// poolKey identifies the connections that may serve the same requests.
type poolKey struct {
	address  netip.AddrPort
	separate bool
}

// acquire returns a reusable idle connection unless fresh is set, or else a new one.
func (c *Connector) acquire(ctx context.Context, pool poolKey, fresh bool) (conn *connection, err error) {
	for !fresh {
		conn := c.popIdle(pool)
		if conn == nil {
			break
		}
		if time.Now().Before(conn.idleDeadline) && conn.reusable() {
			return conn, nil
		}
		_ = conn.Close() // No request is open on it, so the error does not matter.
	}
	opened, err := c.dialer.DialContext(ctx, "tcp", pool.address.String())
	if err != nil {
		return nil, err
	}
	limiter := &headLimiter{reader: opened, memory: c.settings.Memory.Reader(opened)}
	return &connection{Conn: opened, reader: bufio.NewReaderSize(limiter, readBufferBytes), limiter: limiter, pool: pool}, nil
}

func (c *Connector) popIdle(pool poolKey) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[pool]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[pool] = idle[:len(idle)-1]
	return conn
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
	conn.used = true
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
