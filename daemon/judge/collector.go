package judge

import "yuccaspread/common/clock"

// holdback is how long after its grant an answer counts. Without it, a version
// whose traffic has just grown would seem to give short and quick answers only,
// as the long ones have not ended yet. Failures and empty answers count at once.
const (
	holdback      = 10 * clock.Second
	holdbackSlots = int(holdback/clock.Second) + 2
)

// Collector turns ended requests into windows. The zero value works.
type Collector struct {
	ready Window
	// held holds what counts later, by the second modulo the number of slots.
	held [holdbackSlots]Window
	// turned is the second up to which held was emptied.
	turned clock.Millis
}

// Add takes a request that was granted at granted and has ended now.
func (c *Collector) Add(now, granted clock.Millis, key Key, s Sample) {
	due := granted + holdback
	if s.Failed || s.Tokens <= 0 || due <= now {
		if c.ready == nil {
			c.ready = Window{}
		}
		c.ready.Of(key).Add(s)
		return
	}
	c.turn(now)
	slot := &c.held[c.slot(due)]
	if *slot == nil {
		*slot = Window{}
	}
	slot.Of(key).Add(s)
}

// Take returns what counts by now and was not taken before.
func (c *Collector) Take(now clock.Millis) Window {
	c.turn(now)
	window := c.ready
	c.ready = nil
	return window
}

func (c *Collector) slot(at clock.Millis) int {
	return int(at/clock.Second) % holdbackSlots
}

// turn makes ready what was held until now.
func (c *Collector) turn(now clock.Millis) {
	second := now / clock.Second
	for at := max(c.turned+1, second-clock.Millis(holdbackSlots)+1); at <= second; at++ {
		slot := &c.held[c.slot(at*clock.Second)]
		if *slot == nil {
			continue
		}
		if c.ready == nil {
			c.ready = Window{}
		}
		c.ready.Merge(*slot)
		*slot = nil
	}
	c.turned = max(c.turned, second)
}
