package recorder

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
)

// Scheduling is a scheduler whose messages are recorded. Its exported fields
// are set before the first Update.
type Scheduling struct {
	State    scheduler.State
	Recorder *Recorder
	// Shard distinguishes the records of this scheduler from those of others.
	Shard string
}

// Update records a message, applies it to State and returns the effects.
func (s *Scheduling) Update(now clock.Millis, m scheduler.Message) []scheduler.Effect {
	kind := scheduler.Kind(m)
	s.Recorder.Add(now, scheduler.Package, s.Shard, kind, scheduler.Replaces(kind), m)
	return s.State.Update(now, m)
}
