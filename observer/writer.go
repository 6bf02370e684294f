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
	// batchInterval is the pause after each write, during which lines accumulate for the next one.
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
	w := &AsyncWriter{output: output, wake: make(chan struct{}, 1)}
	w.tasks.Go(w.write)
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never fails and never waits for the
// output.
func (w *AsyncWriter) Write(line []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and waits until they are written. Later lines are dropped.
func (w *AsyncWriter) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.wake)
	w.mu.Unlock()
	w.tasks.Wait()
	return nil
}

func (w *AsyncWriter) write() {
	var buffer []byte
	for open := true; open; {
		_, open = <-w.wake
		w.mu.Lock()
		lines := w.pending
		w.pending = buffer[:0]
		w.mu.Unlock()
		if len(lines) > 0 {
			_, _ = w.output.Write(lines) // A failure of the log output cannot be logged.
		}
		buffer = lines
		if open {
			time.Sleep(batchInterval)
		}
	}
}
