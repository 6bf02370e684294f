package pooler

import (
	"net/netip"
	"slices"

	"github.com/rosemaryrill/rosemaryrill/registrar"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// MoveFacts are the facts that a move of cached blocks depends on. A move is cancelled when they
// change.
type MoveFacts struct {
	From, To        netip.AddrPort
	FromIncarnation string
	ToIncarnation   string
}

// MoveFacts returns the facts of a move, and whether it may be carried out now: the source still
// has the incarnation that holds the blocks, the destination is usable and has the weights
// loaded, and the selectors allow the account to use the destination with these weights.
func (p *Pooler) MoveFacts(move router.Move) (facts MoveFacts, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil {
		return MoveFacts{}, false
	}
	from, fromDeclared := p.snapshot.Target(move.From)
	to, toDeclared := p.snapshot.Target(move.To)
	if !fromDeclared || !toDeclared || !p.usable(to) || !slices.Contains(p.loaded[to.Name].names, move.Weights) {
		return MoveFacts{}, false
	}
	facts = MoveFacts{
		From: from.Address, To: to.Address,
		FromIncarnation: p.settings.Liveness.Incarnation(from.Name),
		ToIncarnation:   p.settings.Liveness.Incarnation(to.Name),
	}
	return facts, facts.FromIncarnation == move.FromIncarnation && p.mayUse(move, to)
}

// mayUse reports whether the selectors allow the account of a move to use the target with the
// weights of the move.
func (p *Pooler) mayUse(move router.Move, target *registrar.Target) bool {
	objects := p.snapshot.Objects()
	for i := range objects.Versions {
		version := &objects.Versions[i]
		if version.Model != target.Model || weightsName(version.Weights, version.Adapter) != move.Weights {
			continue
		}
		request := registrar.Request{Account: move.Account, Model: version.Model, Version: version.Name}
		for _, verdict := range p.snapshot.Verdicts(request) {
			if verdict.Allowed && verdict.Target.Name == target.Name {
				return true
			}
		}
	}
	return false
}

// RecordMove records that the destination of a move holds all its blocks.
func (p *Pooler) RecordMove(move router.Move, facts MoveFacts) {
	p.mu.Lock()
	declared, ok := p.snapshot.Target(move.To)
	var pool *modelPool
	if ok {
		pool = p.pools[declared.Model]
	}
	p.mu.Unlock()
	if pool == nil {
		return
	}
	events := make([]router.Event, 0, len(move.Blocks))
	for _, block := range move.Blocks {
		events = append(events, router.Event{Kind: router.EventStored, Block: block})
	}
	pool.router.ObserveCache(move.To, facts.ToIncarnation, events)
}

// ProposeDrainMoves proposes transfers of the hot prefixes that only a draining target holds.
func (p *Pooler) ProposeDrainMoves(target string) []router.Move {
	p.mu.Lock()
	var pool *modelPool
	if p.snapshot != nil {
		if declared, ok := p.snapshot.Target(target); ok {
			pool = p.pools[declared.Model]
		}
	}
	p.mu.Unlock()
	if pool == nil {
		return nil
	}
	return pool.router.ProposeDrainMoves(target)
}
