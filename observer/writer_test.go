package observer_test

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/rosemaryrill/rosemaryrill/observer"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.written.Write(p)
}

func TestOutletDropsLinesWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{release: make(chan struct{})}
		outlet := observer.NewAsyncWriter(output)
		line := bytes.Repeat([]byte("x"), 1024)
		for range 2000 {
			if n, err := outlet.Write(line); n != len(line) || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
		}
		synctest.Wait()
		close(output.release)
		if err := outlet.Close(); err != nil {
			t.Fatal(err)
		}
		written := int64(output.written.Len() / len(line))
		if outlet.Dropped() == 0 || written+outlet.Dropped() != 2000 {
			t.Errorf("%d lines written, %d dropped of 2000", written, outlet.Dropped())
		}
	})
}
