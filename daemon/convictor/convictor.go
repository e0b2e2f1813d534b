package convictor

import (
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Verdict answers whether an attempt may start.
type Verdict int

// The verdicts.
const (
	// Allowed attempts start, and must end by Ended or Died.
	Allowed Verdict = iota
	// Waits means to try again later or on another upstream.
	Waits
	// Convicted means to refuse the request.
	Convicted
)

// Convictor runs a Core for all requests of this daemon. Its exported fields
// are set before use.
type Convictor struct {
	Clock  clock.Clock
	Source inventory.Source
	// Tell passes a death on to the other daemons of the region and returns
	// when they know or can't be reached; nil for none.
	Tell func(Death)

	mu     sync.Mutex
	core   Core
	number uint64
}

// Admit asks whether an attempt may start on an upstream; id names it later.
func (c *Convictor) Admit(fingerprint uint64, upstream string) (id uint64, verdict Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	for _, effect := range c.step(Admit{ID: c.number, Fingerprint: fingerprint, Upstream: upstream}) {
		switch effect.(type) {
		case Wait:
			verdict = Waits
		case Refuse:
			verdict = Convicted
		}
	}
	return c.number, verdict
}

// step runs the core; c.mu is held.
func (c *Convictor) step(message Message) []Effect {
	c.core.Memory = c.Source.Current().Limits.WithDefaults().ConvictionMS
	return c.core.Step(c.Clock.Now(), message)
}

// Ended reports the end of an attempt whose upstream lives on.
func (c *Convictor) Ended(id uint64, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(Ended{ID: id, Whole: whole})
}

// Died reports that the upstream of an attempt died under it. It returns when
// the region knows.
func (c *Convictor) Died(id uint64) {
	c.mu.Lock()
	effects := c.step(Died{ID: id})
	c.mu.Unlock()
	for _, effect := range effects {
		if tell, is := effect.(Tell); is && c.Tell != nil {
			c.Tell(tell.Death)
		}
	}
}

// Hear takes the news of another daemon.
func (c *Convictor) Hear(death Death) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(News{Death: death})
}
