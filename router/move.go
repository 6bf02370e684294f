package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/indexer"
)

// Move is a transfer of cached blocks between two targets, by export and import, that is
// expected to take less time than computing the blocks again.
type Move struct {
	From, To string
	// FromIncarnation is the incarnation that is believed to hold the blocks.
	FromIncarnation string
	// Account and Weights are those of the chain that the blocks belong to.
	Account string
	Weights string
	Blocks  []hasher.Block
	Tokens  int
	// TimeSaved is the time that the move is expected to save.
	TimeSaved time.Duration
}

// proposeMove proposes to transfer the blocks of the chain that the chosen target lacks and the
// source holds. It returns nil if they are fewer than Settings.MinMoveBlocks or the transfer
// would save no time.
func (r *Router) proposeMove(chain Chain, chosen candidate) *Move {
	source := chosen.source
	if source.column == indexer.NoColumn || source.blocks-chosen.cachedBlocks < r.settings.MinMoveBlocks {
		return nil
	}
	from, to := r.byColumn[source.column], r.byColumn[chosen.column]
	return r.newMove(from, to, chain, chain.Blocks[chosen.cachedBlocks:source.blocks])
}

// newMove returns the move, or nil if transferring the blocks would save no time or if the
// targets are missing or the same.
func (r *Router) newMove(from, to *target, chain Chain, blocks []hasher.Block) *Move {
	tokens := len(blocks) * r.settings.BlockTokens
	transfer := r.settings.TransferSetupTime + time.Duration(tokens)*r.settings.TransferTimePerToken
	timeSaved := r.prefillTime(tokens) - transfer
	if timeSaved <= 0 || from == nil || to == nil || from == to {
		return nil
	}
	return &Move{
		From:            from.Name,
		To:              to.Name,
		FromIncarnation: from.Incarnation,
		Account:         chain.Account,
		Weights:         chain.Weights,
		Blocks:          blocks,
		Tokens:          tokens,
		TimeSaved:       timeSaved,
	}
}

// ProposeDrainMoves proposes transfers of the hot prefixes that only a draining target holds, those that save
// the most time first.
func (r *Router) ProposeDrainMoves(name string) []Move {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := r.byName[name]
	if from == nil {
		return nil
	}
	now := r.settings.Now()
	var moves []Move
	for _, hot := range r.hot.chains {
		if move := r.proposeDrainMove(from, hot, now); move != nil {
			moves = append(moves, *move)
		}
	}
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(b.TimeSaved, a.TimeSaved) })
	return moves
}

// proposeDrainMove proposes to transfer the blocks of a chain that the draining target holds and
// no usable target does. It returns nil if they are fewer than Settings.MinMoveBlocks or the
// transfer would save no time.
func (r *Router) proposeDrainMove(from *target, hot hotChain, now time.Time) *Move {
	request := Request{Chains: []Chain{hot.chain}, Allowed: hot.allowed, Exclude: []string{from.Name}}
	r.collectCandidates(request, now)
	heldBlocks := 0
	for level, block := range hot.chain.Blocks {
		if bitset(r.table.Holders(block)).contains(from.column) {
			heldBlocks = level + 1
		}
	}
	if len(r.scratch.candidates) == 0 {
		return nil
	}
	to := slices.MinFunc(r.scratch.candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.cachedBlocks, a.cachedBlocks), cmp.Compare(a.score, b.score))
	})
	if heldBlocks-to.cachedBlocks < r.settings.MinMoveBlocks {
		return nil
	}
	return r.newMove(from, r.byColumn[to.column], hot.chain, hot.chain.Blocks[to.cachedBlocks:heldBlocks])
}

// hotChains keeps some of the recent chains with all their blocks, since the table of known
// prefixes does not record which blocks form a chain.
type hotChains struct{ chains []hotChain }

type hotChain struct {
	chain   Chain
	allowed *TargetSet
	calls   int
}

func newHotChains(count int) hotChains { return hotChains{chains: make([]hotChain, count)} }

// record counts a call for a chain. The last block of a chain selects its slot. As in the
// Boyer-Moore majority vote, a call for a chain other than the one in the slot decrements the count
// of the latter, and replaces it at zero.
func (h *hotChains) record(chain Chain, allowed *TargetSet) {
	if len(chain.Blocks) == 0 {
		return
	}
	last := chain.Blocks[len(chain.Blocks)-1]
	slot := &h.chains[last.Lo%uint64(len(h.chains))]
	slotBlocks := slot.chain.Blocks
	switch {
	case len(slotBlocks) > 0 && slotBlocks[len(slotBlocks)-1] == last:
		slot.calls++
		slot.allowed = allowed
	case slot.calls > 0:
		slot.calls--
	default:
		*slot = hotChain{chain: chain, allowed: allowed, calls: 1}
	}
}
