package observer_test

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/rosemaryrill/rosemaryrill/observer"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	release chan struct{}
	taken   bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.taken.Write(p)
}

func TestOutletNeverWaitsAndCountsWhatItDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &stuck{release: make(chan struct{})}
		outlet := observer.NewOutlet(output)
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
		written := int64(output.taken.Len() / len(line))
		if outlet.Dropped() == 0 || written+outlet.Dropped() != 2000 {
			t.Errorf("%d lines written, %d dropped of 2000", written, outlet.Dropped())
		}
	})
}
