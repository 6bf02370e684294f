package placer

import "container/list"

// partKey names a part under its wall and weights, after all parts before it.
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
}

func newParts() *parts {
	return &parts{order: list.New(), entries: make(map[partKey]*list.Element)}
}

func (p *parts) has(key partKey) bool {
	_, held := p.entries[key]
	return held
}

// use adds a part or makes it the most recent one, and lets the oldest go beyond the bound.
func (p *parts) use(key partKey, tokens, bound int) {
	if element, held := p.entries[key]; held {
		p.order.MoveToBack(element)
		return
	}
	p.entries[key] = p.order.PushBack(heldPart{key: key, tokens: tokens})
	p.tokens += tokens
	for p.tokens > bound && p.order.Len() > 1 {
		oldest := p.order.Remove(p.order.Front()).(heldPart)
		delete(p.entries, oldest.key)
		p.tokens -= oldest.tokens
	}
}

func (p *parts) clear() {
	p.tokens = 0
	p.order.Init()
	clear(p.entries)
}
