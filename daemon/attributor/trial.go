package attributor

import (
	"maps"
	"slices"

	"yuccaspread/common/clock"
)

// A provisional block lets single requests pass as trials: one that is completed ends the block,
// one that crashes another upstream confirms it. Trials come in turns, each of one daemon, so that
// the fleet makes one at a time.
const (
	// trialDelay is the time from the crashes to the first turn. Requests that run elsewhere may
	// clear the keys meanwhile. Crashes that are so far apart are no single event.
	trialDelay = 1 * clock.Second
	// trialInterval is the length of a turn. A trial begins in the first half of it: its crash
	// is known everywhere before the next turn.
	trialInterval = 2 * clock.Second
)

// trial is a request that was let through a provisional block.
type trial struct {
	turn    int64
	request string
}

// Verdict tells what becomes of a request.
type Verdict struct {
	// Until is when the request may be accepted again, 0 if it is not refused.
	Until clock.Millis
	// IsTrial is set if the request passes as the trial of a block, and for the first time.
	IsTrial bool
}

// HasTurn reports whether a turn of the block with an id is this daemon's.
type HasTurn func(block uint64, turn int64) bool

// Admit decides on a request with the keys. The same request may be asked for again: a trial
// keeps passing during its turn.
func (c *Core) Admit(now clock.Millis, request string, keys []uint64, hasTurn HasTurn) (verdict Verdict) {
	started := map[uint64]trial{}
	for _, b := range c.blocks {
		if b.Until <= now || !b.matches(keys) {
			continue
		}
		if !b.Provisional {
			verdict.Until = max(verdict.Until, b.Until)
			continue
		}
		id, wanted := b.id(), trial{turnAt(now, b), request}
		known, found := c.trials[id]
		switch {
		case found && known == wanted:
		case found && known.turn == wanted.turn, !mayStart(now, b), !hasTurn(id, wanted.turn):
			verdict.Until = max(verdict.Until, min(b.Until, now+trialInterval))
		default:
			started[id] = wanted
		}
	}
	if verdict.Until > 0 || len(started) == 0 {
		return verdict
	}
	if c.trials == nil {
		c.trials = map[uint64]trial{}
	}
	maps.Copy(c.trials, started)
	verdict.IsTrial = true
	return verdict
}

// turnAt returns the number of the turn of a provisional block.
func turnAt(now clock.Millis, b Block) int64 {
	return int64((now - b.LastCrash - trialDelay) / trialInterval)
}

// mayStart reports whether a trial of a provisional block may begin.
func mayStart(now clock.Millis, b Block) bool {
	elapsed := now - b.LastCrash - trialDelay
	return elapsed >= 0 && elapsed%trialInterval < trialInterval/2
}

// sweepTrials drops the trials of blocks that are gone.
func (c *Core) sweepTrials() {
	for id := range c.trials {
		if !slices.ContainsFunc(c.blocks, func(b Block) bool { return b.id() == id }) {
			delete(c.trials, id)
		}
	}
}
