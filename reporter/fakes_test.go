package reporter_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemaryrill/rosemaryrill/reporter"
	"github.com/rosemaryrill/rosemaryrill/storer"
)

var errUnreachable = errors.New("the process is unreachable")

// span is a time span of a test run, measured from its start.
type span struct{ from, to time.Duration }

func (s span) contains(at time.Duration) bool { return at >= s.from && at < s.to }

// fakePlatform keeps values in memory and fails at the planned times.
type fakePlatform struct {
	start           time.Time
	outages         []span
	lostAnswerTimes []time.Duration

	mutex sync.Mutex
	items map[string]storer.Item
	// replacedItems holds the previous values, which stale reads return.
	replacedItems  map[string]storer.Item
	staleReadTimes []time.Duration
	staleReads     int
	version        storer.Version
	lostAnswers    int
	refused        int
	swaps          int
}

func (p *fakePlatform) put(key string, value []byte, expected storer.Version) (storer.Version, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	elapsed := time.Since(p.start)
	if slices.ContainsFunc(p.outages, func(s span) bool { return s.contains(elapsed) }) {
		p.refused++
		return 0, &storer.UnavailableError{Cause: errUnreachable}
	}
	if current := p.items[key].Version; current != expected {
		return 0, &storer.ConflictError{Key: key, Expected: expected, Current: current}
	}
	p.version++
	p.replacedItems[key] = p.items[key]
	p.items[key] = storer.Item{Key: key, Value: slices.Clone(value), Version: p.version}
	if expected > 0 {
		p.swaps++
	}
	if len(p.lostAnswerTimes) > 0 && elapsed >= p.lostAnswerTimes[0] {
		p.lostAnswerTimes = p.lostAnswerTimes[1:]
		p.lostAnswers++
		return 0, &storer.UnknownOutcomeError{Key: key, Cause: errUnreachable}
	}
	return p.version, nil
}

// client is the platform as seen by one daemon. After crashAt all of its calls but List fail.
type client struct {
	*fakePlatform
	crashAt time.Duration
}

func (c client) crashed() bool { return c.crashAt > 0 && time.Since(c.start) >= c.crashAt }

func (c client) Get(_ context.Context, key string) (storer.Item, error) {
	if c.crashed() {
		return storer.Item{}, errUnreachable
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	item, ok := c.items[key]
	if len(c.staleReadTimes) > 0 && time.Since(c.start) >= c.staleReadTimes[0] {
		c.staleReadTimes = c.staleReadTimes[1:]
		c.staleReads++
		item, ok = c.replacedItems[key], c.replacedItems[key].Version > 0
	}
	if !ok {
		return storer.Item{}, &storer.NotFoundError{Key: key}
	}
	return item, nil
}

func (c client) List(_ context.Context, prefix, after string, limit int) (storer.Page, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var page storer.Page
	for key, item := range c.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b storer.Item) int { return strings.Compare(a.Key, b.Key) })
	// Pages are small, so that a read needs several of them.
	limit = min(limit, 3)
	page.More = len(page.Items) > limit
	page.Items = page.Items[:min(limit, len(page.Items))]
	return page, nil
}

func (c client) Create(_ context.Context, key string, value []byte, _ storer.LeaseID) (storer.Version, error) {
	if c.crashed() {
		return 0, errUnreachable
	}
	return c.put(key, value, 0)
}

func (c client) Swap(_ context.Context, key string, value []byte, expected storer.Version, _ storer.LeaseID) (storer.Version, error) {
	if c.crashed() {
		return 0, errUnreachable
	}
	return c.put(key, value, expected)
}

// fakePeers simulates the peers of one daemon.
type fakePeers struct {
	client
	partitions []span
	holders    []*reporter.Holder
	// holderCrashAt is when each holder crashes; zero means never.
	holderCrashAt []time.Duration
}

func (p *fakePeers) CopyRecord(_ context.Context, batch reporter.Copy) (copies int, err error) {
	elapsed := time.Since(p.start)
	if p.crashed() || slices.ContainsFunc(p.partitions, func(s span) bool { return s.contains(elapsed) }) {
		return 0, errUnreachable
	}
	for i, holder := range p.holders {
		if p.holderCrashAt[i] > 0 && elapsed >= p.holderCrashAt[i] {
			continue
		}
		if holder.Keep(batch) == nil {
			copies++
		}
	}
	return copies, nil
}

func (p *fakePeers) DropRecord(_ context.Context, key string) error {
	elapsed := time.Since(p.start)
	if p.crashed() || slices.ContainsFunc(p.partitions, func(s span) bool { return s.contains(elapsed) }) {
		return errUnreachable
	}
	for _, holder := range p.holders {
		holder.Drop(key)
	}
	return nil
}

// fakeLiveness reports planned crashes after detectionDelay and, during falseSuspicions, live
// daemons as dead.
type fakeLiveness struct {
	start           time.Time
	crashTimes      map[string]time.Duration
	falseSuspicions map[string]span
}

const detectionDelay = 3 * time.Second

func (l fakeLiveness) Alive(daemon, _ string) bool {
	elapsed := time.Since(l.start)
	crashAt := l.crashTimes[daemon]
	if crashAt > 0 && elapsed >= crashAt+detectionDelay {
		return false
	}
	return !l.falseSuspicions[daemon].contains(elapsed)
}

func newFakePlatformWith(outages []span, lostAnswerTimes []time.Duration, start time.Time) *fakePlatform {
	return &fakePlatform{start: start, outages: outages, lostAnswerTimes: lostAnswerTimes, items: map[string]storer.Item{}, replacedItems: map[string]storer.Item{}}
}
