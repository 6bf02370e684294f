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

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.written.Write(p)
}

func TestAsyncWriterDropsLinesWhileOutputBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{release: make(chan struct{})}
		writer := observer.NewAsyncWriter(output)
		line := bytes.Repeat([]byte("x"), 1024)
		for range 2000 {
			if n, err := writer.Write(line); n != len(line) || err != nil {
				t.Fatalf("%d, %v", n, err)
			}
		}
		synctest.Wait()
		close(output.release)
		if err := writer.Close(); err != nil {
			t.Fatal(err)
		}
		written := int64(output.written.Len() / len(line))
		if writer.Dropped() == 0 || written+writer.Dropped() != 2000 {
			t.Errorf("%d lines written, %d dropped of 2000", written, writer.Dropped())
		}
	})
}
