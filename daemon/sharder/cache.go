package sharder

import (
	"sync"

	"yuccaspread/common/inventory"
)

// Cache keeps the layout of the configuration in force. The zero value works;
// it is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	config *inventory.Config
	layout *Layout
}

// Layout returns the layout of the configuration. A change of the
// configuration that leaves regions and upstreams alone costs nothing, since
// successive configurations share what did not change.
func (c *Cache) Layout(config *inventory.Config) *Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil || !Same(c.config.Upstreams, config.Upstreams) || !Same(c.config.Regions, config.Regions) {
		c.layout = New(config)
	}
	c.config = config
	return c.layout
}

// Same tells whether two lists are one and the same memory.
func Same[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
