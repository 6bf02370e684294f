package placer

import (
	"math"
	"time"
)

const (
	// maxHeldFraction is the fraction of an engine's memory up to which the most urgent requests are sent. The rest is for
	// answers that become longer than expected.
	maxHeldFraction = 0.95
	// heldFractionStep lowers that fraction for each less urgent class, so that less urgent requests leave memory to
	// more urgent ones: an engine without memory preempts the former.
	heldFractionStep = 0.01
	// useInterval is the time after which the tokens of the parts in use are counted again.
	useInterval = 100 * time.Millisecond
	// unseenClaimTime is how long requests that peers send may remain unknown here in a large fleet.
	unseenClaimTime = 700 * time.Millisecond
	// claimMemory is the time constant of the memory that this daemon's requests claim, and stayWeight the weight of
	// one request in the mean time that requests stay at an engine.
	claimMemory = 2 * time.Second
	stayWeight  = 0.1
	// minStay bounds that time from below, and maxUnsent the tokens of calls in proportion to those that count in loads.
	minStay   = 100 * time.Millisecond
	maxUnsent = 10
	// defaultStay is the assumed mean time until requests have ended.
	defaultStay = time.Second
)

// decayedTokens is a sum of tokens that decays with claimMemory.
type decayedTokens struct {
	sum float64
	at  time.Time
}

func (d *decayedTokens) add(tokens int, now time.Time) {
	d.sum, d.at = d.sum*math.Exp(-now.Sub(d.at).Seconds()/claimMemory.Seconds())+float64(tokens), now
}

// memoryClaims is what requests for one service claim of the engines' memory.
type memoryClaims struct {
	// offered is the sum of the tokens of this daemon's calls, refused ones included, and sent that of the tokens that count in
	// the loads of the calls that were sent.
	offered, sent decayedTokens
	// stay is the mean time that requests stay at an engine.
	stay time.Duration
	// roomy is the number of engines that had memory for the last call, and peerTokens what requests of peers held then.
	roomy, peerTokens int
	// counting are the same numbers, as far as they are known for the call for which a target is being chosen.
	counting struct{ roomy, peerTokens int }
}

func (m *memoryClaims) recordStay(stay time.Duration) {
	m.stay += time.Duration(stayWeight * float64(stay-m.stay))
}

// unseen returns the memory of an engine that requests of peers are expected to claim before this daemon learns of them. What
// the peers' requests hold and how long they stay tells what they send; refused calls and shared parts come on top
// in the proportion of this daemon's calls. They go to the engines that have room.
func (m *memoryClaims) unseen() float64 {
	perSecond := float64(m.peerTokens) / max(m.stay, minStay).Seconds()
	unsent := min(max(m.offered.sum/max(m.sent.sum, 1), 1), maxUnsent)
	return perSecond * unsent * unseenClaimTime.Seconds() / float64(max(m.roomy, 1))
}

// claimsOf returns the claims of the requests for a service.
func (p *Placer) claimsOf(service string) *memoryClaims {
	known := p.claims[service]
	if known == nil {
		known = &memoryClaims{stay: defaultStay}
		p.claims[service] = known
	}
	return known
}

// recordRoom counts the call, whether or not an engine has room for it, and ends the counting of the engines that have.
func (p *Placer) recordRoom(call Call, now time.Time) {
	if !p.settings.LimitMemory {
		return
	}
	claims := p.claimsOf(call.Service)
	claims.offered.add(blocks(call.PromptTokens+call.OutputTokens), now)
	claims.roomy, claims.peerTokens = claims.counting.roomy, claims.counting.peerTokens
	claims.counting.roomy, claims.counting.peerTokens = 0, 0
}

// blocks returns the tokens of the blocks that a number of tokens take.
func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// heldTokens returns the KV cache tokens that the call takes in addition to the shared parts.
func (c Call) heldTokens() int { return blocks(max(c.unsharedTokens(), 0)) }

// usedPart is a shared part of requests that are at a target.
type usedPart struct {
	tokens int
	// requests counts the requests of this daemon, and peersUntil is until when requests of peers are expected to need the part.
	requests   int
	peersUntil time.Time
}

func (u usedPart) inUse(now time.Time) bool { return u.requests > 0 || u.peersUntil.After(now) }

// partUse is what the requests at a target need of its memory for shared parts. Unlike other cached parts these can't be
// evicted. A part takes its tokens once, whatever the number of requests that share it.
type partUse struct {
	parts map[partKey]usedPart
	// total counts the tokens of the parts in use at countedAt.
	total     int
	countedAt time.Time
}

// hold counts a request of this daemon.
func (u *partUse) hold(key partKey, tokens int, now time.Time) {
	used := u.parts[key]
	used.requests++
	u.set(key, used, tokens, now)
}

// noteUse counts a request of a peer. Parts that are no longer in use are forgotten.
func (u *partUse) noteUse(key partKey, tokens int, now, until time.Time) {
	u.tokens(now)
	used := u.parts[key]
	used.peersUntil = until
	u.set(key, used, tokens, now)
}

func (u *partUse) set(key partKey, used usedPart, tokens int, now time.Time) {
	if u.parts == nil {
		u.parts = make(map[partKey]usedPart)
	}
	if before := u.parts[key]; before.inUse(now) {
		u.total -= before.tokens
	}
	used.tokens = max(used.tokens, blocks(tokens))
	u.total += used.tokens
	u.parts[key] = used
}

// release counts the end of a request of this daemon.
func (u *partUse) release(key partKey) {
	used := u.parts[key]
	used.requests = max(used.requests-1, 0)
	u.parts[key] = used
	u.countedAt = time.Time{}
}

// tokens returns the tokens of the parts in use, and forgets the others.
func (u *partUse) tokens(now time.Time) int {
	if now.Sub(u.countedAt) < useInterval {
		return u.total
	}
	u.total, u.countedAt = 0, now
	for key, used := range u.parts {
		if !used.inUse(now) {
			delete(u.parts, key)
			continue
		}
		u.total += used.tokens
	}
	return u.total
}

// missing returns the tokens of the call's shared parts that are not in use yet.
func (u *partUse) missing(call Call, keys []partKey, now time.Time) (tokens int) {
	for i, key := range keys {
		if !u.parts[key].inUse(now) {
			tokens += blocks(call.Parts[i].Tokens)
		}
	}
	return tokens
}

// hasRoom reports whether the memory of an engine is expected to hold the call beside the requests of all daemons there. Only as
// many requests as the engine has slots hold memory. Where peers may claim more than what is free, each daemon sends with
// the probability with which all of them together claim about that. An engine without requests has room for any call. The
// rest of a stream is sent in any case, since its caller can't be told to come back.
func (p *Placer) hasRoom(t *target, call Call, keys []partKey, load work, now time.Time) bool {
	engine := p.engines[call.Service]
	if !p.settings.LimitMemory || engine.CacheTokens <= 0 {
		return true
	}
	claims := p.claimsOf(call.Service)
	claims.counting.peerTokens += t.peerWork.kvCacheTokens
	if call.Software != "" || load.requests <= 0 {
		claims.counting.roomy++
		return true
	}
	held := load.kvCacheTokens
	if t.Slots > 0 && load.requests > t.Slots {
		held = int(float64(held) * float64(t.Slots) / float64(load.requests))
	}
	held += t.use.tokens(now) + t.use.missing(call, keys, now) + call.heldTokens()
	fraction := maxHeldFraction - heldFractionStep*float64(call.Urgency)
	free := fraction*float64(engine.CacheTokens) - float64(held)
	if free <= 0 {
		return false
	}
	claims.counting.roomy++
	unseen := claims.unseen()
	return free >= unseen || p.random.Float64()*unseen < free
}

// holdParts counts the shared parts of an attempt's call as in use until releaseParts.
func (a *Attempt) holdParts(call Call, now time.Time) {
	if !a.placer.settings.LimitMemory {
		return
	}
	a.heldParts = call.sharedPartKeys(a.version)
	a.placer.claimsOf(call.Service).sent.add(call.heldTokens(), now)
	for i, key := range a.heldParts {
		a.target.use.hold(key, call.Parts[i].Tokens, now)
		a.placer.usedParts.add(key)
	}
}

// releaseParts ends the use of the parts.
func (a *Attempt) releaseParts() {
	if a.firstEventSeen && a.placer.settings.LimitMemory {
		a.placer.claimsOf(a.target.Service).recordStay(a.placer.settings.Now().Sub(a.chosenAt))
	}
	for _, key := range a.heldParts {
		a.target.use.release(key)
	}
}

// notePeerUse counts a part that a peer announced as in use at the target. Peers announce large parts with each request, but
// not the ends of requests, which are expected after the usual time.
func (p *Placer) notePeerUse(holding Holding, now time.Time) {
	key := partKey(holding.Key)
	if !p.settings.LimitMemory {
		return
	}
	if p.announcesUnshared() && !p.usedParts.contains(key) {
		return // It may belong to one call alone. Then the load of the peer contains it.
	}
	if t := p.byHash[holding.Target]; t != nil && holding.Tokens >= minAnnouncedTokens {
		t.use.noteUse(key, holding.Tokens, now, now.Add(p.claimsOf(t.Service).stay))
	}
}
