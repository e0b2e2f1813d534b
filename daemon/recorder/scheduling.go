package recorder

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/reporter"
	"yuccaspread/daemon/scheduler"
)

// RecordedScheduler is a scheduler whose messages are recorded. Its exported fields
// are set before the first Update.
type RecordedScheduler struct {
	State    scheduler.State
	Recorder *Recorder
	// Shard distinguishes the records of this scheduler from those of others.
	Shard string
}

// Update records a message, applies it to State and returns the effects.
func (s *RecordedScheduler) Update(now clock.Millis, m scheduler.Message) []scheduler.Effect {
	kind := scheduler.Kind(m)
	s.Recorder.Add(now, scheduler.RecordedPackage, s.Shard, kind, scheduler.ReplacesEarlier(kind), m)
	return s.State.Update(now, m)
}

// Explain implements granter.Explainer. It is not recorded, as it changes nothing.
func (s *RecordedScheduler) Explain(now clock.Millis, m scheduler.Ask) reporter.Explanation {
	return s.State.Explain(now, m)
}
