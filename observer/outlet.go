package observer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// outletBytes bounds the lines that wait to be written.
	outletBytes = 256 << 10
	// outletPause is the time between two writes, which gathers lines.
	outletPause = 20 * time.Millisecond
)

// Outlet writes log lines without ever holding up those who log: lines wait in a bounded buffer, and
// are dropped and counted where the buffer is full.
type Outlet struct {
	output  io.Writer
	dropped atomic.Int64
	tasks   conc.WaitGroup

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
}

// NewOutlet returns an Outlet that writes to the output.
func NewOutlet(output io.Writer) *Outlet {
	o := &Outlet{output: output, wake: make(chan struct{}, 1)}
	o.tasks.Go(o.write)
	return o
}

// Write takes a line. It never fails and never waits for the output.
func (o *Outlet) Write(line []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.pending)+len(line) > outletBytes {
		o.dropped.Add(1)
		return len(line), nil
	}
	o.pending = append(o.pending, line...)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped counts the lines that were dropped.
func (o *Outlet) Dropped() int64 { return o.dropped.Load() }

// Close writes what is left and waits for it.
func (o *Outlet) Close() error {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return nil
	}
	o.closed = true
	close(o.wake)
	o.mu.Unlock()
	o.tasks.Wait()
	return nil
}

func (o *Outlet) write() {
	var spare []byte
	for open := true; open; {
		_, open = <-o.wake
		o.mu.Lock()
		lines := o.pending
		o.pending = spare[:0]
		o.mu.Unlock()
		if len(lines) > 0 {
			_, _ = o.output.Write(lines) // There is no other place to say that it failed.
		}
		spare = lines
		if open {
			time.Sleep(outletPause)
		}
	}
}
