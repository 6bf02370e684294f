package registrar

import "sync"

// boundedCache is a cache whose entries have a total cost of at most maxCost, in the unit
// that callers of put use. An entry that would exceed maxCost first clears the whole cache.
// This bounds the memory without tracking the order of use, as an LRU cache would have to.
type boundedCache[K comparable, V any] struct {
	mutex   sync.RWMutex
	values  map[K]V
	cost    int
	maxCost int
}

func newBoundedCache[K comparable, V any](maxCost int) *boundedCache[K, V] {
	return &boundedCache[K, V]{values: make(map[K]V), maxCost: maxCost}
}

func (c *boundedCache[K, V]) get(key K) (value V, ok bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	value, ok = c.values[key]
	return value, ok
}

func (c *boundedCache[K, V]) put(key K, value V, cost int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, found := c.values[key]; found {
		return
	}
	if c.cost+cost > c.maxCost {
		clear(c.values)
		c.cost = 0
	}
	c.values[key] = value
	c.cost += cost
}
