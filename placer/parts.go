package placer

import (
	"container/list"
	"time"
)

// partKey identifies a part of a prompt for one model, cache namespace and version of the weights.
type partKey uint64

// partCache models the parts that a target or a store is expected to hold. The least recently used parts are evicted first.
type partCache struct {
	tokens  int
	order   *list.List
	entries map[partKey]*list.Element
}

type cachedPart struct {
	key    partKey
	tokens int
	// availableAt is when the prefill of the part is expected to be complete; zero means that it is.
	availableAt time.Time
	// shared is set if the part was placed as a shared one or used again.
	shared bool
}

func newPartCache() *partCache {
	return &partCache{order: list.New(), entries: make(map[partKey]*list.Element)}
}

// heldTokens returns the number of leading tokens of a part that are held, or will be after its prefill.
func (c *partCache) heldTokens(key partKey) int {
	element, found := c.entries[key]
	if !found {
		return 0
	}
	return element.Value.(cachedPart).tokens
}

// fetchableTokens returns the number of leading tokens of a part that can be fetched now.
func (c *partCache) fetchableTokens(key partKey, now time.Time) int {
	element, found := c.entries[key]
	if !found || element.Value.(cachedPart).availableAt.After(now) {
		return 0
	}
	return element.Value.(cachedPart).tokens
}

// setAvailableAt sets when the prefill of a part is expected to be complete; zero means that it is.
func (c *partCache) setAvailableAt(key partKey, availableAt time.Time) {
	if element, found := c.entries[key]; found {
		part := element.Value.(cachedPart)
		part.availableAt = availableAt
		element.Value = part
	}
}

// add adds a part that becomes available at the given time, unless it is held already, and reports whether it was added.
// The part becomes the most recently used in either case.
func (c *partCache) add(key partKey, tokens, capacity int, availableAt time.Time) (added bool) {
	added = c.heldTokens(key) == 0
	c.put(key, tokens, capacity)
	if added {
		c.setAvailableAt(key, availableAt)
	} else {
		c.markShared(key)
	}
	return added
}

// markShared records that a part does not belong to one call alone.
func (c *partCache) markShared(key partKey) {
	if element, found := c.entries[key]; found {
		part := element.Value.(cachedPart)
		part.shared = true
		element.Value = part
	}
}

// put adds a part or makes it the most recently used, and evicts the least recently used parts beyond the
// capacity.
func (c *partCache) put(key partKey, tokens, capacity int) {
	c.set(key, tokens)
	for c.tokens > capacity && c.order.Len() > 1 {
		c.remove(c.order.Front())
	}
}

// set makes a part the most recently used, and sets the number of its tokens that are held. If that is zero, it removes
// the part.
func (c *partCache) set(key partKey, tokens int) {
	part := cachedPart{key: key}
	if element, found := c.entries[key]; found {
		part = element.Value.(cachedPart)
		c.remove(element)
	}
	if tokens <= 0 {
		return
	}
	part.tokens = tokens
	c.entries[key] = c.order.PushBack(part)
	c.tokens += tokens
}

func (c *partCache) remove(element *list.Element) {
	removed := c.order.Remove(element).(cachedPart)
	delete(c.entries, removed.key)
	c.tokens -= removed.tokens
}

func (c *partCache) clear() {
	c.tokens = 0
	c.order.Init()
	clear(c.entries)
}
