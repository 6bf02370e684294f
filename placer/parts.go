package placer

import (
	"container/list"
	"time"
)

// partKey names a part under its model, wall and weights.
type partKey uint64

// parts is what a target is expected to hold, least recently used first to go.
type parts struct {
	tokens  int
	order   *list.List
	entries map[partKey]*list.Element
}

type heldPart struct {
	key    partKey
	tokens int
	// readBy is when the target is expected to have read it; zero is long ago.
	readBy time.Time
}

func newParts() *parts {
	return &parts{order: list.New(), entries: make(map[partKey]*list.Element)}
}

// held counts the tokens of a part that are there, from its beginning on.
func (p *parts) held(key partKey) int {
	element, held := p.entries[key]
	if !held {
		return 0
	}
	return element.Value.(heldPart).tokens
}

// read counts the tokens of a part that are there to be fetched.
func (p *parts) read(key partKey, now time.Time) int {
	element, held := p.entries[key]
	if !held || element.Value.(heldPart).readBy.After(now) {
		return 0
	}
	return element.Value.(heldPart).tokens
}

// expect notes when a part that is there will have been read; zero is at once.
func (p *parts) expect(key partKey, readBy time.Time) {
	if element, held := p.entries[key]; held {
		part := element.Value.(heldPart)
		part.readBy = readBy
		element.Value = part
	}
}

// promise adds a part that will have been read by then, unless it is there already, and says whether it
// was not. It becomes the most recent one in either case.
func (p *parts) promise(key partKey, tokens, bound int, readBy time.Time) (added bool) {
	added = p.held(key) == 0
	p.use(key, tokens, bound)
	if added {
		p.expect(key, readBy)
	}
	return added
}

// use adds a part or makes it the most recent one, and lets the oldest go beyond the bound.
func (p *parts) use(key partKey, tokens, bound int) {
	p.set(key, tokens)
	for p.tokens > bound && p.order.Len() > 1 {
		p.remove(p.order.Front())
	}
}

// set makes a part the most recent one, with so many of its tokens there. None removes it.
func (p *parts) set(key partKey, tokens int) {
	part := heldPart{key: key}
	if element, held := p.entries[key]; held {
		part = element.Value.(heldPart)
		p.remove(element)
	}
	if tokens <= 0 {
		return
	}
	part.tokens = tokens
	p.entries[key] = p.order.PushBack(part)
	p.tokens += tokens
}

func (p *parts) remove(element *list.Element) {
	removed := p.order.Remove(element).(heldPart)
	delete(p.entries, removed.key)
	p.tokens -= removed.tokens
}

func (p *parts) clear() {
	p.tokens = 0
	p.order.Init()
	clear(p.entries)
}
