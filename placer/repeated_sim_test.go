package placer_test

import (
	"container/heap"
	"container/list"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/placer"
)

// The simulated deployment. Sizes are those of the bank in docs/design/hard-load.md.
const (
	simEngines     = 60
	simDaemons     = 10
	simPrompts     = 400
	simShared      = 13_300
	simOwn         = 3_720
	simCacheTokens = 168_225
	simPrefillRate = 62_400.0 // tokens per second
	simTokenBytes  = 18_000
	simEngineLink  = 180e9
	simStoreLink   = 38e9
	simStoreTokens = 3_476_884
	simInterval    = 90 * time.Millisecond // between two messages of a daemon
	simLatency     = 2 * time.Millisecond
	simEventDelay  = 80 * time.Millisecond
	simEventPoll   = 300 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	event := (*q)[last]
	*q = (*q)[:last]
	return event
}

// simCache is the cache of an engine or of a store: the least recently used parts are evicted.
type simCache struct {
	capacity, tokens int
	order            *list.List
	entries          map[uint64]*list.Element
	changes          []placer.CacheChange
}

func newSimCache(capacity int) *simCache {
	return &simCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

func (c *simCache) holds(key uint64) bool { return c.entries[key] != nil }

func (c *simCache) add(key uint64, tokens int) {
	if element := c.entries[key]; element != nil {
		c.order.MoveToBack(element)
		return
	}
	c.entries[key] = c.order.PushBack(placer.CacheChange{Key: key, Tokens: tokens})
	c.tokens += tokens
	c.changes = append(c.changes, placer.CacheChange{Key: key, Tokens: tokens})
	for c.tokens > c.capacity {
		evicted := c.order.Remove(c.order.Front()).(placer.CacheChange)
		delete(c.entries, evicted.Key)
		c.tokens -= evicted.Tokens
		c.changes = append(c.changes, placer.CacheChange{Key: evicted.Key})
	}
}

// simHolder is an engine or a store. An engine serves one prefill after another, a store one transfer.
type simHolder struct {
	name    string
	address netip.AddrPort
	zone    string
	cache   *simCache
	version int64
	queue   []*simRequest
	busy    bool
	// reading is the key of the part that is being read, and linkFree when a store's link is free.
	reading  uint64
	linkFree time.Time
}

type simRequest struct {
	call    placer.Call
	choice  placer.Choice
	prompt  int
	arrived time.Time
}

// simResult counts shared tokens that engines read, by what the fleet held at that time, and the times to the first event.
type simResult struct {
	first, heldElsewhere, concurrent, evicted int
	requests, late, refused                   int
	waits                                     time.Duration
	// causes are the shared tokens that the daemons expected to be read, by cause.
	causes map[placer.ReadCause]int
}

func (r simResult) again() int { return r.heldElsewhere + r.concurrent + r.evicted }

func (r simResult) String() string {
	return fmt.Sprintf("%d k tokens read again (held elsewhere %d k, concurrent %d k, evicted %d k), first %d k; %d requests, %d late, %d refused, first event after %s, by cause %v",
		r.again()/1000, r.heldElsewhere/1000, r.concurrent/1000, r.evicted/1000, r.first/1000, r.requests, r.late, r.refused, (r.waits / time.Duration(max(r.requests, 1))).Round(time.Millisecond), r.causes)
}

type sim struct {
	now     time.Time
	queue   simQueue
	random  *rand.Rand
	engines []*simHolder
	stores  []*simHolder
	daemons []*placer.Placer
	readFor map[uint64]bool
	result  simResult
	weights []float64
}

func newSim(seed uint64) *sim {
	s := &sim{now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), readFor: make(map[uint64]bool), result: simResult{causes: make(map[placer.ReadCause]int)}}
	zones := []string{"north", "south", "west"}
	for i := range simEngines {
		s.engines = append(s.engines, &simHolder{
			name: fmt.Sprint("e", i), zone: zones[i%3], version: 1, cache: newSimCache(simCacheTokens * 9 / 10),
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	for i, store := range threeStores(0) {
		s.stores = append(s.stores, &simHolder{name: store.Name, zone: zones[i], address: store.Address, cache: newSimCache(simStoreTokens)})
	}
	total := 0.0
	for i := range simPrompts {
		total += 1 / math.Sqrt(float64(i+1))
		s.weights = append(s.weights, total)
	}
	for i := range simDaemons {
		s.daemons = append(s.daemons, s.newDaemon(i))
		s.every(simInterval, func() { s.broadcast(i) })
		s.every(simEventPoll, func() { s.poll(i) })
	}
	return s
}

func (s *sim) newDaemon(i int) *placer.Placer {
	p := placer.New(placer.Settings{
		Name: fmt.Sprint(i), DataCentre: s.engines[i%3].zone, Now: func() time.Time { return s.now }, VersionBound: versionBound, Seed: s.random.Uint64(),
	})
	p.SetEngines(map[string]placer.Engine{service: {CacheTokens: simCacheTokens, TokenBytes: simTokenBytes, LinkBitsPerSecond: simEngineLink}})
	stores := threeStores(0)
	for j := range stores {
		stores[j].CacheTokens, stores[j].LinkBitsPerSecond = simStoreTokens, simStoreLink
	}
	p.SetCacheStores(stores)
	p.SetPeers(make([]string, simDaemons-1))
	p.SetTargets(s.targets())
	return p
}

func (s *sim) targets() (described []placer.Target) {
	for _, e := range s.engines {
		described = append(described, placer.Target{
			ID: e.name, Service: service, Address: e.address, DataCentre: e.zone, Slots: 48, Started: time.Unix(900_000, 0), Versions: map[string]int64{model: e.version},
		})
	}
	return described
}

func (s *sim) after(wait time.Duration, run func()) {
	heap.Push(&s.queue, simEvent{at: s.now.Add(wait), run: run})
}

func (s *sim) every(interval time.Duration, run func()) {
	s.after(time.Duration(s.random.Int64N(int64(interval))), func() { run(); s.every(interval, run) })
}

func (s *sim) run(duration time.Duration) {
	for end := s.now.Add(duration); len(s.queue) > 0 && s.queue[0].at.Before(end); {
		event := heap.Pop(&s.queue).(simEvent)
		s.now = event.at
		event.run()
	}
}

// broadcast sends a daemon's state to all others.
func (s *sim) broadcast(from int) {
	update := s.daemons[from].Export()
	for to := range s.daemons {
		if to != from {
			s.after(simLatency, func() { s.daemons[to].Import(fmt.Sprint(from), update) })
		}
	}
}

// poll reads the cache events of the holders that are assigned to a daemon. They are late, and one in a hundred is lost.
func (s *sim) poll(daemon int) {
	for i, holder := range slices.Concat(s.engines, s.stores) {
		if i%simDaemons != daemon {
			continue
		}
		events := placer.CacheEvents{Incarnation: "1"}
		for _, change := range holder.cache.changes {
			if s.random.IntN(100) > 0 {
				events.Changes = append(events.Changes, change)
			}
		}
		holder.cache.changes = nil
		s.after(simEventDelay, func() { s.daemons[daemon].ObserveCache(holder.name, events) })
	}
}

// load sends the calls of a rate with exponential gaps.
func (s *sim) load(perSecond float64, send func()) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() { send(); s.load(perSecond, send) })
}

func (s *sim) sendLong() {
	at, _ := slices.BinarySearch(s.weights, s.random.Float64()*s.weights[simPrompts-1])
	s.send(at, placer.Call{
		Service: service, Model: model, PromptTokens: simShared + simOwn, OutputTokens: 30, Urgency: 0, FirstEventLimit: time.Second, TimeLeft: 12 * time.Second,
		Parts: []placer.Part{{ID: fmt.Sprint("prompt", at), Tokens: simShared}, {ID: "own", Tokens: simOwn}},
	})
}

func (s *sim) sendShort() {
	s.send(-1, placer.Call{
		Service: service, Model: model, PromptTokens: 383, OutputTokens: 11, Urgency: 2, FirstEventLimit: 2500 * time.Millisecond, TimeLeft: 6 * time.Second,
		Parts: []placer.Part{{ID: "s", Tokens: 50}, {ID: "o", Tokens: 333}},
	})
}

func (s *sim) send(prompt int, call placer.Call) {
	choice, err := s.daemons[s.random.IntN(simDaemons)].Choose(call, nil)
	var late *placer.NotInTimeError
	if errors.As(err, &late) || err != nil {
		s.result.refused++
		return
	}
	s.result.causes[choice.ReadCause] += choice.SharedRead
	request := &simRequest{call: call, choice: choice, prompt: prompt, arrived: s.now}
	engine := s.holderAt(choice.Target.Address)
	s.after(simLatency, func() {
		engine.queue = append(engine.queue, request)
		slices.SortStableFunc(engine.queue, func(a, b *simRequest) int { return a.call.Urgency - b.call.Urgency })
		s.serve(engine)
	})
}

func (s *sim) holderAt(address netip.AddrPort) *simHolder {
	for _, holder := range slices.Concat(s.engines, s.stores) {
		if holder.address == address {
			return holder
		}
	}
	return nil
}

// serve begins the next request of an engine: it fetches what it lacks from the given source, if that holds it, and reads
// the rest.
func (s *sim) serve(e *simHolder) {
	if e.busy || len(e.queue) == 0 {
		return
	}
	e.busy = true
	request := e.queue[0]
	e.queue = e.queue[1:]
	key := placer.PartKey(model, "", e.version, request.call.Parts[0].ID)
	read, fetch := request.call.PromptTokens, time.Duration(0)
	if request.prompt >= 0 {
		switch from := s.holderAt(request.choice.FetchFrom); {
		case e.cache.holds(key):
			read = simOwn
		case from != nil && from.cache.holds(key):
			read, fetch = simOwn, s.transfer(from, e)
		default:
			s.countRead(e, key)
			e.reading = key
		}
	}
	took := fetch + time.Duration(float64(read+400)/simPrefillRate*float64(time.Second))
	s.after(took, func() { s.finish(e, request, key) })
}

// transfer returns the time of a transfer of shared parts between a holder and an engine.
func (s *sim) transfer(a, b *simHolder) time.Duration {
	link := simEngineLink
	if a.version == 0 || b.version == 0 {
		link = simStoreLink
	}
	took := time.Duration(simShared * simTokenBytes * 8 / link * float64(time.Second))
	if a.zone != b.zone {
		took *= 2
	}
	wait := time.Duration(0)
	for _, store := range []*simHolder{a, b} {
		if store.version == 0 {
			wait = max(store.linkFree.Sub(s.now), 0)
			store.linkFree = s.now.Add(wait + took)
		}
	}
	return wait + took
}

// countRead counts the shared part that an engine reads by what the others have of it.
func (s *sim) countRead(e *simHolder, key uint64) {
	switch {
	case !s.readFor[key]:
		s.result.first += simShared
	case slices.ContainsFunc(slices.Concat(s.engines, s.stores), func(h *simHolder) bool { return h.cache.holds(key) }):
		s.result.heldElsewhere += simShared
	case slices.ContainsFunc(s.engines, func(h *simHolder) bool { return h != e && h.reading == key }):
		s.result.concurrent += simShared
	default:
		s.result.evicted += simShared
	}
	s.readFor[key] = true
}

func (s *sim) finish(e *simHolder, request *simRequest, key uint64) {
	e.busy, e.reading = false, 0
	request.choice.Attempt.RecordFirstEvent()
	s.after(300*time.Millisecond, request.choice.Attempt.Finish)
	if request.prompt >= 0 {
		e.cache.add(key, simShared)
		wait := s.now.Sub(request.arrived)
		s.result.waits += wait
		s.result.requests++
		if wait > time.Second {
			s.result.late++
		}
		if store := s.holderAt(request.choice.SaveTo); store != nil && store.linkFree.Sub(s.now) < 500*time.Millisecond {
			s.after(s.transfer(e, store), func() { store.cache.add(key, simShared) })
		}
	}
	e.cache.add(s.random.Uint64(), request.call.PromptTokens-simShared*min(request.prompt+1, 1)+request.call.OutputTokens)
	s.serve(e)
}

// changeWeights loads new weights on all engines, one after another within the duration.
func (s *sim) changeWeights(duration time.Duration) {
	for _, p := range s.daemons {
		p.SetWantedVersion(model, s.engines[0].version+1, true)
	}
	for i, e := range s.engines {
		s.after(duration*time.Duration(i)/simEngines, func() {
			for _, p := range s.daemons {
				p.MarkUpgrading(e.name, s.now.Add(time.Second))
			}
			s.after(800*time.Millisecond, func() {
				e.version++
				e.cache = newSimCache(e.cache.capacity)
				for _, p := range s.daemons {
					p.MarkUpgraded(e.name, model, e.version)
				}
			})
		})
	}
}
