package placer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/convictor"
)

// TargetHash names an incarnation of a target in the messages between daemons.
type TargetHash uint64

// Load is the work that one daemon has at a target.
type Load struct {
	Target   TargetHash
	Requests int
	// Unread counts prompt tokens that have not been read, by urgency.
	Unread Unread
	// Held counts tokens of memory.
	Held int
}

// Holding says how many tokens of a part a target holds, or will when it has read it.
type Holding struct {
	Target TargetHash
	Key    uint64
	// Tokens are zero where the part is gone.
	Tokens int
}

// Naming tells since when a model is to have weights.
type Naming struct {
	Model   string
	Version int64
	Age     time.Duration
}

// Changes are the targets whose weights are about to change or have changed.
type Changes struct {
	// Fence grows with each holder of the duty; zero is no holder.
	Fence    uint64
	Changing []TargetHash
	Changed  []Changed
}

// Changed is a target that has new weights.
type Changed struct {
	Target  TargetHash
	Model   string
	Version int64
}

// News is what one daemon tells the others.
type News struct {
	Loads    []Load
	Holdings []Holding
	Namings  []Naming
	Strikes  []convictor.Strike
	// Changes are the plan of the holder of the duty for weights.
	Changes Changes
}

// Empty says that there is nothing that must be told at once.
func (n News) Empty() bool {
	return len(n.Loads) == 0 && len(n.Holdings) == 0 && len(n.Strikes) == 0 && len(n.Changes.Changing) == 0
}

// peer is what another daemon has at the targets.
type peer struct {
	loads []Load
	at    time.Time
}

const (
	// peerBound is how long the work of a peer is counted that was not heard of since.
	peerBound = 1500 * time.Millisecond
	// toldTokens is the smallest part that peers are told of.
	toldTokens = 1000
	// maxHoldings bounds the parts that wait to be told.
	maxHoldings = 512
)

// Hash names the incarnation in the messages between daemons.
func (t Target) Hash() TargetHash {
	return TargetHash(xxh3.HashStringSeed(t.ID, uint64(t.Started.UnixMilli())))
}

// toldNamings bounds the namings of a model that are told.
const toldNamings = 4

// Export returns the work of this daemon, the parts that it sent anywhere since the last call, and
// the newest namings of weights.
func (p *Placer) Export() (news News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	for model, known := range p.wanted {
		for _, named := range known[max(len(known)-toldNamings, 0):] {
			if !named.guessed {
				news.Namings = append(news.Namings, Naming{Model: model, Version: named.version, Age: now.Sub(named.since)})
			}
		}
	}
	for _, t := range p.targets {
		if t.own != (work{}) {
			news.Loads = append(news.Loads, Load{Target: t.hash, Requests: t.own.requests, Unread: t.own.unread, Held: t.own.held})
		}
	}
	news.Holdings = p.untold
	p.untold = nil
	return news
}

// Import takes over what a peer has at the targets, in place of what it had before.
func (p *Placer) Import(name string, news News) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	p.count(p.peers[name].loads, work.negative)
	p.peers[name] = peer{loads: slices.Clone(news.Loads), at: now}
	p.count(news.Loads, same)
	for _, naming := range news.Namings {
		p.want(naming.Model, wanted{version: naming.Version, since: now.Add(-naming.Age)})
	}
	for _, holding := range news.Holdings {
		if cached, bound := p.cacheOf(holding.Target); cached != nil {
			cached.promise(partKey(holding.Key), holding.Tokens, bound, now.Add(p.backlog(holding.Target)))
		}
	}
	for other, known := range p.peers {
		if now.Sub(known.at) > peerBound {
			p.count(known.loads, work.negative)
			delete(p.peers, other)
		}
	}
}

// backlog is how long the target is expected to read what was sent to it.
func (p *Placer) backlog(target TargetHash) time.Duration {
	t := p.byHash[target]
	if t == nil {
		return 0
	}
	return p.rates[t.Service].reading(t.load().unread.total())
}

func same(w work) work { return w }

// count adds the work of a peer, or its negative.
func (p *Placer) count(loads []Load, signed func(work) work) {
	for _, load := range loads {
		if t := p.byHash[load.Target]; t != nil {
			t.peers.add(signed(work{requests: load.Requests, unread: load.Unread, held: load.Held}))
		}
	}
}

// Alive says whether an incarnation of a target is known.
func (p *Placer) Alive(incarnation uint64) bool {
	_, known := p.Known(TargetHash(incarnation))
	return known
}

// Peers returns how many other daemons were heard of lately.
func (p *Placer) Peers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Hears says whether the daemon of the name was heard of lately.
func (p *Placer) Hears(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, heard := p.peers[name]
	return heard && p.settings.Now().Sub(known.at) <= peerBound
}

// cacheOf returns what a target or the store holds, and how much it can.
func (p *Placer) cacheOf(holder TargetHash) (cached *parts, bound int) {
	if holder == storeHash {
		return p.store.cached, p.store.CacheTokens
	}
	if t := p.byHash[holder]; t != nil {
		return t.cached, p.cacheBound(t)
	}
	return nil, 0
}

// tell notes a part for the peers.
func (p *Placer) tell(holder TargetHash, key partKey, tokens int) {
	if (tokens == 0 || tokens >= toldTokens) && len(p.untold) < maxHoldings {
		p.untold = append(p.untold, Holding{Target: holder, Key: uint64(key), Tokens: tokens})
	}
}

// Known returns the id of an incarnation, if it is known.
func (p *Placer) Known(hash TargetHash) (id string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byHash[hash]; t != nil {
		return t.ID, true
	}
	return "", false
}

// Updating says that the weights of a target are about to change: it is left alone until then.
func (p *Placer) Updating(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.updatingUntil = until
	}
}

// Updated notes that a target has new weights and may be used again.
func (p *Placer) Updated(id, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.sawVersion(model, version)
		t.updatingUntil = time.Time{}
	}
}
