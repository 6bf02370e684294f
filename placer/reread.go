package placer

import "time"

// ReadCause tells why a target reads shared parts of a prompt.
type ReadCause string

// The causes for which a target reads shared parts. The cause is that of the first part that is read.
const (
	// ReadFirst: nothing is known of the part.
	ReadFirst ReadCause = "first"
	// ReadEvicted: a target or a store held the part, and none does any more.
	ReadEvicted ReadCause = "evicted"
	// ReadElsewhere: another target or a store holds the part, but it isn't fetched.
	ReadElsewhere ReadCause = "elsewhere"
	// ReadConcurrent: another target is reading the part.
	ReadConcurrent ReadCause = "concurrent"
	// ReadWeights: the part is known under replaced weights only.
	ReadWeights ReadCause = "weights"
	// ReadUnknown: nothing is known of the part, since this daemon started shortly before.
	ReadUnknown ReadCause = "unknown"
)

const (
	// learningTime is how long after its start a daemon may not know parts that others know.
	learningTime = 30 * time.Second
	// maxSeenParts bounds each of the two generations of seen parts.
	maxSeenParts = 32_768
)

// seenParts remembers the keys of parts that a target or a store held at some time. It forgets the oldest half once the newer
// one is full.
type seenParts struct{ newer, older map[partKey]struct{} }

func (s *seenParts) add(key partKey) {
	if s.newer == nil || len(s.newer) >= maxSeenParts {
		s.newer, s.older = make(map[partKey]struct{}), s.newer
	}
	s.newer[key] = struct{}{}
}

func (s *seenParts) contains(key partKey) bool {
	_, found := s.newer[key]
	if !found {
		_, found = s.older[key]
	}
	return found
}

// noteHeld remembers that a target or a store holds a part. Small ones are mostly parts of one call.
func (p *Placer) noteHeld(key partKey, tokens int) {
	if tokens >= minAnnouncedTokens {
		p.seen.add(key)
	}
}

// sharedRead returns how many tokens of the shared parts the candidate reads, and why.
func (p *Placer) sharedRead(c candidate, index *holderIndex) (tokens int, cause ReadCause) {
	call := index.call
	shared := call.sharedTokens()
	tokens = min(c.prefillTokens-(call.PromptTokens-shared), shared)
	if tokens < minSharedTokens {
		return 0, ""
	}
	return tokens, p.readCause(c, index, shared-tokens)
}

// readCause returns why the candidate reads the shared parts after the given number of tokens.
func (p *Placer) readCause(c candidate, index *holderIndex, have int) ReadCause {
	holders, call := index.forVersion(c.version), index.call
	switch {
	case holders.fetchableTokens() >= have+minFetchTokens:
		return ReadElsewhere
	case holders.maxTokens >= have+minFetchTokens:
		return ReadConcurrent
	}
	first := call.partAt(have)
	switch {
	case p.seen.contains(holders.keys[first]):
		return ReadEvicted
	case p.seenUnderReplaced(call, first, c.version):
		return ReadWeights
	case p.settings.Now().Sub(p.started) < learningTime:
		return ReadUnknown
	}
	return ReadFirst
}

// fetchableTokens returns the largest number of tokens that a target or a store holds.
func (h *promptHolders) fetchableTokens() (tokens int) {
	if len(h.largest) > 0 {
		tokens = h.largest[0].tokens
	}
	for _, stored := range h.stored {
		tokens = max(tokens, stored.tokens)
	}
	return tokens
}

// partAt returns the index of the shared part that contains the first token after the given number of tokens.
func (c Call) partAt(tokens int) (index int) {
	for index < len(c.Parts)-2 && tokens+blockTokens > c.Parts[index].Tokens {
		tokens -= c.Parts[index].Tokens
		index++
	}
	return index
}

// seenUnderReplaced reports whether a part was held under one of the versions of the weights before the given one.
func (p *Placer) seenUnderReplaced(call Call, part int, version int64) bool {
	for replaced := version - 1; replaced >= max(version-maxExportedVersions, 0); replaced-- {
		if p.seen.contains(partKey(PartKey(call.Model, call.CacheNamespace, replaced, call.Parts[part].ID))) {
			return true
		}
	}
	return false
}
