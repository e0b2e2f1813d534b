package scheduler

import (
	"maps"

	"yuccaspread/common/clock"
)

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller
	// may retry.
	minRetryAfter = 100 * clock.Millisecond
	maxRetryAfter = 30 * clock.Second
	// paceWeight is the weight of the newest interval between grants in the mean.
	paceWeight = 0.05
	// lanePaceWeight is the same for one lane, which gets fewer grants.
	lanePaceWeight = 0.2
)

// pace measures the interval between grants.
type pace struct {
	lastGrantAt clock.Millis
	// meanGapMS is the moving mean of the time between grants.
	meanGapMS float64
	lanes     map[int]*lanePace
}

// lanePace measures the interval between grants to one lane.
type lanePace struct {
	// intervalStart is when the current interval began: at the last grant, or when
	// an ask started to wait in the empty lane.
	intervalStart clock.Millis
	// meanGapMS is the moving mean of the time between its grants while asks wait.
	meanGapMS float64
}

// recordGrant updates the means after a grant to an ask of the lane.
func (p *pace) recordGrant(now clock.Millis, lane int) {
	if p.lastGrantAt != 0 {
		p.meanGapMS += paceWeight * (float64(now-p.lastGrantAt) - p.meanGapMS)
	}
	p.lastGrantAt = now
	l := p.lane(lane)
	l.meanGapMS += lanePaceWeight * (float64(now-l.intervalStart) - l.meanGapMS)
	l.intervalStart = now
}

// startWaiting records that an ask starts to wait in a lane that was empty.
func (p *pace) startWaiting(now clock.Millis, lane int) { p.lane(lane).intervalStart = now }

// lane returns the pace of a lane, which it adds if need be.
func (p *pace) lane(lane int) *lanePace {
	l := p.lanes[lane]
	if l == nil {
		if p.lanes == nil {
			p.lanes = map[int]*lanePace{}
		}
		l = &lanePace{}
		p.lanes[lane] = l
	}
	return l
}

// retain drops the lanes that are not needed any more.
func (p *pace) retain(isNeeded func(lane int) bool) {
	maps.DeleteFunc(p.lanes, func(lane int, _ *lanePace) bool { return !isNeeded(lane) })
}

// drainTime returns the expected time until the waiting requests are served,
// within the bounds of a retry delay.
func (p *pace) drainTime(waiting int) clock.Millis {
	return clampRetry(p.meanGapMS * float64(waiting))
}

// expectedWaitMS returns the expected wait of the last of the waiting asks of a
// lane, in milliseconds. A lane without a grant for longer than its mean interval
// has become slower, so the longer time counts.
func (p *pace) expectedWaitMS(now clock.Millis, lane, waiting int) float64 {
	l := p.lane(lane)
	return max(l.meanGapMS, float64(now-l.intervalStart)) * float64(waiting)
}

// clampRetry returns the delay within the bounds of a retry delay.
func clampRetry(delayMS float64) clock.Millis {
	return min(max(clock.Millis(delayMS), minRetryAfter), maxRetryAfter)
}
