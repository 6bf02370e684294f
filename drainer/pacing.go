package drainer

import "time"

const (
	// refusedPause is how long nothing is read from a connection of HTTP/2 after a request for which there was no memory: the head of each takes
	// memory before its request can be refused.
	refusedPause = 50 * time.Millisecond
	// maxUnanswered is how many bytes are read from a connection of HTTP/2 while a write to it waits for the caller. The server answers some frames of
	// 9 bytes, and keeps these answers until they are written.
	maxUnanswered = 16 << 10
)

// Write implements net.Conn.
func (c *connection) Write(p []byte) (n int, err error) {
	if c.beginWrite() {
		defer c.endWrite()
	}
	return c.Conn.Write(p)
}

// beginWrite tells that a write is under way, which may last until the caller reads. It reports whether endWrite has to follow.
func (c *connection) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.multiplexed {
		return false
	}
	if c.writing == 0 {
		c.written = make(chan struct{})
		c.unanswered = 0
	}
	c.writing++
	return true
}

// endWrite tells that a write has ended.
func (c *connection) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.writing == 0 {
		close(c.written)
	}
}

// pause lets nothing be read from the connection for refusedPause.
func (c *connection) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil = time.Now().Add(refusedPause)
}

// awaitPause waits until the connection may be read.
func (c *connection) awaitPause() {
	c.mu.Lock()
	until := c.pausedUntil
	c.mu.Unlock()
	if !until.IsZero() {
		time.Sleep(time.Until(until))
	}
}

// awaitWritten waits until the caller reads what is being written, if it has sent a lot since the write began. Package net/http keeps an answer to
// each frame that asks for one.
func (c *connection) awaitWritten() {
	c.mu.Lock()
	written := c.written
	wait := c.writing > 0 && c.unanswered > maxUnanswered
	c.mu.Unlock()
	if wait {
		<-written
	}
}
