// Package reserver bounds the memory that requests and incomplete answers of targets occupy together. Clients which nobody controls may
// send many large bodies at once, and targets in trouble bytes without end, so limits of single bodies and answers don't bound it.
//
// A request takes a Share before its body is read, and is refused if there is no room. While there is none, requests that have stopped
// arriving lose their place. One that has arrived whole keeps it. A part is kept for small requests, and no account gets all of the rest.
//
// # Usage
//
//	memory := reserver.NewMemory(64 << 20)
//	share, err := memory.Acquire(ctx, reserver.Claim{Account: name, Bytes: reserver.FirstBytes(length), Interrupt: interrupt})
//	if err != nil {
//		return err // A reserver.FullError; nothing was read.
//	}
//	defer share.Release()
//	content, err := reserver.Body{Reader: body, Length: length, Share: share}.ReadAll(ctx)
//
// An answer counts as it is read:
//
//	budget := memory.Answers()
//	body := budget.Reader(response.Body)
//	n, err := body.Read(buffer) // A reserver.ExceededError if the budget is used up.
//	body.Hold(0)                // What was read is no longer held.
//	err = body.Close()
//
// Budget.ReadAll reads an answer that is needed as a whole.
package reserver

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Budget is the memory for incomplete answers. Its methods are safe for concurrent use. A nil Budget has no bound.
type Budget struct {
	bytes int64
	left  atomic.Int64
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(bytes int) *Budget {
	b := &Budget{bytes: int64(bytes)}
	b.left.Store(int64(bytes))
	return b
}

// Held returns the number of bytes that are reserved.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	return b.bytes - b.left.Load()
}

// ExceededError is returned if an answer would exceed a Budget.
type ExceededError struct {
	// Held is the number of bytes of the answer that are held.
	Held int
}

// Error names the size of the answer.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("incomplete answers exceed the memory for them; this one has %d bytes", e.Held)
}

func (b *Budget) tryReserve(bytes int) bool {
	if b == nil || bytes <= 0 {
		return true
	}
	if b.left.Add(int64(-bytes)) >= 0 {
		return true
	}
	b.left.Add(int64(bytes))
	return false
}

func (b *Budget) release(bytes int) {
	if b != nil && bytes > 0 {
		b.left.Add(int64(bytes))
	}
}

// freeBytes is the part of each answer that doesn't count, so that ordinary answers go on when the budget is used up.
const freeBytes = 16 << 10

// Reader reads an answer and counts the bytes that its user holds in memory. One goroutine reads; Close may be called from
// any.
type Reader struct {
	reader io.Reader
	budget *Budget

	mu       sync.Mutex
	held     int
	reserved int
	closed   bool
}

// Reader returns a Reader that reads from another reader.
func (b *Budget) Reader(reader io.Reader) *Reader {
	return &Reader{reader: reader, budget: b}
}

// Read implements io.Reader. It reads nothing and returns an ExceededError if the budget doesn't allow for the bytes.
func (r *Reader) Read(p []byte) (n int, err error) {
	held, reserved := r.reserve(len(p))
	if !reserved {
		return 0, &ExceededError{Held: held}
	}
	n, err = r.reader.Read(p)
	r.Hold(held + n)
	return n, err
}

// Hold tells how many of the bytes that were read are still held.
func (r *Reader) Hold(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		bytes = 0
	}
	r.held = bytes
	needed := max(bytes-freeBytes, 0)
	if needed < r.reserved {
		r.budget.release(r.reserved - needed)
		r.reserved = needed
	}
}

// Close tells that nothing is held any more. It doesn't close the other reader.
func (r *Reader) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.Hold(0)
	return nil
}

// reserve reserves memory for further bytes. It returns how many are held before.
func (r *Reader) reserve(bytes int) (held int, reserved bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := max(r.held+bytes-freeBytes, 0) - r.reserved
	if missing <= 0 || r.closed {
		return r.held, true
	}
	if !r.budget.tryReserve(missing) {
		return r.held, false
	}
	r.reserved += missing
	return r.held, true
}
