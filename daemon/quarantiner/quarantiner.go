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
	// Allowed means that the attempt may start; its end must be reported by
	// AttemptEnded or UpstreamDied.
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
	// BroadcastDeath reports a death to the other daemons of the region and returns
	// when they know it or can't be reached; nil if there are none.
	BroadcastDeath func(Death)

	mu     sync.Mutex
	core   Core
	lastID uint64
}

// Admit decides whether an attempt may start on an upstream. The id identifies
// the attempt in AttemptEnded and UpstreamDied.
func (q *Quarantiner) Admit(fingerprint uint64, upstream string) (id uint64, verdict Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	for _, effect := range q.step(Admit{ID: q.lastID, Fingerprint: fingerprint, Upstream: upstream}) {
		switch effect.(type) {
		case Wait:
			verdict = MustWait
		case Refuse:
			verdict = MustRefuse
		}
	}
	return q.lastID, verdict
}

// step passes a message to the core. It is called with mu held.
func (q *Quarantiner) step(message Message) []Effect {
	q.core.Retention = q.Source.Current().Limits.WithDefaults().QuarantineMS
	return q.core.Step(q.Clock.Now(), message)
}

// AttemptEnded reports the end of an attempt whose upstream is still alive.
// completed means that the upstream gave a complete answer.
func (q *Quarantiner) AttemptEnded(id uint64, completed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(Ended{ID: id, Completed: completed})
}

// UpstreamDied reports that the upstream of an attempt died during it. It returns
// when BroadcastDeath has reported the death to the region.
func (q *Quarantiner) UpstreamDied(id uint64) {
	q.mu.Lock()
	effects := q.step(Died{ID: id})
	q.mu.Unlock()
	for _, effect := range effects {
		if broadcast, is := effect.(Broadcast); is && q.BroadcastDeath != nil {
			q.BroadcastDeath(broadcast.Death)
		}
	}
}

// HandleRemoteDeath records a death that another daemon observed.
func (q *Quarantiner) HandleRemoteDeath(death Death) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.step(RemoteDeath{Death: death})
}
