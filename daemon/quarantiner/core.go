// Package quarantiner finds requests that crash the upstreams that run them. A
// request is identified by its fingerprint. A request that was running on an
// upstream when the upstream died is a suspect. A suspect is retried only on an
// upstream that runs no other suspect; if a second upstream dies while running
// it, it is quarantined and refused.
package quarantiner

import "yuccaspread/common/clock"

// quarantineDeaths is the number of deaths that quarantine a fingerprint.
const quarantineDeaths = 2

// Message is one of the message types of Core.
type Message interface{ message() }

// Admit asks whether an attempt may start. The answer is Allow, Wait or Refuse.
type Admit struct {
	ID          uint64
	Fingerprint uint64
	Upstream    string
}

// Ended reports the end of an admitted attempt whose upstream is still alive.
type Ended struct {
	ID uint64
	// Completed means that the upstream gave a complete answer.
	Completed bool
}

// Died reports that the upstream of an admitted attempt died during it.
type Died struct{ ID uint64 }

// RemoteDeath reports a death that another daemon observed.
type RemoteDeath struct{ Death Death }

// Death is the death of an upstream during an attempt of a request.
type Death struct {
	Fingerprint uint64
	Upstream    string
	// Started is when the attempt began, Time when its upstream was found dead.
	Started, Time clock.Millis
}

func (Admit) message()       {}
func (Ended) message()       {}
func (Died) message()        {}
func (RemoteDeath) message() {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Allow lets the attempt of an Admit start.
type Allow struct{ ID uint64 }

// Wait answers an Admit of a suspect that must wait or go to another upstream.
type Wait struct{ ID uint64 }

// Refuse answers an Admit whose fingerprint is quarantined.
type Refuse struct{ ID uint64 }

// Broadcast asks to report a death to the other daemons of the region.
type Broadcast struct{ Death Death }

func (Allow) effect()     {}
func (Wait) effect()      {}
func (Refuse) effect()    {}
func (Broadcast) effect() {}

// Core tracks attempts and suspects. It does no I/O and is not safe for
// concurrent use.
type Core struct {
	// Retention is how long a suspect or a quarantined fingerprint is kept after the
	// last death recorded for it; above 0.
	Retention clock.Millis

	// attempts holds the admitted attempts by id, suspects the suspected and
	// quarantined requests by fingerprint.
	attempts map[uint64]attempt
	suspects map[uint64]*suspect
	// sweptAt is when expired suspects were last dropped.
	sweptAt clock.Millis
}

type attempt struct {
	fingerprint uint64
	upstream    string
	started     clock.Millis
}

type suspect struct {
	// deaths are distinct deaths, in the order in which they were recorded.
	deaths []Death
}

// Step handles one message at the time now and returns the effects.
func (c *Core) Step(now clock.Millis, message Message) (effects []Effect) {
	c.sweep(now)
	switch m := message.(type) {
	case Admit:
		return c.admit(now, m)
	case Ended:
		if a, found := c.attempts[m.ID]; found && m.Completed {
			c.clearSuspicion(a.fingerprint)
		}
		delete(c.attempts, m.ID)
	case Died:
		a, found := c.attempts[m.ID]
		delete(c.attempts, m.ID)
		death := Death{Fingerprint: a.fingerprint, Upstream: a.upstream, Started: a.started, Time: now}
		if found && c.recordDeath(death) {
			return []Effect{Broadcast{Death: death}}
		}
	case RemoteDeath:
		c.recordDeath(m.Death)
	}
	return nil
}

func (c *Core) admit(now clock.Millis, m Admit) []Effect {
	s := c.suspects[m.Fingerprint]
	switch {
	case s == nil:
	case len(s.deaths) >= quarantineDeaths:
		return []Effect{Refuse{ID: m.ID}}
	case c.conflicts(m):
		return []Effect{Wait{ID: m.ID}}
	}
	if c.attempts == nil {
		c.attempts = map[uint64]attempt{}
	}
	c.attempts[m.ID] = attempt{fingerprint: m.Fingerprint, upstream: m.Upstream, started: now}
	return []Effect{Allow{ID: m.ID}}
}

// conflicts reports whether a suspect may not run now, because another suspect
// runs on the upstream or the same request runs on any upstream.
func (c *Core) conflicts(m Admit) bool {
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

// recordDeath adds a death to its fingerprint and reports whether it is new. Two
// deaths with the same upstream are the same one if each attempt began before the
// upstream of the other was found dead.
func (c *Core) recordDeath(death Death) bool {
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

// clearSuspicion drops a suspect after a complete answer. A quarantine stays.
func (c *Core) clearSuspicion(fingerprint uint64) {
	if s := c.suspects[fingerprint]; s != nil && len(s.deaths) < quarantineDeaths {
		delete(c.suspects, fingerprint)
	}
}

// sweep drops expired suspects, at most once a second.
func (c *Core) sweep(now clock.Millis) {
	if now-c.sweptAt < clock.Second {
		return
	}
	c.sweptAt = now
	for fingerprint, s := range c.suspects {
		if now-s.deaths[len(s.deaths)-1].Time > c.Retention {
			delete(c.suspects, fingerprint)
		}
	}
}
