package placer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"
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

// Holding says that a target reads or has read a part of prompts.
type Holding struct {
	Target TargetHash
	Key    uint64
	Tokens int
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

func hashOf(described Target) TargetHash {
	return TargetHash(xxh3.HashStringSeed(described.ID, uint64(described.Started.UnixMilli())))
}

// Export returns the work of this daemon, and the parts that it sent anywhere since the last call.
func (p *Placer) Export() (loads []Load, holdings []Holding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if t.own != (work{}) {
			loads = append(loads, Load{Target: t.hash, Requests: t.own.requests, Unread: t.own.unread, Held: t.own.held})
		}
	}
	holdings = p.untold
	p.untold = nil
	return loads, holdings
}

// Import takes over what a peer has at the targets, in place of what it had before.
func (p *Placer) Import(name string, loads []Load, holdings []Holding) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	p.count(p.peers[name].loads, work.negative)
	p.peers[name] = peer{loads: slices.Clone(loads), at: now}
	p.count(loads, same)
	for _, holding := range holdings {
		if holding.Target == storeHash {
			p.store.cached.use(partKey(holding.Key), holding.Tokens, p.store.CacheTokens)
		}
		if t := p.byHash[holding.Target]; t != nil {
			t.cached.use(partKey(holding.Key), holding.Tokens, p.cacheBound(t))
		}
	}
	for other, known := range p.peers {
		if now.Sub(known.at) > peerBound {
			p.count(known.loads, work.negative)
			delete(p.peers, other)
		}
	}
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

// Peers returns how many other daemons were heard of lately.
func (p *Placer) Peers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// tell notes a part for the peers.
func (p *Placer) tell(holder TargetHash, key partKey, tokens int) {
	if tokens >= toldTokens && len(p.untold) < maxHoldings {
		p.untold = append(p.untold, Holding{Target: holder, Key: uint64(key), Tokens: tokens})
	}
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
