package placer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/rosemaryrill/rosemaryrill/attributor"
)

// TargetHash identifies an incarnation of a target in the messages between daemons.
type TargetHash uint64

// Load is the work of one daemon's requests at a target.
type Load struct {
	Target   TargetHash
	Requests int
	// PendingPrefill is the number of prompt tokens that wait for prefill, by urgency.
	PendingPrefill PendingPrefill
	// KVCacheTokens is the number of KV cache tokens that the requests need.
	KVCacheTokens int
}

// Plus returns the work of both at the target of other.
func (l Load) Plus(other Load) Load {
	for urgency, tokens := range l.PendingPrefill {
		other.PendingPrefill[urgency] += tokens
	}
	other.Requests += l.Requests
	other.KVCacheTokens += l.KVCacheTokens
	return other
}

// Minus returns the work without that of other, but no negative count.
func (l Load) Minus(other Load) Load {
	for urgency, tokens := range other.PendingPrefill {
		l.PendingPrefill[urgency] = max(l.PendingPrefill[urgency]-tokens, 0)
	}
	l.Requests = max(l.Requests-other.Requests, 0)
	l.KVCacheTokens = max(l.KVCacheTokens-other.KVCacheTokens, 0)
	return l
}

// Holding is the number of tokens of a part that a target holds, or will hold after its prefill.
type Holding struct {
	Target TargetHash
	Key    uint64
	// Tokens is zero if the target no longer holds the part.
	Tokens int
}

// AnnouncedVersion is a wanted version of the weights of a model, and the time for which it has been wanted.
type AnnouncedVersion struct {
	Model   string
	Version int64
	Age     time.Duration
}

// UpgradePlan lists the targets whose weights are about to be upgraded or have been upgraded.
type UpgradePlan struct {
	// FencingToken is the fencing token of the sender, which increases with each new holder of the update lock;
	// zero means that the sender does not hold the lock.
	FencingToken uint64
	Upgrading    []TargetHash
	Upgraded     []UpgradedTarget
}

// UpgradedTarget is a target that has loaded new weights.
type UpgradedTarget struct {
	Target  TargetHash
	Model   string
	Version int64
}

// PeerUpdate is the state that one daemon sends to its peers, or the combined state of several daemons.
type PeerUpdate struct {
	Loads []Load
	// LoadsOmitted is set if the update continues another one that contains the loads.
	LoadsOmitted      bool
	Holdings          []Holding
	AnnouncedVersions []AnnouncedVersion
	Strikes           []attributor.Strike
	Completions       []attributor.Completion
	RateLimits        []RateLimit
	// WorkFactors are what targets reported of how long work takes there, if that changed.
	WorkFactors []WorkFactor
	// Departures are the incarnations that said that they are leaving.
	Departures []TargetHash
	// AccountDemands and ServiceSupplies are absent from most updates. Those last received remain valid for a while.
	AccountDemands  []AccountDemand
	ServiceSupplies []ServiceSupply
	// UpgradePlan is the plan of the sender if it holds the update lock.
	UpgradePlan UpgradePlan
}

// Empty reports whether the update contains no loads, holdings, strikes, completions, rate limits, work factors, departures, demands or
// targets that are being upgraded. An update with only the rest, such as announced versions, need not be sent, since the next update
// contains it too.
func (u PeerUpdate) Empty() bool {
	return len(u.Loads) == 0 && len(u.Holdings) == 0 && len(u.Strikes) == 0 && len(u.Completions) == 0 && len(u.RateLimits) == 0 && len(u.WorkFactors) == 0 &&
		len(u.Departures) == 0 && len(u.AccountDemands) == 0 && len(u.ServiceSupplies) == 0 && len(u.UpgradePlan.Upgrading) == 0
}

// peer is the last known work of another daemon at the targets.
type peer struct {
	loads      []Load
	receivedAt time.Time
}

const (
	// peerTimeout is how long the work of a peer counts after its last message. It exceeds the longest interval of
	// package broadcaster several times.
	peerTimeout = 1500 * time.Millisecond
	// minAnnouncedTokens is the size of the smallest part that is announced to peers each time it is used.
	minAnnouncedTokens = 1000
	// minSharedTokens is the size of the smallest shared part that is announced to peers when a target begins or
	// ceases to hold it. Reading a smaller part again takes less time than fetching it.
	minSharedTokens = 128
	// maxUnsharedAnnouncers is the number of daemons up to which parts that belong to one call are announced too, so that
	// peers know when they push others out of a cache. In larger fleets the cache events of engines have to do.
	maxUnsharedAnnouncers = 16
	// maxPendingHoldings bounds the parts that wait to be announced. Further ones are not announced.
	maxPendingHoldings = 512
)

// Hash returns the hash that identifies the incarnation in the messages between daemons.
func (t Target) Hash() TargetHash {
	return TargetHash(xxh3.HashStringSeed(t.ID, uint64(t.Started.UnixMilli())))
}

// maxExportedVersions bounds the wanted versions of a model that are sent to peers.
const maxExportedVersions = 4

// Export returns the work of this daemon, the changes of held parts and of rate limits since the last call, the targets that
// said that they are leaving, and the newest wanted versions of the weights. The caller adds the strikes, the completions and the upgrade plan.
func (p *Placer) Export() (update PeerUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	for model, known := range p.wanted {
		for _, wanted := range known[max(len(known)-maxExportedVersions, 0):] {
			if !wanted.estimated {
				update.AnnouncedVersions = append(update.AnnouncedVersions, AnnouncedVersion{Model: model, Version: wanted.version, Age: now.Sub(wanted.since)})
			}
		}
	}
	for _, t := range p.targets {
		if t.localWork != (work{}) {
			update.Loads = append(update.Loads, Load{Target: t.hash, Requests: t.localWork.requests, PendingPrefill: t.localWork.pendingPrefill, KVCacheTokens: t.localWork.kvCacheTokens})
		}
	}
	update.Loads = append(update.Loads, p.stores.exportWork(now)...)
	update.Holdings = p.pendingHoldings
	p.pendingHoldings = nil
	update.RateLimits = p.exportLimits(now)
	update.WorkFactors = p.exportFactors(now)
	update.Departures = p.exportDepartures(now)
	return update
}

// Import replaces the known work of a peer at the targets, and adds the parts, rate limits, departures and wanted versions
// that it announces.
// It ignores the strikes, the completions and the upgrade plan, and drops the work of peers that have timed out.
func (p *Placer) Import(name string, update PeerUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Now()
	p.replacePeerWork(name, update, now)
	p.importLimits(update.RateLimits, now)
	p.importFactors(update.WorkFactors, now)
	for _, incarnation := range update.Departures {
		p.addDeparture(incarnation, false)
	}
	for _, announced := range update.AnnouncedVersions {
		p.addWanted(announced.Model, wantedVersion{version: announced.Version, since: now.Add(-announced.Age)})
	}
	for _, holding := range update.Holdings {
		if p.importStoreState(holding, now) {
			continue
		}
		if cached, capacity := p.cacheOf(holding.Target); cached != nil {
			p.recordTold(holding, now)
			p.noteEviction(holding, now)
			cached.add(partKey(holding.Key), holding.Tokens, capacity, now.Add(p.prefillBacklog(holding.Target)))
			p.noteHeld(partKey(holding.Key), holding.Tokens)
			p.notePeerUse(holding, now)
		}
	}
	for other, known := range p.peers {
		if now.Sub(known.receivedAt) > peerTimeout {
			p.addPeerWork(known.loads, work.negated)
			delete(p.peers, other)
		}
	}
}

// replacePeerWork replaces the known work of a peer, unless the update omits it.
func (p *Placer) replacePeerWork(name string, update PeerUpdate, now time.Time) {
	if update.LoadsOmitted {
		return
	}
	p.addPeerWork(p.peers[name].loads, work.negated)
	p.peers[name] = peer{loads: slices.Clone(update.Loads), receivedAt: now}
	p.addPeerWork(update.Loads, identity)
}

// prefillBacklog returns the time that the target is expected to need for the prefill of all requests sent to it.
func (p *Placer) prefillBacklog(target TargetHash) time.Duration {
	t := p.byHash[target]
	if t == nil {
		return 0
	}
	return scaled(p.rates[t.Service].prefillTime(t.combinedWork().pendingPrefill.total()), t.speed.factor(p.settings.Now()))
}

func identity(w work) work { return w }

// addPeerWork adds the work of a peer, or its negative.
func (p *Placer) addPeerWork(loads []Load, sign func(work) work) {
	for _, load := range loads {
		if s := p.stores.byHash(load.Target); s != nil {
			s.work.peers += sign(work{kvCacheTokens: load.KVCacheTokens}).kvCacheTokens
			continue
		}
		if t := p.byHash[load.Target]; t != nil {
			t.peerWork.add(sign(work{requests: load.Requests, pendingPrefill: load.PendingPrefill, kvCacheTokens: load.KVCacheTokens}))
		}
	}
}

// KnowsIncarnation reports whether the hash identifies the current incarnation of a target.
func (p *Placer) KnowsIncarnation(incarnation uint64) bool {
	_, known := p.TargetID(TargetHash(incarnation))
	return known
}

// SetPeers sets the names of the other daemons.
func (p *Placer) SetPeers(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peerNames = slices.Clone(names)
}

// cacheOf returns the parts that a target or a store holds, and its capacity in tokens.
func (p *Placer) cacheOf(holder TargetHash) (cached *partCache, capacity int) {
	if s := p.stores.byHash(holder); s != nil {
		return s.cached, s.CacheTokens
	}
	if t := p.byHash[holder]; t != nil {
		return t.cached, p.cacheCapacity(t)
	}
	return nil, 0
}

// announce queues the number of held tokens of a part for the next update to the peers. Parts below minSharedTokens
// are not announced.
func (p *Placer) announce(holder TargetHash, key partKey, tokens int) {
	if (tokens == 0 || tokens >= minSharedTokens) && len(p.pendingHoldings) < maxPendingHoldings {
		p.pendingHoldings = append(p.pendingHoldings, Holding{Target: holder, Key: uint64(key), Tokens: tokens})
	}
}

// announcesUnshared reports whether parts that belong to one call are announced.
func (p *Placer) announcesUnshared() bool { return p.daemonCount() <= maxUnsharedAnnouncers }

// TargetID returns the id of the target whose current incarnation has the hash. known is false if there is none.
func (p *Placer) TargetID(hash TargetHash) (id string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byHash[hash]; t != nil {
		return t.ID, true
	}
	return "", false
}

// MarkUpgrading marks a target whose weights are about to be upgraded. It gets no requests until the given time; a time in
// the past ends the exclusion.
func (p *Placer) MarkUpgrading(id string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.upgradingUntil = until
	}
}

// MarkUpgraded records that a target has loaded new weights and can be used again.
func (p *Placer) MarkUpgraded(id, model string, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		t.recordVersion(model, version)
		t.upgradingUntil = time.Time{}
	}
}
