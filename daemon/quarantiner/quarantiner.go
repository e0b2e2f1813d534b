package quarantiner

import (
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Verdict tells whether an attempt may start.
type Verdict int

// The verdicts.
const (
	// Allowed means that the attempt may start; its end must be reported by AttemptEnded
	// or UpstreamDied.
	Allowed Verdict = iota
	// MustWait means that the attempt may be tried later or on another upstream.
	MustWait
	// MustRefuse means that the request has to be refused.
	MustRefuse
)

// Quarantiner runs a Core for all requests of this daemon. It is safe for
// concurrent use. Its exported fields are set before use.
type Quarantiner struct {
	Clock  clock.Clock
	Source inventory.Source
	// BroadcastDeath reports a death to the other daemons of the region and returns when
	// they know it or can't be reached; nil if there are none.
	BroadcastDeath func(Death)

	mu     sync.Mutex
	core   Core
	lastID uint64
}

// Admit decides whether an attempt may start on an upstream. The id identifies
// the attempt in AttemptEnded and UpstreamDied.
func (c *Quarantiner) Admit(fingerprint uint64, upstream string) (id uint64, verdict Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	for _, effect := range c.step(Admit{ID: c.lastID, Fingerprint: fingerprint, Upstream: upstream}) {
		switch effect.(type) {
		case Wait:
			verdict = MustWait
		case Refuse:
			verdict = MustRefuse
		}
	}
	return c.lastID, verdict
}

// step passes a message to the core. It is called with mu held.
func (c *Quarantiner) step(message Message) []Effect {
	c.core.Retention = c.Source.Current().Limits.WithDefaults().ConvictionMS
	return c.core.Step(c.Clock.Now(), message)
}

// AttemptEnded reports the end of an attempt whose upstream is still alive. whole means
// that the upstream gave a complete answer.
func (c *Quarantiner) AttemptEnded(id uint64, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(Ended{ID: id, Whole: whole})
}

// UpstreamDied reports that the upstream of an attempt died during it. It returns when
// BroadcastDeath has reported the death to the region.
func (c *Quarantiner) UpstreamDied(id uint64) {
	c.mu.Lock()
	effects := c.step(Died{ID: id})
	c.mu.Unlock()
	for _, effect := range effects {
		if broadcast, is := effect.(Broadcast); is && c.BroadcastDeath != nil {
			c.BroadcastDeath(broadcast.Death)
		}
	}
}

// HandleRemoteDeath records a death that another daemon observed.
func (c *Quarantiner) HandleRemoteDeath(death Death) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.step(RemoteDeath{Death: death})
}
