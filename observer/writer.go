package observer

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// maxPendingBytes bounds the total size of the buffered lines.
	maxPendingBytes = 256 << 10
	// batchInterval is the pause between two writes, during which lines accumulate for the next one.
	batchInterval = 20 * time.Millisecond
)

// AsyncWriter is an asynchronous log writer that never blocks its callers: lines wait in a bounded
// buffer, and are dropped and counted while the buffer is full.
type AsyncWriter struct {
	output  io.Writer
	dropped atomic.Int64
	tasks   conc.WaitGroup

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to the output.
func NewAsyncWriter(output io.Writer) *AsyncWriter {
	o := &AsyncWriter{output: output, wake: make(chan struct{}, 1)}
	o.tasks.Go(o.write)
	return o
}

// Write buffers a line, or drops it if the buffer is full. It never fails and never waits for the
// output.
func (o *AsyncWriter) Write(line []byte) (n int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.pending)+len(line) > maxPendingBytes {
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

// Dropped returns the number of dropped lines.
func (o *AsyncWriter) Dropped() int64 { return o.dropped.Load() }

// Close writes the buffered lines and waits until they are written. Later lines are dropped.
func (o *AsyncWriter) Close() error {
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

func (o *AsyncWriter) write() {
	var buffer []byte
	for open := true; open; {
		_, open = <-o.wake
		o.mu.Lock()
		lines := o.pending
		o.pending = buffer[:0]
		o.mu.Unlock()
		if len(lines) > 0 {
			_, _ = o.output.Write(lines) // A failure of the log output cannot be logged.
		}
		buffer = lines
		if open {
			time.Sleep(batchInterval)
		}
	}
}
