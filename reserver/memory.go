package reserver

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// answersRatio is the part of a Memory for incomplete answers, and smallRatio that of the rest which only small requests may take.
	answersRatio = 0.2
	smallRatio   = 1.0 / 8
	// accountRatio is the most that one account holds of what small requests don't have for themselves.
	accountRatio = 0.75
	// headsRatio is the part of what small requests have for themselves that long heads may take.
	headsRatio = 0.5
	// streamsRatio is the part of the memory for bodies that requests over HTTP/2 may take for themselves, without their bodies.
	streamsRatio = 1.0 / 4
	// decodedRatio is the part of the memory that the values of a request may take although there is no room.
	decodedRatio = 1.0 / 4
	// SmallBytes is the size up to which a request counts as small.
	SmallBytes = 64 << 10
	// arrivalTime is the time in which a whole request has to arrive, and minRate the least number of bytes a second, while there is no
	// room for others. A request that is behind for stallGrace has stalled.
	arrivalTime = 10 * time.Second
	minRate     = 32 << 10
	stallGrace  = time.Second
	// evictionWait bounds the wait for the memory of stalled requests that have lost their place.
	evictionWait = 250 * time.Millisecond
	maxWaiting   = 64
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is to come back.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// holdWeight is the weight of the newest request in the mean time for which requests hold memory.
	holdWeight = 1.0 / 16
)

// Memory is the memory of a daemon for the requests that are open together: their bodies, what is decoded of them, and incomplete answers.
// Its methods are safe for concurrent use.
type Memory struct {
	answers      *Budget
	bodiesBytes  int64
	smallBytes   int64
	accountBytes int64
	headsBytes   int64
	streams      streams
	now          func() time.Time

	mu        sync.Mutex
	held      int64
	large     int64
	heads     int64
	byAccount map[string]accountBytes
	// arriving are the shares of requests that have not arrived whole, and evicted is how much of them is on its way back.
	arriving map[*Share]struct{}
	evicted  int64
	// freed is closed and replaced when memory is given back while somebody waits.
	freed    chan struct{}
	waiting  int
	meanHold time.Duration
	counts   Counts
}

// accountBytes is what the requests of one account hold, and what the large ones among them hold.
type accountBytes struct{ all, large int64 }

// Counts tell how requests for memory ended.
type Counts struct {
	// Full were refused since there was no room at all, and Account since their account had its part.
	Full, Account int64
	// Stalled lost their place since they had stopped arriving.
	Stalled int64
	// Heads had long heads for which there was no room.
	Heads int64
	// Streams were requests over HTTP/2 for which there was no room beside their bodies.
	Streams int64
}

// FullError is returned if there is no room for a request.
type FullError struct {
	// RetryAfter is the time after which there may be room.
	RetryAfter time.Duration
	// Stalled is set if the request lost its place since it had stopped arriving.
	Stalled bool
}

// Error tells what is lacking.
func (e *FullError) Error() string {
	if e.Stalled {
		return "the request stopped arriving while there was no memory for others"
	}
	return fmt.Sprintf("no memory for the request; there may be some in %s", e.RetryAfter)
}

// TooLargeError is returned for a request whose values would take more memory than there is for all requests.
type TooLargeError struct {
	// Limit is what they may take, in bytes.
	Limit int64
}

// Error names the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the values in the request would take more than %d bytes of memory", e.Limit)
}

// NewMemory returns a Memory of a number of bytes.
func NewMemory(bytes int) *Memory {
	answers := int(answersRatio * float64(bytes))
	bodies := int64(bytes - answers)
	small := int64(smallRatio * float64(bodies))
	return &Memory{
		answers: NewBudget(answers), bodiesBytes: bodies, smallBytes: small, accountBytes: int64(accountRatio * float64(bodies-small)), headsBytes: int64(headsRatio * float64(small)),
		streams: streams{limit: int64(streamsRatio * float64(bodies))},
		now:     time.Now, byAccount: make(map[string]accountBytes), arriving: make(map[*Share]struct{}), freed: make(chan struct{}),
	}
}

// LargestBody returns the size of the largest body that is held in a number of copies and fits if its request is alone.
func (m *Memory) LargestBody(copies int) int64 {
	if m == nil {
		return math.MaxInt64
	}
	return m.bodiesBytes / int64(copies)
}

// Answers returns the part of the memory for incomplete answers. A nil Memory has no bound.
func (m *Memory) Answers() *Budget {
	if m == nil {
		return nil
	}
	return m.answers
}

// Claim is what a request asks for.
type Claim struct {
	// Account is the client account on whose behalf the request comes; those that are not known have one together.
	Account string
	Bytes   int
	// Interrupt ends the reading of the request when it loses its place. It must not block.
	Interrupt func()
}

// Acquire takes memory for a request that is about to be read. If there is none, it takes the places of requests that have stopped
// arriving, and otherwise returns a FullError at once. A nil Memory has no bound.
func (m *Memory) Acquire(ctx context.Context, claim Claim) (share *Share, err error) {
	if m == nil {
		return nil, nil
	}
	share = &Share{memory: m, account: claim.Account, interrupt: claim.Interrupt, acquiredAt: m.now()}
	if err := share.Grow(ctx, claim.Bytes); err != nil {
		return nil, err
	}
	return share, nil
}

// TryTake takes memory for a head without a Share, and reports whether there was any.
func (m *Memory) TryTake(bytes int) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heads+int64(bytes) > m.headsBytes || m.held+int64(bytes) > m.bodiesBytes {
		m.counts.Heads++
		return false
	}
	m.heads += int64(bytes)
	m.held += int64(bytes)
	return true
}

// GiveBack gives back what TryTake took.
func (m *Memory) GiveBack(bytes int) {
	if m == nil || bytes == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heads -= int64(bytes)
	m.held -= int64(bytes)
	m.signal()
}

// Held returns the number of bytes that requests and answers hold.
func (m *Memory) Held() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held + m.answers.Held()
}

// Waiting returns the number of requests that wait for the memory of others which have lost their place.
func (m *Memory) Waiting() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return int64(m.waiting)
}

// Counts returns how many requests got no memory.
func (m *Memory) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.counts
	counts.Streams = m.streams.refused.Load()
	return counts
}

// fits reports whether there is room for a share that grows, and whether its account leaves room for others. A request that holds or gets no
// more than SmallBytes may use what is kept for small ones, and one that is alone may have any size. The caller holds mu.
func (m *Memory) fits(s *Share, bytes int64) (room, accountRoom bool) {
	account := m.byAccount[s.account]
	if s.held+bytes <= SmallBytes {
		return m.held+bytes <= m.bodiesBytes, account.all+bytes <= m.bodiesBytes-m.smallBytes
	}
	before := s.largeBytes()
	alone := m.large == before
	room = alone || m.large-before+s.held+bytes <= m.bodiesBytes-m.smallBytes && m.held+bytes <= m.bodiesBytes
	ofAccount := account.large - before
	return room, ofAccount == 0 || ofAccount+s.held+bytes <= m.accountBytes
}

// fitsDecoded is like fits for what is decoded of a request. That of one that is alone has to fit too, or stay within decodedRatio. The caller
// holds mu.
func (m *Memory) fitsDecoded(s *Share, bytes int64) (room, accountRoom bool) {
	room, accountRoom = m.fits(s, bytes)
	return room && (s.decoded+bytes <= m.littleDecoded() || m.held+bytes <= m.bodiesBytes), accountRoom
}

// littleDecoded returns how much may be decoded of a request that is alone, whatever else it holds.
func (m *Memory) littleDecoded() int64 { return int64(decodedRatio * float64(m.bodiesBytes)) }

// add changes what a share holds. The caller holds mu.
func (m *Memory) add(s *Share, bytes int64) {
	before := s.largeBytes()
	s.held += bytes
	m.held += bytes
	change := s.largeBytes() - before
	m.large += change
	account := m.byAccount[s.account]
	account.all += bytes
	account.large += change
	if account.all == 0 {
		delete(m.byAccount, s.account)
		return
	}
	m.byAccount[s.account] = account
}

// EvictStalled takes the place of the request that has been behind for longest, and reports whether there was one. It is called when something
// else is scarce that requests hold while they arrive, such as connections.
func (m *Memory) EvictStalled() bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evictWorst(func(*Share) bool { return true })
}

// EvictStalledOf is like EvictStalled among the requests of one account.
func (m *Memory) EvictStalledOf(account string) bool {
	if m == nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evictWorst(func(s *Share) bool { return s.account == account })
}

// makeRoom takes the places of stalled requests until bytes are on their way back, and reports whether any are. The caller holds mu.
func (m *Memory) makeRoom(bytes int64, may func(*Share) bool) bool {
	for m.evicted < bytes {
		if !m.evictWorst(may) {
			break
		}
	}
	return m.evicted > 0
}

// evictWorst takes the place of the request that has been behind for longest among some. The caller holds mu.
func (m *Memory) evictWorst(may func(*Share) bool) bool {
	now := m.now()
	var worst *Share
	for s := range m.arriving {
		if s.evicted || s.behindAt.After(now) || !may(s) {
			continue
		}
		if worst == nil || s.behindAt.Before(worst.behindAt) {
			worst = s
		}
	}
	if worst == nil {
		return false
	}
	worst.evicted = true
	m.evicted += worst.held
	m.counts.Stalled++
	if worst.interrupt != nil {
		worst.interrupts.Go(worst.interrupt) // It takes the lock of a connection.
	}
	return true
}

// signal wakes those that wait. The caller holds mu.
func (m *Memory) signal() {
	if m.waiting > 0 {
		close(m.freed)
		m.freed = make(chan struct{})
	}
}

// fullError returns the refusal of a request. The caller holds mu.
func (m *Memory) fullError() *FullError {
	after := min(max(m.meanHold, minRetryAfter), maxRetryAfter)
	return &FullError{RetryAfter: after + rand.N(after/2)} // Spread, so that the refused do not come back together.
}
