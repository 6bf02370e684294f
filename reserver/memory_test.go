package reserver_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemaryrill/rosemaryrill/reserver"
)

const (
	// requestMemory is the memory for requests in the tests, of which a fifth is for answers.
	requestMemory = 10 << 20
	bodiesBytes   = requestMemory * 4 / 5
	largeBytes    = 1 << 20
)

func acquire(t *testing.T, m *reserver.Memory, account string, bytes int, interrupt func()) *reserver.Share {
	t.Helper()
	share, err := m.Acquire(t.Context(), reserver.Claim{Account: account, Bytes: bytes, Interrupt: interrupt})
	if err != nil {
		t.Fatalf("%d bytes: %v", bytes, err)
	}
	return share
}

// Guards against requests that hold more than the memory for them, against memory that isn't given back, and against a request alone that is
// refused, whatever requests ask for, keep and give back.
func TestMemoryBoundsAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := reserver.NewMemory(requestMemory)
		held := make(map[*reserver.Share]int)
		sum := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "release") {
				for share, bytes := range held {
					share.Release()
					sum -= bytes
					delete(held, share)
					break
				}
				continue
			}
			size := rapid.IntRange(1, 3*largeBytes).Draw(t, "bytes")
			account := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))
			cancelled, cancel := context.WithCancel(context.Background())
			cancel() // None of the requests has stalled for long, so there is nothing to wait for.
			share, err := m.Acquire(cancelled, reserver.Claim{Account: account, Bytes: size})
			var full *reserver.FullError
			if err != nil && (!errors.As(err, &full) || full.RetryAfter <= 0) {
				t.Fatalf("refused with %v", err)
			}
			if err != nil && len(held) == 0 {
				t.Fatalf("%d bytes are refused though nothing is held", size)
			}
			if err == nil {
				kept := rapid.IntRange(0, size).Draw(t, "kept")
				share.Complete(kept)
				held[share] = kept
				sum += kept
			}
			if sum > bodiesBytes || m.Held() != int64(sum) {
				t.Fatalf("%d bytes are held, %d are counted, there are %d", sum, m.Held(), bodiesBytes)
			}
		}
		for share := range held {
			share.Release()
			share.Release()
		}
		if m.Held() != 0 {
			t.Fatalf("%d bytes are still counted", m.Held())
		}
	})
}

// Guards against large requests that shut out small ones, and against an account that leaves nothing for another.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	m := reserver.NewMemory(requestMemory)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	refused := func(account string) (count int) {
		for range bodiesBytes / largeBytes {
			if _, err := m.Acquire(ctx, reserver.Claim{Account: account, Bytes: largeBytes}); err != nil {
				count++
			}
		}
		return count
	}
	first := refused("a")
	if second := refused("b"); first == 0 || second == bodiesBytes/largeBytes {
		t.Errorf("%d large requests of the first account and %d of the second were refused", first, second)
	}
	acquire(t, m, "a", reserver.SmallBytes, nil)
	if counts := m.Counts(); counts.Account == 0 || counts.Full == 0 || counts.Stalled != 0 {
		t.Errorf("counted %+v", counts)
	}
}

// Guards against requests that stop short of their end and keep others out, and against one that has arrived or goes on arriving and loses
// its place to newer ones.
func TestStalledRequestsLoseTheirPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := reserver.NewMemory(requestMemory)
		interrupted := 0
		var stalled []*reserver.Share
		arrived := acquire(t, m, "a", largeBytes, func() { t.Error("a request that has arrived loses its place") })
		arrived.Complete(largeBytes)
		arriving := acquire(t, m, "a", largeBytes, func() { t.Error("a request that goes on arriving loses its place") })
		for range 3 {
			var share *reserver.Share
			share = acquire(t, m, "a", largeBytes, func() { interrupted++; go share.Release() })
			stalled = append(stalled, share)
		}
		for range 30 { // 100 ms at a time, while the others send nothing.
			time.Sleep(100 * time.Millisecond)
			arriving.Received(largeBytes / 100)
		}
		acquire(t, m, "b", 2*largeBytes, nil)
		acquire(t, m, "b", largeBytes, nil).Complete(largeBytes)
		synctest.Wait()
		evicted := slices.IndexFunc(stalled, (*reserver.Share).Evicted) // They stalled at the same time, so that any may be the first.
		if interrupted == 0 || evicted < 0 || arriving.Evicted() {
			t.Fatalf("%d stalled requests lost their place", interrupted)
		}
		if !arriving.Complete(largeBytes) || stalled[evicted].Complete(largeBytes) {
			t.Error("the wrong request has kept its place")
		}
	})
}

// Guards against bodies that are changed, or taken as whole though they broke off, and against steps that hold more than they took.
func TestBodiesAreReadWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 100_000).Draw(t, "repeats"))
		length := rapid.SampledFrom([]int64{-1, int64(len(content))}).Draw(t, "length")
		broken := rapid.Bool().Draw(t, "broken")
		var source io.Reader = bytes.NewReader(content)
		if broken {
			source = io.MultiReader(bytes.NewReader(content[:len(content)/2]), iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		m := reserver.NewMemory(requestMemory)
		share, err := m.Acquire(context.Background(), reserver.Claim{Bytes: reserver.FirstBytes(length)})
		if err != nil {
			t.Fatal(err)
		}
		read, err := reserver.Body{Reader: source, Length: length, Share: share}.ReadAll(context.Background())
		complete := !broken || len(content) == 0 && length == 0
		if complete != (err == nil) || complete && !bytes.Equal(read, content) || !complete && read != nil {
			t.Fatalf("%d of %d bytes, %v", len(read), len(content), err)
		}
		if complete && m.Held() != int64(len(content)) {
			t.Fatalf("%d bytes are counted for %d", m.Held(), len(content))
		}
		share.Release()
		if m.Held() != 0 {
			t.Fatalf("%d bytes are still counted", m.Held())
		}
	})
}

// Guards against a largest legal request that is refused though no other is there, on the smallest hosts and with the defaults.
func TestLargestRequestAloneIsServed(t *testing.T) {
	for _, c := range []struct {
		memory       float64
		body, copies int
	}{{112e6, 4_194_304, 1}, {134e6, 4_194_304, 1}, {1 << 30, 16 << 20, 3}, {64e6, 16 << 20, 3}} {
		for _, length := range []int64{int64(c.body), -1} {
			m := reserver.NewMemory(reserver.RequestBytes(c.memory))
			share := acquire(t, m, "", c.copies*reserver.FirstBytes(length), nil)
			body := reserver.Body{Reader: bytes.NewReader(make([]byte, c.body)), Length: length, Copies: c.copies, Share: share}
			if _, err := body.ReadAll(t.Context()); err != nil {
				t.Errorf("memory of %.0f bytes, body of %d: %v", c.memory, c.body, err)
			}
			share.Release()
		}
	}
}

// Guards against memory that is given back while somebody else still needs it, and against memory that isn't given back after that.
func TestRetainedMemoryOutlastsRelease(t *testing.T) {
	m := reserver.NewMemory(requestMemory)
	share := acquire(t, m, "a", largeBytes, nil)
	share.Retain()
	share.Release()
	if m.Held() != largeBytes {
		t.Errorf("%d bytes are held after the first release, want %d", m.Held(), largeBytes)
	}
	share.Release()
	share.Release()
	if m.Held() != 0 {
		t.Errorf("%d bytes are held after all releases", m.Held())
	}
}
