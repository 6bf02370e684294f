package reserver

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Share is the memory that one request holds. Its methods may be called from one goroutine at a time; those of a nil Share do nothing.
type Share struct {
	memory     *Memory
	account    string
	interrupt  func()
	acquiredAt time.Time
	// interrupts is the interruption that is under way.
	interrupts conc.WaitGroup

	// The fields below are guarded by the memory's lock.
	held int64
	// decoded is the part of held for what is decoded of the request.
	decoded int64
	// behindAt is when the request counts as stalled unless more of it arrives.
	behindAt time.Time
	evicted  bool
	// complete is set once the request has arrived whole.
	complete bool
	// retained is how many calls of Release give nothing back yet.
	retained int
}

// largeBytes returns what the share holds if it counts as large.
func (s *Share) largeBytes() int64 {
	if s.held > SmallBytes {
		return s.held
	}
	return 0
}

// Grow takes more memory. It waits only for that of requests which have just lost their place.
func (s *Share) Grow(ctx context.Context, bytes int) (err error) {
	if s == nil {
		return nil
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.grow(ctx, bytes, (*Memory).fits)
}

// GrowDecoded takes more memory for what is decoded of a request. The limits on the sizes of requests don't bound it, so it may be refused
// also if no other request is open.
func (s *Share) GrowDecoded(ctx context.Context, bytes int) (err error) {
	if s == nil {
		return nil
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if err := s.checkDecoded(bytes); err != nil {
		return err
	}
	if err := s.grow(ctx, bytes, (*Memory).fitsDecoded); err != nil {
		return err
	}
	s.decoded += int64(bytes)
	return nil
}

// checkDecoded returns a TooLargeError if the memory would not do even without other requests. The caller holds the memory's lock.
func (s *Share) checkDecoded(bytes int) error {
	m := s.memory
	most := max(m.littleDecoded(), m.bodiesBytes-(s.held-s.decoded))
	if s.decoded+int64(bytes) > most {
		return &TooLargeError{Limit: most}
	}
	return nil
}

// grow takes more memory if it fits. The caller holds the memory's lock, which is released during a wait.
func (s *Share) grow(ctx context.Context, bytes int, fits func(*Memory, *Share, int64) (room, accountRoom bool)) (err error) {
	if bytes == 0 {
		return nil
	}
	m := s.memory
	var timeout <-chan time.Time
	for {
		if s.evicted {
			return &FullError{RetryAfter: minRetryAfter, Stalled: true}
		}
		room, accountRoom := fits(m, s, int64(bytes))
		if room && accountRoom {
			m.add(s, int64(bytes))
			if _, arriving := m.arriving[s]; !arriving && !s.complete {
				m.arriving[s] = struct{}{}
				s.behindAt = m.now().Add(stallGrace)
			}
			return nil
		}
		may := func(other *Share) bool { return other != s && (!room || other.account == s.account) }
		if timeout == nil {
			timer := time.NewTimer(evictionWait)
			defer timer.Stop()
			timeout = timer.C
		}
		if m.waiting >= maxWaiting || !m.makeRoom(int64(bytes), may) || !m.await(ctx, timeout) {
			if !room {
				m.counts.Full++
			} else {
				m.counts.Account++
			}
			return m.fullError()
		}
	}
}

// Hold returns a share of a number of bytes that are held already, whether there is room or not: the answer to a caller that may read it
// slowly. A nil Memory has no bound.
func (m *Memory) Hold(account string, bytes int) *Share {
	if m == nil || bytes == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &Share{memory: m, account: account, acquiredAt: m.now()}
	m.add(s, int64(bytes))
	return s
}

// await waits until memory is given back. It returns false if none was in time. The caller holds mu.
func (m *Memory) await(ctx context.Context, timeout <-chan time.Time) (given bool) {
	m.waiting++
	freed := m.freed
	m.mu.Unlock()
	select {
	case <-freed:
		given = true
	case <-timeout:
	case <-ctx.Done():
	}
	m.mu.Lock()
	m.waiting--
	return given
}

// Received tells that a part of the request has arrived.
func (s *Share) Received(bytes int) {
	if s == nil || bytes <= 0 {
		return
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	rate := max(float64(s.held)/arrivalTime.Seconds(), minRate)
	s.behindAt = s.behindAt.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	if latest := m.now().Add(stallGrace); s.behindAt.After(latest) {
		s.behindAt = latest
	}
}

// Complete tells that the request has arrived whole and how much of the memory it keeps. From now on it does not lose its place. It
// returns false if it has lost it already.
func (s *Share) Complete(bytes int) (kept bool) {
	if s == nil {
		return true
	}
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.evicted {
		return false
	}
	delete(m.arriving, s)
	s.complete = true
	if surplus := s.held - int64(bytes); surplus > 0 {
		m.add(s, -surplus)
		m.signal()
	}
	return true
}

// Evicted reports whether the request has lost its place.
func (s *Share) Evicted() bool {
	if s == nil {
		return false
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.evicted
}

// Retain lets the memory outlast the next call of Release, since somebody else needs it, too. It may be called from any goroutine, before the last
// Release.
func (s *Share) Retain() {
	if s == nil {
		return
	}
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.retained++
}

// Release gives the memory back unless it is retained, and waits until an interruption has ended. Further calls do nothing.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.giveBack()
	s.interrupts.Wait()
}

func (s *Share) giveBack() {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.retained > 0 {
		s.retained--
		return
	}
	if s.held == 0 {
		return
	}
	if s.evicted {
		m.evicted -= s.held
	} else {
		m.meanHold += time.Duration(holdWeight * float64(m.now().Sub(s.acquiredAt)-m.meanHold))
	}
	delete(m.arriving, s)
	m.add(s, -s.held)
	m.signal()
}
