// Package convictor finds requests that crash the upstreams which run them.
// A request is known by its fingerprint. One that was running on an upstream
// when it died is a suspect; a suspect runs again only alone among suspects
// on an upstream; one that loses a second upstream is convicted and refused.
package convictor

import "yuccaspread/common/clock"

// Deaths that convict a fingerprint.
const convictingDeaths = 2

// Message is one of the message types of Core.
type Message interface{ message() }

// Admit asks whether an attempt may start.
type Admit struct {
	ID          uint64
	Fingerprint uint64
	Upstream    string
}

// Ended reports the end of an admitted attempt whose upstream lives on.
type Ended struct {
	ID uint64
	// Whole tells that the upstream gave a whole answer.
	Whole bool
}

// Died reports that the upstream of an admitted attempt died under it.
type Died struct{ ID uint64 }

// News is a death that another daemon saw.
type News struct{ Death Death }

// Death is the loss of an upstream to a request that it ran.
type Death struct {
	Fingerprint uint64
	Upstream    string
	// Started and Time are when the attempt began and when its upstream was
	// found dead.
	Started, Time clock.Millis
}

func (Admit) message() {}
func (Ended) message() {}
func (Died) message()  {}
func (News) message()  {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Allow answers Admit.
type Allow struct{ ID uint64 }

// Wait answers Admit where a suspect must wait or go to another upstream.
type Wait struct{ ID uint64 }

// Refuse answers Admit where the fingerprint is convicted.
type Refuse struct{ ID uint64 }

// Tell asks to tell a death to the other daemons of the region.
type Tell struct{ Death Death }

func (Allow) effect()  {}
func (Wait) effect()   {}
func (Refuse) effect() {}
func (Tell) effect()   {}

// Core knows the suspects. It is pure and not safe for concurrent use.
type Core struct {
	// Memory is how long a suspect or a convicted fingerprint is known, above 0.
	Memory clock.Millis

	attempts map[uint64]attempt
	suspects map[uint64]*suspect
	// swept is when old suspects were last dropped.
	swept clock.Millis
}

type attempt struct {
	fingerprint uint64
	upstream    string
	started     clock.Millis
}

type suspect struct {
	// deaths are the different losses, the oldest first.
	deaths []Death
}

// Step takes one message at a clock reading and returns the effects.
func (c *Core) Step(now clock.Millis, message Message) (effects []Effect) {
	c.sweep(now)
	switch m := message.(type) {
	case Admit:
		return c.admit(now, m)
	case Ended:
		if a, found := c.attempts[m.ID]; found && m.Whole {
			c.clear(a.fingerprint)
		}
		delete(c.attempts, m.ID)
	case Died:
		a, found := c.attempts[m.ID]
		delete(c.attempts, m.ID)
		death := Death{Fingerprint: a.fingerprint, Upstream: a.upstream, Started: a.started, Time: now}
		if found && c.blame(death) {
			return []Effect{Tell{Death: death}}
		}
	case News:
		c.blame(m.Death)
	}
	return nil
}

func (c *Core) admit(now clock.Millis, m Admit) []Effect {
	s := c.suspects[m.Fingerprint]
	switch {
	case s == nil:
	case len(s.deaths) >= convictingDeaths:
		return []Effect{Refuse{ID: m.ID}}
	case c.crowded(m):
		return []Effect{Wait{ID: m.ID}}
	}
	if c.attempts == nil {
		c.attempts = map[uint64]attempt{}
	}
	c.attempts[m.ID] = attempt{fingerprint: m.Fingerprint, upstream: m.Upstream, started: now}
	return []Effect{Allow{ID: m.ID}}
}

// crowded tells whether a suspect would not be alone: another suspect runs on
// the upstream, or the same request runs anywhere.
func (c *Core) crowded(m Admit) bool {
	for _, a := range c.attempts {
		if a.fingerprint == m.Fingerprint {
			return true
		}
		if a.upstream == m.Upstream && c.suspects[a.fingerprint] != nil {
			return true
		}
	}
	return false
}

// blame notes a death and reports false where it is known: attempts that began
// before an upstream died were lost to the same death.
func (c *Core) blame(death Death) bool {
	s := c.suspects[death.Fingerprint]
	if s == nil {
		if c.suspects == nil {
			c.suspects = map[uint64]*suspect{}
		}
		s = &suspect{}
		c.suspects[death.Fingerprint] = s
	}
	for _, d := range s.deaths {
		if d.Upstream == death.Upstream && death.Started <= d.Time && d.Started <= death.Time {
			return false
		}
	}
	s.deaths = append(s.deaths, death)
	return true
}

// clear lifts a suspicion that a whole answer disproved. A conviction stays.
func (c *Core) clear(fingerprint uint64) {
	if s := c.suspects[fingerprint]; s != nil && len(s.deaths) < convictingDeaths {
		delete(c.suspects, fingerprint)
	}
}

// sweep drops what is too old, now and then.
func (c *Core) sweep(now clock.Millis) {
	if now-c.swept < clock.Second {
		return
	}
	c.swept = now
	for fingerprint, s := range c.suspects {
		if now-s.deaths[len(s.deaths)-1].Time > c.Memory {
			delete(c.suspects, fingerprint)
		}
	}
}
