package selector

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/parser"
)

// baseline holds the upstreams of a baseline policy and which of them are down. Its
// methods ignore all other messages.
type baseline struct {
	upstreams []parser.Upstream
	down      map[string]bool
}

func newBaseline(upstreams []parser.Upstream) baseline {
	return baseline{upstreams: upstreams, down: map[string]bool{}}
}

// HandleFirstToken implements Policy.
func (k *baseline) HandleFirstToken(clock.Millis, uint64, int) []Decision { return nil }

// HandleEnd implements Policy.
func (k *baseline) HandleEnd(clock.Millis, uint64, reserver.Usage) []Decision { return nil }

// HandleLeave implements Policy.
func (k *baseline) HandleLeave(clock.Millis, uint64) []Decision { return nil }

// HandleLoadReport implements Policy.
func (k *baseline) HandleLoadReport(clock.Millis, scheduler.Load) []Decision { return nil }

// HandleCacheChange implements Policy.
func (k *baseline) HandleCacheChange(clock.Millis, scheduler.CacheChange) []Decision { return nil }

// Tick implements Policy.
func (k *baseline) Tick(clock.Millis) []Decision { return nil }

// DelayMS implements Policy.
func (k *baseline) DelayMS() float64 { return 0 }

// HandleHealth implements Policy.
func (k *baseline) HandleHealth(_ clock.Millis, health scheduler.Health) []Decision {
	k.down[health.Upstream] = !health.Up
	return nil
}

func (k *baseline) isUsable(u parser.Upstream, ask Ask) bool {
	return !k.down[u.Name] && !slices.Contains(ask.Excluded, u.Name)
}

// roundRobin uses the upstreams in turn.
type roundRobin struct {
	baseline
	next int
}

// HandleArrival implements Policy.
func (p *roundRobin) HandleArrival(_ clock.Millis, ask Ask) []Decision {
	for range p.upstreams {
		u := p.upstreams[p.next%len(p.upstreams)]
		p.next++
		if p.isUsable(u, ask) {
			return []Decision{{RequestNumber: ask.ID.Number, Upstream: u.Name}}
		}
	}
	return []Decision{{RequestNumber: ask.ID.Number}}
}

// leastLoaded uses the upstream with the lowest reported share of busy slots.
type leastLoaded struct {
	baseline
	// reported is the number of running and waiting requests by upstream.
	reported map[string]int
	// next rotates the upstream that wins a tie.
	next int
}

// HandleLoadReport implements Policy.
func (p *leastLoaded) HandleLoadReport(_ clock.Millis, load scheduler.Load) []Decision {
	if p.reported == nil {
		p.reported = map[string]int{}
	}
	p.reported[load.Upstream] = load.Running + load.Waiting
	return nil
}

// HandleArrival implements Policy.
func (p *leastLoaded) HandleArrival(_ clock.Millis, ask Ask) []Decision {
	p.next++
	var best *parser.Upstream
	for i := range p.upstreams {
		u := &p.upstreams[(p.next+i)%len(p.upstreams)]
		if !p.isUsable(*u, ask) {
			continue
		}
		if best == nil || p.reported[u.Name]*best.Slots < p.reported[best.Name]*u.Slots {
			best = u
		}
	}
	if best == nil {
		return []Decision{{RequestNumber: ask.ID.Number}}
	}
	return []Decision{{RequestNumber: ask.ID.Number, Upstream: best.Name}}
}

// localShare lets each daemon use an equal share of each upstream's slots. Requests
// wait at their daemon in order of arrival, until their deadline.
type localShare struct {
	baseline
	daemons []localDaemon
	// placements holds the daemon and the upstream of each running request.
	placements map[uint64]placement
}

type localDaemon struct {
	running map[string]int
	waiting []Ask
}

type placement struct {
	daemon   int
	upstream string
}

func newLocalShare(daemons int, upstreams []parser.Upstream) *localShare {
	p := &localShare{baseline: newBaseline(upstreams), placements: map[uint64]placement{}}
	for range daemons {
		p.daemons = append(p.daemons, localDaemon{running: map[string]int{}})
	}
	return p
}

// HandleArrival implements Policy.
func (p *localShare) HandleArrival(now clock.Millis, ask Ask) []Decision {
	d := &p.daemons[ask.Daemon]
	d.waiting = append(d.waiting, ask)
	return p.placeWaiting(now, ask.Daemon)
}

// HandleEnd implements Policy.
func (p *localShare) HandleEnd(now clock.Millis, number uint64, _ reserver.Usage) []Decision {
	use, found := p.placements[number]
	if !found {
		return nil
	}
	delete(p.placements, number)
	p.daemons[use.daemon].running[use.upstream]--
	return p.placeWaiting(now, use.daemon)
}

// HandleLeave implements Policy.
func (p *localShare) HandleLeave(_ clock.Millis, number uint64) []Decision {
	for i := range p.daemons {
		d := &p.daemons[i]
		d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool { return a.ID.Number == number })
	}
	return nil
}

// placeWaiting places the requests that wait at a daemon, in order of arrival, until
// no upstream is free.
func (p *localShare) placeWaiting(now clock.Millis, daemon int) (decisions []Decision) {
	d := &p.daemons[daemon]
	for len(d.waiting) > 0 {
		ask := d.waiting[0]
		if ask.Deadline <= now {
			d.waiting = d.waiting[1:]
			decisions = append(decisions, Decision{RequestNumber: ask.ID.Number})
			continue
		}
		u := p.leastUsedUpstream(d, ask)
		if u == nil {
			return decisions
		}
		d.waiting = d.waiting[1:]
		d.running[u.Name]++
		p.placements[ask.ID.Number] = placement{daemon, u.Name}
		decisions = append(decisions, Decision{RequestNumber: ask.ID.Number, Upstream: u.Name})
	}
	return decisions
}

func (p *localShare) leastUsedUpstream(d *localDaemon, ask Ask) (best *parser.Upstream) {
	for i := range p.upstreams {
		u := &p.upstreams[i]
		share := max(u.Slots/len(p.daemons), 1)
		if !p.isUsable(*u, ask) || d.running[u.Name] >= share {
			continue
		}
		if best == nil || d.running[u.Name]*best.Slots < d.running[best.Name]*u.Slots {
			best = u
		}
	}
	return best
}
