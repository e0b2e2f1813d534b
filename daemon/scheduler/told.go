package scheduler

import "yuccaspread/common/clock"

// toldLifetime is how long the foreign requests count that an upstream's own word has shown. While
// requests go there, the next word comes sooner.
const toldLifetime = 1 * clock.Second

// hearTold takes what an upstream told of its load with an answer: what others run there takes
// room, as with load reports.
func (s *State) hearTold(u *upstream, m Told) {
	if m.Slots <= 0 {
		return
	}
	u.brittle.slots = m.Slots
	u.integrateRunning(s.now)
	u.foreign.handleReport(Load{Time: s.now - m.Age, Running: m.Running, Waiting: m.Waiting})
	u.foreign.expiresAt = s.now + toldLifetime
}

// expireTold ends the estimate of an upstream that has told nothing for toldLifetime.
func (s *State) expireTold(u *upstream) {
	if u.foreign.expiresAt > 0 && s.now >= u.foreign.expiresAt {
		u.integrateRunning(s.now)
		u.foreign.count, u.foreign.lastSeen, u.foreign.expiresAt = 0, 0, 0
	}
}
