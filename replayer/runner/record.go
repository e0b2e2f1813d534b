package runner

import (
	"fmt"

	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/scheduler"
)

// RecordResult summarises what the scheduler of a shard decides on the messages of
// a flight record.
type RecordResult struct {
	Shard    string `json:"shard"`
	Messages int    `json:"messages"`
	// Granted counts grants by upstream.
	Granted map[string]int `json:"granted"`
	// Refused counts refusals by reason.
	Refused struct {
		Deadline   int `json:"deadline"`
		Full       int `json:"full"`
		NoUpstream int `json:"no_upstream"`
		Objective  int `json:"objective"`
	} `json:"refused"`
	Withdrawn int `json:"withdrawn"`
	// LowestTier is the lowest admitted tier as last reported.
	LowestTier int              `json:"lowest_tier"`
	Status     scheduler.Status `json:"status"`
}

// RunRecord replays the scheduler messages of a flight record, with one scheduler
// per shard.
func RunRecord(records []recorder.Record) (results []RecordResult, err error) {
	states := map[string]*scheduler.State{}
	results = []RecordResult{}
	var shards []string
	resultByShard := map[string]*RecordResult{}
	for _, r := range records {
		if r.Package != scheduler.RecordedPackage {
			continue
		}
		if states[r.Shard] == nil {
			states[r.Shard] = &scheduler.State{}
			resultByShard[r.Shard] = &RecordResult{Shard: r.Shard, Granted: map[string]int{}}
			shards = append(shards, r.Shard)
		}
		m, err := scheduler.Parse(r.Kind, r.Message)
		if err != nil {
			return nil, fmt.Errorf("replay record %d: %w", r.Number, err)
		}
		resultByShard[r.Shard].addEffects(states[r.Shard].Update(r.AtMS, m))
	}
	for _, shard := range shards {
		resultByShard[shard].Status = states[shard].Status()
		results = append(results, *resultByShard[shard])
	}
	return results, nil
}

func (s *RecordResult) addEffects(effects []scheduler.Effect) {
	s.Messages++
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Grant:
			s.Granted[e.Upstream]++
		case scheduler.Refuse:
			s.countRefusal(e.Reason)
		case scheduler.Withdraw:
			s.Withdrawn++
		case scheduler.LowestTier:
			s.LowestTier = e.Lowest
		}
	}
}

func (s *RecordResult) countRefusal(reason scheduler.Reason) {
	switch reason {
	case scheduler.ReasonDeadline:
		s.Refused.Deadline++
	case scheduler.ReasonQueueFull:
		s.Refused.Full++
	case scheduler.ReasonNoUpstream, scheduler.ReasonNoPath:
		s.Refused.NoUpstream++
	case scheduler.ReasonObjective:
		s.Refused.Objective++
	}
}
