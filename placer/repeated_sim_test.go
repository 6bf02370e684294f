package placer_test

import (
	"container/list"
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
	simInterval    = 90 // ms between two messages of a daemon
	simEventDelay  = 80 * time.Millisecond
	simEventPoll   = 300 // ms
)

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

func (c *simCache) add(key uint64, tokens int) {
	if element := c.entries[key]; element != nil {
		c.order.MoveToBack(element)
		return
	}
	part := placer.CacheChange{Key: key, Tokens: tokens}
	c.entries[key], c.changes = c.order.PushBack(part), append(c.changes, part)
	for c.tokens += tokens; c.tokens > c.capacity; {
		evicted := c.order.Remove(c.order.Front()).(placer.CacheChange)
		delete(c.entries, evicted.Key)
		c.tokens -= evicted.Tokens
		c.changes = append(c.changes, placer.CacheChange{Key: evicted.Key})
	}
}

// simHolder is an engine, which serves one request after another, or a store, whose version is zero.
type simHolder struct {
	name, zone string
	address    netip.AddrPort
	cache      *simCache
	version    int64
	busyUntil  time.Time
}

// sim steps through time in milliseconds.
type sim struct {
	start, now time.Time
	due        map[int64][]func()
	random     *rand.Rand
	holders    []*simHolder // engines, then stores
	daemons    []*placer.Placer
	weights    []float64 // cumulative, of the prompts
	// read are the keys of shared parts that an engine has read. first and again count the tokens of their reads.
	read            map[uint64]bool
	first, again    int
	requests, waits int
}

func newSim(seed uint64) *sim {
	s := &sim{start: time.Unix(1_000_000, 0), due: make(map[int64][]func()), random: rand.New(rand.NewPCG(seed, 1)), read: make(map[uint64]bool)}
	s.now = s.start
	for i := range simEngines {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)
		s.holders = append(s.holders, &simHolder{name: fmt.Sprint("e", i), zone: threeStores(0)[i%3].DataCentre, version: 1, cache: newSimCache(simCacheTokens * 9 / 10), address: address})
	}
	for _, store := range threeStores(0) {
		s.holders = append(s.holders, &simHolder{name: store.Name, zone: store.DataCentre, address: store.Address, cache: newSimCache(simStoreTokens)})
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
	p := placer.New(placer.Settings{DataCentre: s.holders[i%3].zone, Now: func() time.Time { return s.now }, VersionBound: versionBound, Seed: s.random.Uint64()})
	p.SetEngines(map[string]placer.Engine{service: {CacheTokens: simCacheTokens, TokenBytes: simTokenBytes, LinkBitsPerSecond: simEngineLink}})
	stores := threeStores(0)
	for j := range stores {
		stores[j].CacheTokens, stores[j].LinkBitsPerSecond = simStoreTokens, simStoreLink
	}
	p.SetCacheStores(stores)
	p.SetPeers(make([]string, simDaemons-1))
	described := targets(simEngines, s.holders[0].version)
	for j := range described {
		described[j].DataCentre, described[j].Slots = s.holders[j].zone, 48
	}
	p.SetTargets(described)
	return p
}

func (s *sim) at(when time.Time, run func()) {
	tick := max(when.Sub(s.start).Milliseconds(), s.now.Sub(s.start).Milliseconds()+1)
	s.due[tick] = append(s.due[tick], run)
}

func (s *sim) every(ms int, run func()) {
	s.at(s.now.Add(time.Duration(s.random.IntN(2*ms))*time.Millisecond), func() { run(); s.every(ms, run) })
}

func (s *sim) run(duration time.Duration) {
	for end := s.now.Add(duration); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		tick := s.now.Sub(s.start).Milliseconds()
		for _, run := range s.due[tick] {
			run()
		}
		delete(s.due, tick)
	}
}

func (s *sim) broadcast(from int) {
	update := s.daemons[from].Export()
	for to := range s.daemons {
		if to != from {
			s.at(s.now, func() { s.daemons[to].Import(fmt.Sprint(from), update) })
		}
	}
}

// poll reads the cache events of the holders that are assigned to a daemon. They are late, and one in a hundred is lost.
func (s *sim) poll(daemon int) {
	for i := daemon; i < len(s.holders); i += simDaemons {
		holder, events := s.holders[i], placer.CacheEvents{Incarnation: "1"}
		for _, change := range holder.cache.changes {
			if s.random.IntN(100) > 0 {
				events.Changes = append(events.Changes, change)
			}
		}
		holder.cache.changes = nil
		s.at(s.now.Add(simEventDelay), func() { s.daemons[daemon].ObserveCache(holder.name, events) })
	}
}

// load sends calls at random times: long ones with one of the prompts, or short ones.
func (s *sim) load(perSecond float64, long bool) {
	s.every(int(time.Second.Milliseconds()/int64(perSecond)*simDaemons), func() {
		for range simDaemons {
			s.send(long)
		}
	})
}

func (s *sim) send(long bool) {
	call := placer.Call{Service: service, Model: model, PromptTokens: 383, OutputTokens: 11, Urgency: 2, Parts: []placer.Part{{ID: "s", Tokens: 50}, {ID: "o", Tokens: 333}}}
	if long {
		prompt, _ := slices.BinarySearch(s.weights, s.random.Float64()*s.weights[simPrompts-1])
		call.Parts = []placer.Part{{ID: fmt.Sprint("prompt", prompt), Tokens: simShared}, {ID: "own", Tokens: simOwn}}
		call.PromptTokens, call.OutputTokens, call.Urgency = simShared+simOwn, 30, 0
	}
	if choice, err := s.daemons[s.random.IntN(simDaemons)].Choose(call, nil); err == nil {
		engine, arrived := s.holderAt(choice.Target.Address), s.now
		s.at(engine.busyUntil, func() { s.serve(engine, call, choice, arrived) })
	}
}

func (s *sim) holderAt(address netip.AddrPort) *simHolder {
	if i := slices.IndexFunc(s.holders, func(h *simHolder) bool { return h.address == address }); i >= 0 {
		return s.holders[i]
	}
	return nil
}

// serve begins a request, unless the engine is busy: the engine fetches what it lacks from the given source, if that holds it, and
// reads the rest.
func (s *sim) serve(e *simHolder, call placer.Call, choice placer.Choice, arrived time.Time) {
	if e.busyUntil.After(s.now) {
		s.at(e.busyUntil, func() { s.serve(e, call, choice, arrived) })
		return
	}
	shared := call.Parts[0].Tokens == simShared
	key := placer.PartKey(model, "", e.version, call.Parts[0].ID)
	read, fetch, from := call.PromptTokens, time.Duration(0), s.holderAt(choice.FetchFrom)
	switch {
	case shared && e.cache.entries[key] != nil:
		read = simOwn
	case shared && from != nil && from.cache.entries[key] != nil:
		read, fetch = simOwn, s.transfer(from, e)
	case shared && s.read[key]:
		s.again += simShared
	case shared:
		s.read[key] = true
		s.first += simShared
	}
	e.busyUntil = s.now.Add(fetch + time.Duration(float64(read+400)/simPrefillRate*float64(time.Second)))
	s.at(e.busyUntil, func() { s.finish(e, call, choice, key, arrived) })
}

func (s *sim) finish(e *simHolder, call placer.Call, choice placer.Choice, key uint64, arrived time.Time) {
	choice.Attempt.RecordFirstEvent()
	s.at(s.now.Add(300*time.Millisecond), choice.Attempt.Finish)
	e.cache.add(s.random.Uint64(), call.Parts[1].Tokens+call.OutputTokens)
	if call.Parts[0].Tokens != simShared {
		return
	}
	e.cache.add(key, simShared)
	s.requests, s.waits = s.requests+1, s.waits+int(s.now.Sub(arrived).Milliseconds())
	if store := s.holderAt(choice.SaveTo); store != nil && store.busyUntil.Sub(s.now) < 500*time.Millisecond {
		s.at(s.now.Add(s.transfer(e, store)), func() { store.cache.add(key, simShared) })
	}
}

// transfer returns the time of a transfer of shared parts. A store's link serves one after another.
func (s *sim) transfer(a, b *simHolder) (took time.Duration) {
	link := simEngineLink
	if a.version*b.version == 0 {
		link = simStoreLink
	}
	took = time.Duration(simShared * simTokenBytes * 8 / link * float64(time.Second))
	if a.zone != b.zone {
		took *= 2
	}
	for _, store := range []*simHolder{a, b} {
		if store.version == 0 {
			took += max(store.busyUntil.Sub(s.now), 0)
			store.busyUntil = s.now.Add(took)
		}
	}
	return took
}

// changeWeights loads new weights on all engines, one after another within the duration.
func (s *sim) changeWeights(duration time.Duration) {
	for i, e := range s.holders[:simEngines] {
		begin := s.now.Add(duration * time.Duration(i) / simEngines)
		s.at(begin, func() {
			for _, p := range s.daemons {
				p.SetWantedVersion(model, 2, true)
				p.MarkUpgrading(e.name, s.now.Add(time.Second))
			}
		})
		s.at(begin.Add(800*time.Millisecond), func() {
			e.version, e.cache = 2, newSimCache(e.cache.capacity)
			for _, p := range s.daemons {
				p.MarkUpgraded(e.name, model, 2)
			}
		})
	}
}
