package generator

import "container/list"

// prefixCache is an LRU cache of prompt prefix blocks. It is not safe for concurrent
// use.
type prefixCache struct {
	// capacity bounds the number of blocks; 0 keeps none.
	capacity int
	// recency holds the blocks, the most recently used first.
	recency *list.List
	blocks  map[uint64]*list.Element
}

// hits returns the number of leading blocks that are cached.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, found := c.blocks[b]; !found {
			return i
		}
	}
	return len(blocks)
}

// insert makes the blocks the most recently used ones and evicts the oldest beyond
// capacity. It returns the blocks that were added and those that were evicted.
func (c *prefixCache) insert(blocks []uint64) (stored, removed []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
		c.recency = list.New()
	}
	for _, b := range blocks {
		if e, found := c.blocks[b]; found {
			c.recency.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.recency.PushFront(b)
		stored = append(stored, b)
	}
	for c.recency.Len() > c.capacity {
		oldest := c.recency.Back()
		b := c.recency.Remove(oldest).(uint64)
		delete(c.blocks, b)
		removed = append(removed, b)
	}
	return stored, removed
}
