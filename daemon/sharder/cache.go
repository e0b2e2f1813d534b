package sharder

import (
	"sync"

	"yuccaspread/common/inventory"
)

// LayoutCache keeps the layout of the last configuration. The zero value is ready
// to use; it is safe for concurrent use.
type LayoutCache struct {
	mu     sync.Mutex
	config *inventory.Config
	layout *Layout
}

// Layout returns the layout of the configuration. It is computed anew only when
// the regions or the upstreams have changed; successive configurations share the
// lists that did not change.
func (c *LayoutCache) Layout(config *inventory.Config) *Layout {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil || !SameBackingArray(c.config.Upstreams, config.Upstreams) || !SameBackingArray(c.config.Regions, config.Regions) {
		c.layout = New(config)
	}
	c.config = config
	return c.layout
}

// SameBackingArray reports whether two slices are the same part of the same array,
// or are both empty.
func SameBackingArray[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
