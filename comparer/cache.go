package comparer

import (
	"container/list"

	"github.com/rosemaryrill/rosemaryrill/hasher"
	"github.com/rosemaryrill/rosemaryrill/router"
)

// cache is the LRU prefix cache of an engine. Of the blocks of one chain, those at the end are evicted before those
// at the start.
type cache struct {
	capacity int // in blocks
	lru      *list.List
	entries  map[hasher.Block]*list.Element
	onEvent  func(router.Event)
}

func newCache(capacity int, onEvent func(router.Event)) *cache {
	return &cache{
		capacity: capacity,
		lru:      list.New(),
		entries:  make(map[hasher.Block]*list.Element),
		onEvent:  onEvent,
	}
}

// cachedPrefix returns how many blocks from the start of the chain are cached.
func (c *cache) cachedPrefix(chain []hasher.Block) int {
	for i, block := range chain {
		if c.entries[block] == nil {
			return i
		}
	}
	return len(chain)
}

// touch marks the blocks as used. It marks the start of the chain last, which makes it the most recently used.
func (c *cache) touch(chain []hasher.Block) {
	for i := len(chain) - 1; i >= 0; i-- {
		if entry := c.entries[chain[i]]; entry != nil {
			c.lru.MoveToFront(entry)
		}
	}
}

// store adds a block and evicts the least recently used blocks beyond the capacity.
func (c *cache) store(block hasher.Block) {
	if entry := c.entries[block]; entry != nil {
		c.lru.MoveToFront(entry)
		return
	}
	c.entries[block] = c.lru.PushFront(block)
	c.onEvent(router.Event{Kind: router.EventStored, Block: block})
	for c.lru.Len() > c.capacity {
		oldest := c.lru.Back()
		evicted := oldest.Value.(hasher.Block)
		c.lru.Remove(oldest)
		delete(c.entries, evicted)
		c.onEvent(router.Event{Kind: router.EventEvicted, Block: evicted})
	}
}
