package selector

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/parser"
)

// reservationRoundTripMS is the round trip to the scheduler of a shard.
const reservationRoundTripMS = 2

// schedulerPolicy is the policy of the daemons' scheduler. With deadlinesOnly, it
// passes neither objectives nor patience to it, and with ignoresParts no parts of prompts.
type schedulerPolicy struct {
	state         scheduler.State
	deadlinesOnly bool
	ignoresParts  bool
}

func newSchedulerPolicy(head parser.Header, upstreams []parser.Upstream) *schedulerPolicy {
	p := &schedulerPolicy{}
	var list []inventory.Upstream
	for _, u := range upstreams {
		list = append(list, inventory.Upstream{
			Name: u.Name, Pool: u.Pool, Region: u.Region, Generation: u.Generation, Slots: u.Slots,
		})
	}
	p.state.Update(0, scheduler.Rules{
		Tiers: head.Tiers, Weights: head.Weights,
		Limits: inventory.Limits{KindFloor: head.KindFloor, CheapKindShare: head.CheapKindShare}, Memory: memoryOf(upstreams),
	})
	p.state.Update(0, scheduler.Upstreams{List: list})
	return p
}

// update passes a message to the scheduler and confirms its grants at once.
func (p *schedulerPolicy) update(now clock.Millis, m scheduler.Message) (decisions []Decision) {
	for _, e := range p.state.Update(now, m) {
		switch e := e.(type) {
		case scheduler.Grant:
			decisions = append(decisions, Decision{RequestNumber: e.ID.Number, Upstream: e.Upstream})
			decisions = append(decisions, p.update(now, scheduler.Confirm{ID: e.ID})...)
		case scheduler.Refuse:
			decisions = append(decisions, Decision{RequestNumber: e.ID.Number, RetryAfter: e.RetryAfter})
		case scheduler.Withdraw:
			decisions = append(decisions, Decision{RequestNumber: e.ID.Number, Cancel: true})
		}
	}
	return decisions
}

// HandleArrival implements Policy.
func (p *schedulerPolicy) HandleArrival(now clock.Millis, ask Ask) []Decision {
	if p.deadlinesOnly {
		ask.Objective, ask.Patience = 0, 0
	}
	if p.ignoresParts {
		ask.Parts = nil
	}
	return p.update(now, ask.Ask)
}

// memoryOf returns, by pool, what the upstreams of the pool remember of prompts, in tokens.
func memoryOf(upstreams []parser.Upstream) map[string]int {
	memory := map[string]int{}
	for _, u := range upstreams {
		memory[u.Pool] = u.CacheBlocks * hasher.BlockTokens
	}
	return memory
}

// HandleFirstToken implements Policy.
func (p *schedulerPolicy) HandleFirstToken(now clock.Millis, number uint64, cached int) []Decision {
	return p.update(now, scheduler.FirstToken{ID: scheduler.AskID{Number: number}, CachedTokens: cached})
}

// HandleEnd implements Policy.
func (p *schedulerPolicy) HandleEnd(now clock.Millis, number uint64, usage reserver.Usage) []Decision {
	return p.update(now, scheduler.End{ID: scheduler.AskID{Number: number}, Usage: usage})
}

// HandleLeave implements Policy.
func (p *schedulerPolicy) HandleLeave(now clock.Millis, number uint64) []Decision {
	return p.update(now, scheduler.Cancel{ID: scheduler.AskID{Number: number}})
}

// HandleLoadReport implements Policy.
func (p *schedulerPolicy) HandleLoadReport(now clock.Millis, load scheduler.Load) []Decision {
	return p.update(now, load)
}

// HandleCacheChange implements Policy.
func (p *schedulerPolicy) HandleCacheChange(now clock.Millis, change scheduler.CacheChange) []Decision {
	return p.update(now, change)
}

// HandleHealth implements Policy.
func (p *schedulerPolicy) HandleHealth(now clock.Millis, health scheduler.Health) []Decision {
	return p.update(now, health)
}

// Tick implements Policy.
func (p *schedulerPolicy) Tick(now clock.Millis) []Decision {
	return p.update(now, scheduler.Tick{})
}

// DelayMS implements Policy.
func (p *schedulerPolicy) DelayMS() float64 { return reservationRoundTripMS }
