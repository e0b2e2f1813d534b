package generator

import "container/list"

// prefixCache keeps the blocks that were used last. It is not safe for
// concurrent use.
type prefixCache struct {
	// capacity bounds the number of blocks; 0 keeps none.
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

// hits returns how many leading blocks are present.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, b := range blocks {
		if _, found := c.blocks[b]; !found {
			return i
		}
	}
	return len(blocks)
}

// add makes the blocks the newest ones and drops the oldest beyond capacity.
// It returns the blocks that came and those that left.
func (c *prefixCache) add(blocks []uint64) (stored, removed []uint64) {
	if c.blocks == nil {
		c.blocks = map[uint64]*list.Element{}
		c.order = list.New()
	}
	for _, b := range blocks {
		if e, found := c.blocks[b]; found {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.capacity {
		oldest := c.order.Back()
		b := c.order.Remove(oldest).(uint64)
		delete(c.blocks, b)
		removed = append(removed, b)
	}
	return stored, removed
}
