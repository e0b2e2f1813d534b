package judge

import "yuccaspread/common/clock"

const (
	// holdback is the minimum time between the grant of a request and the counting
	// of its answer. Without it, a version whose traffic has just grown would seem
	// to give only short and fast answers, because the long ones have not ended
	// yet. Failures and empty answers count at once.
	holdback      = 10 * clock.Second
	holdbackSlots = int(holdback/clock.Second) + 2
)

// Collector groups ended requests into windows. The zero value is ready to use.
type Collector struct {
	// readyWindow holds the counts that the next Take returns.
	readyWindow Window
	// heldWindows holds the counts that are not due yet, indexed by the second at
	// which they become due, modulo the number of slots.
	heldWindows [holdbackSlots]Window
	// releasedUpTo is the second, since the clock's start, up to which heldWindows
	// was emptied.
	releasedUpTo clock.Millis
}

// Add counts a request that was granted at granted and ended at now.
func (c *Collector) Add(now, granted clock.Millis, key Key, s Sample) {
	due := granted + holdback
	if s.Failed || s.Tokens <= 0 || due <= now {
		if c.readyWindow == nil {
			c.readyWindow = Window{}
		}
		c.readyWindow.Of(key).Add(s)
		return
	}
	c.releaseDue(now)
	slot := &c.heldWindows[c.slotIndex(due)]
	if *slot == nil {
		*slot = Window{}
	}
	slot.Of(key).Add(s)
}

// Take returns the counts that are due by now and that no earlier call returned,
// nil if there are none.
func (c *Collector) Take(now clock.Millis) Window {
	c.releaseDue(now)
	window := c.readyWindow
	c.readyWindow = nil
	return window
}

// slotIndex returns the index in heldWindows of the second of at.
func (c *Collector) slotIndex(at clock.Millis) int {
	return int(at/clock.Second) % holdbackSlots
}

// releaseDue moves the held windows that are due by now to readyWindow.
func (c *Collector) releaseDue(now clock.Millis) {
	second := now / clock.Second
	for at := max(c.releasedUpTo+1, second-clock.Millis(holdbackSlots)+1); at <= second; at++ {
		slot := &c.heldWindows[c.slotIndex(at*clock.Second)]
		if *slot == nil {
			continue
		}
		if c.readyWindow == nil {
			c.readyWindow = Window{}
		}
		c.readyWindow.Merge(*slot)
		*slot = nil
	}
	c.releasedUpTo = max(c.releasedUpTo, second)
}
