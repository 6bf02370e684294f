package placer

import (
	"sync"
	"time"
)

// Flight is one attempt at a target from its choice to its end.
type Flight struct {
	placer *Placer
	target *target
	model  string
	// version is the weights that the target was believed to have.
	version int64
	work    work
	alone   bool
	began   time.Time
	// placed are the parts that the target was not known to hold before.
	placed []partKey

	mu      sync.Mutex
	started bool
	ended   bool
}

func (p *Placer) begin(call Call, best candidate, now time.Time) *Flight {
	t := best.target
	f := &Flight{
		placer: p, target: t, model: call.Model, version: best.version, began: now,
		work: work{requests: 1, held: call.ownTokens()},
	}
	f.work.unread[call.Urgency] = best.read + requestTokens(call)
	f.alone = t.load().unread.total() == 0 && best.fetched == 0
	t.own.add(f.work)
	t.sent(best.expected, now)
	f.placed = p.place(t, call, best, now)
	return f
}

// place notes what the target will hold of the call, and what goes to or comes from the store. It
// returns the parts that are new there.
func (p *Placer) place(t *target, call Call, best candidate, now time.Time) (placed []partKey) {
	keys := call.keys(best.version)
	bound := p.cacheBound(t)
	for i, key := range keys {
		if t.cached.promise(key, call.Parts[i].Tokens, bound, now.Add(best.expected)) {
			placed = append(placed, key)
		}
		p.tell(t.hash, key, call.Parts[i].Tokens)
	}
	p.placeOwn(t, call, bound)
	p.useStore(t, call, best, keys, now)
	return placed
}

// useStore notes what the call brings from the store or sends there.
func (p *Placer) useStore(t *target, call Call, best candidate, keys []partKey, now time.Time) {
	if best.fetchedFromStore {
		p.store.fetched(p.store.transfer(p.engines[call.Service], best.fetched, t.DataCentre), now)
		for _, key := range keys {
			p.store.cached.use(key, p.store.cached.held(key), p.store.CacheTokens)
		}
	}
	if best.save {
		p.store.save(keys, now)
	}
}

// daemons counts this daemon and the peers that are heard of.
func (p *Placer) daemons() int { return len(p.peers) + 1 }

// placeOwn notes the part that belongs to the call alone: it takes room though nobody asks for it
// again. Small ones are not told to the peers, so each stands for those of all daemons.
func (p *Placer) placeOwn(t *target, call Call, bound int) {
	if call.Model == "" {
		return
	}
	p.filler++
	key, tokens := partKey(p.filler), call.ownTokens()
	if tokens < toldTokens {
		t.cached.use(key, tokens*p.daemons(), bound)
		return
	}
	key ^= partKey(p.fillerSeed)
	t.cached.use(key, tokens, bound)
	p.tell(t.hash, key, tokens)
}

// cacheBound is how many tokens of parts an engine is expected to keep at most.
func (p *Placer) cacheBound(t *target) int {
	return int(cacheShare * float64(p.engines[t.Service].CacheTokens))
}

// load is the work of this daemon and its peers at a target.
func (t *target) load() work {
	total := t.own
	total.add(t.peers)
	return total
}

// beginMargin is how long before the bound on replaced weights a request is taken back. It covers the
// way of the close to the target, and that the bound counts from the operator's write.
const beginMargin = 700 * time.Millisecond

// BeginBy returns by when the request must have begun, as far as is known now: later it would begin on
// weights that are replaced for too long. A request that has not must be taken back. Weights that are
// the newest now may be replaced at any time, so the answer is to be asked for again at that time.
func (f *Flight) BeginBy() (by time.Time) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	version := max(f.version, f.target.Versions[f.model])
	allowed := p.settings.VersionBound - beginMargin
	if since, replaced := p.wanted[f.model].replacedSince(version, p.unknownSince()); replaced {
		return since.Add(allowed)
	}
	return p.settings.Now().Add(allowed)
}

// Started notes the first event: the prompt is read.
func (f *Flight) Started() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started || f.ended {
		return
	}
	f.started = true
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	f.target.own.add(work{unread: f.work.unread}.negative())
	f.target.breaks = 0
	f.target.heard()
	for _, key := range f.placed {
		f.target.cached.expect(key, time.Time{})
	}
	if f.alone {
		p.measure(f)
	}
}

// measure learns the read rate from the flight.
func (p *Placer) measure(f *Flight) {
	service := f.target.Service
	if p.rates[service] == nil {
		p.rates[service] = &readRates{}
	}
	p.rates[service].add(f.work.unread.total(), p.settings.Now().Sub(f.began))
}

// Finished ends the flight, however it went. It may be called more than once.
func (f *Flight) Finished() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := f.work
	if f.started {
		ended.unread = Unread{}
	}
	f.target.own.add(ended.negative())
	if f.target.own.requests == 0 {
		f.target.heard() // Nothing is owed any more.
	}
}

// Shed notes that the target refused the request without running it.
func (f *Flight) Shed() {
	f.note(func(t *target, now time.Time) {
		t.heard()
		t.shedUntil = now.Add(shedPause)
		f.unplace(t)
	})
}

// unplace takes back that the target will hold the parts of a request that it does not run.
func (f *Flight) unplace(t *target) {
	for _, key := range f.placed {
		t.cached.set(key, 0)
		f.placer.tell(t.hash, key, 0)
	}
	f.placed = nil
}

// Broke notes that the connection to the target broke or could not be made.
func (f *Flight) Broke() {
	f.note(func(t *target, now time.Time) {
		t.broke(now)
		f.unplace(t)
	})
}

// Withdrawn notes that the daemon took the request back before it began.
func (f *Flight) Withdrawn() {
	f.note(func(t *target, _ time.Time) { f.unplace(t) })
}

// Left notes that the target takes no more work, or is not the one that was meant.
func (f *Flight) Left() {
	f.note(func(t *target, _ time.Time) { t.left = true })
}

// SawVersion notes the weights that the target named.
func (f *Flight) SawVersion(version int64) {
	f.note(func(t *target, _ time.Time) { t.sawVersion(f.model, version) })
}

// SawLoad notes how many requests the target has in hand.
func (f *Flight) SawLoad(requests int) {
	f.note(func(t *target, now time.Time) { t.reportedRequests, t.reported = requests, now })
}

func (f *Flight) note(change func(t *target, now time.Time)) {
	p := f.placer
	p.mu.Lock()
	defer p.mu.Unlock()
	change(f.target, p.settings.Now())
}
