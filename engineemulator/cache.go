package engineemulator

import (
	"container/list"
	"sync"

	"github.com/rosemaryrill/rosemaryrill/hasher"
)

// eventKind is the kind of a cache event.
type eventKind string

const (
	eventStored  eventKind = "stored"
	eventEvicted eventKind = "evicted"
)

// cachedBlock is one block of the prefix cache. The hash covers the whole prefix that ends
// with the block; prefixTokens is the length of that prefix.
type cachedBlock struct {
	hash         hasher.Block
	account      string
	weights      string
	prefixTokens int
}

// blockCache is an LRU cache of prompt blocks. Since a block is useful only while all blocks
// before it in its chain are cached, touch makes the first block the most recently used one.
type blockCache struct {
	capacity int
	recency  *list.List
	entries  map[hasher.Block]*list.Element
	onChange func(eventKind, cachedBlock)
}

func newBlockCache(capacity int, onChange func(eventKind, cachedBlock)) *blockCache {
	return &blockCache{
		capacity: capacity,
		recency:  list.New(),
		entries:  make(map[hasher.Block]*list.Element),
		onChange: onChange,
	}
}

// cachedPrefix returns the number of blocks in the longest cached prefix of the chain.
func (c *blockCache) cachedPrefix(chain []hasher.Block) int {
	for i, block := range chain {
		if c.entries[block] == nil {
			return i
		}
	}
	return len(chain)
}

// touch marks the cached blocks of the chain as used, the first block as the most recently used.
func (c *blockCache) touch(chain []hasher.Block) {
	for i := len(chain) - 1; i >= 0; i-- {
		if entry := c.entries[chain[i]]; entry != nil {
			c.recency.MoveToFront(entry)
		}
	}
}

// store adds a block and evicts the least recently used blocks beyond the capacity. A block
// that is cached already is only marked as used.
func (c *blockCache) store(block cachedBlock) {
	if entry := c.entries[block.hash]; entry != nil {
		c.recency.MoveToFront(entry)
		return
	}
	c.entries[block.hash] = c.recency.PushFront(block)
	c.onChange(eventStored, block)
	for c.recency.Len() > c.capacity {
		c.evict(c.recency.Back())
	}
}

func (c *blockCache) evict(entry *list.Element) {
	block := entry.Value.(cachedBlock)
	c.recency.Remove(entry)
	delete(c.entries, block.hash)
	c.onChange(eventEvicted, block)
}

// get returns the block with the hash without marking it as used.
func (c *blockCache) get(hash hasher.Block) (block cachedBlock, ok bool) {
	entry := c.entries[hash]
	if entry == nil {
		return cachedBlock{}, false
	}
	return entry.Value.(cachedBlock), true
}

func (c *blockCache) len() int { return c.recency.Len() }

// BlockSet is the set of all blocks that engines have computed so far. An engine counts the
// tokens of a block as recomputed if the set already contains the block. Engines may share a
// set.
type BlockSet struct {
	mu     sync.Mutex
	blocks map[hasher.Block]struct{}
}

// NewBlockSet returns an empty set.
func NewBlockSet() *BlockSet {
	return &BlockSet{blocks: make(map[hasher.Block]struct{})}
}

// Add adds a block and reports whether the set already contained it.
func (s *BlockSet) Add(block hasher.Block) (known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known = s.blocks[block]
	s.blocks[block] = struct{}{}
	return known
}
