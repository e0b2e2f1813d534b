package selector

import (
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/replayer/parser"
)

// known is what the simple policies know of the upstreams.
type known struct {
	upstreams []parser.Upstream
	down      map[string]bool
}

func newKnown(upstreams []parser.Upstream) known {
	return known{upstreams: upstreams, down: map[string]bool{}}
}

// FirstToken implements Policy.
func (k *known) FirstToken(clock.Millis, uint64, int) []Decision { return nil }

// End implements Policy.
func (k *known) End(clock.Millis, uint64, reserver.Usage) []Decision { return nil }

// Leave implements Policy.
func (k *known) Leave(clock.Millis, uint64) []Decision { return nil }

// Report implements Policy.
func (k *known) Report(clock.Millis, scheduler.Load) []Decision { return nil }

// Cache implements Policy.
func (k *known) Cache(clock.Millis, scheduler.CacheChange) []Decision { return nil }

// Tick implements Policy.
func (k *known) Tick(clock.Millis) []Decision { return nil }

// DelayMS implements Policy.
func (k *known) DelayMS() float64 { return 0 }

// Health implements Policy.
func (k *known) Health(_ clock.Millis, health scheduler.Health) []Decision {
	k.down[health.Upstream] = !health.Up
	return nil
}

func (k *known) usable(u parser.Upstream, ask Ask) bool {
	return !k.down[u.Name] && !slices.Contains(ask.Excluded, u.Name)
}

// roundRobin takes the upstreams in turn.
type roundRobin struct {
	known
	next int
}

// Arrive implements Policy.
func (p *roundRobin) Arrive(_ clock.Millis, ask Ask) []Decision {
	for range p.upstreams {
		u := p.upstreams[p.next%len(p.upstreams)]
		p.next++
		if p.usable(u, ask) {
			return []Decision{{Number: ask.ID.Number, Upstream: u.Name}}
		}
	}
	return []Decision{{Number: ask.ID.Number}}
}

// leastLoaded takes the upstream that reported the least use of its slots.
type leastLoaded struct {
	known
	reported map[string]int
	// next breaks ties in turn.
	next int
}

// Report implements Policy.
func (p *leastLoaded) Report(_ clock.Millis, load scheduler.Load) []Decision {
	if p.reported == nil {
		p.reported = map[string]int{}
	}
	p.reported[load.Upstream] = load.Running + load.Waiting
	return nil
}

// Arrive implements Policy.
func (p *leastLoaded) Arrive(_ clock.Millis, ask Ask) []Decision {
	p.next++
	var best *parser.Upstream
	for i := range p.upstreams {
		u := &p.upstreams[(p.next+i)%len(p.upstreams)]
		if !p.usable(*u, ask) {
			continue
		}
		if best == nil || p.reported[u.Name]*best.Slots < p.reported[best.Name]*u.Slots {
			best = u
		}
	}
	if best == nil {
		return []Decision{{Number: ask.ID.Number}}
	}
	return []Decision{{Number: ask.ID.Number, Upstream: best.Name}}
}

// localShare lets each daemon use its share of each upstream's slots. Work
// waits at the daemon in the order in which it came, until its deadline.
type localShare struct {
	known
	daemons []localDaemon
	// used tells where a request runs and for which daemon.
	used map[uint64]localUse
}

type localDaemon struct {
	running map[string]int
	waiting []Ask
}

type localUse struct {
	daemon   int
	upstream string
}

func newLocalShare(daemons int, upstreams []parser.Upstream) *localShare {
	p := &localShare{known: newKnown(upstreams), used: map[uint64]localUse{}}
	for range daemons {
		p.daemons = append(p.daemons, localDaemon{running: map[string]int{}})
	}
	return p
}

// Arrive implements Policy.
func (p *localShare) Arrive(now clock.Millis, ask Ask) []Decision {
	d := &p.daemons[ask.Daemon]
	d.waiting = append(d.waiting, ask)
	return p.serve(now, ask.Daemon)
}

// End implements Policy.
func (p *localShare) End(now clock.Millis, number uint64, _ reserver.Usage) []Decision {
	use, found := p.used[number]
	if !found {
		return nil
	}
	delete(p.used, number)
	p.daemons[use.daemon].running[use.upstream]--
	return p.serve(now, use.daemon)
}

// Leave implements Policy.
func (p *localShare) Leave(_ clock.Millis, number uint64) []Decision {
	for i := range p.daemons {
		d := &p.daemons[i]
		d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool { return a.ID.Number == number })
	}
	return nil
}

// serve places what waits at a daemon, in order.
func (p *localShare) serve(now clock.Millis, daemon int) (decisions []Decision) {
	d := &p.daemons[daemon]
	for len(d.waiting) > 0 {
		ask := d.waiting[0]
		if ask.Deadline <= now {
			d.waiting = d.waiting[1:]
			decisions = append(decisions, Decision{Number: ask.ID.Number})
			continue
		}
		u := p.least(d, ask)
		if u == nil {
			return decisions
		}
		d.waiting = d.waiting[1:]
		d.running[u.Name]++
		p.used[ask.ID.Number] = localUse{daemon, u.Name}
		decisions = append(decisions, Decision{Number: ask.ID.Number, Upstream: u.Name})
	}
	return decisions
}

func (p *localShare) least(d *localDaemon, ask Ask) (best *parser.Upstream) {
	for i := range p.upstreams {
		u := &p.upstreams[i]
		share := max(u.Slots/len(p.daemons), 1)
		if !p.usable(*u, ask) || d.running[u.Name] >= share {
			continue
		}
		if best == nil || d.running[u.Name]*best.Slots < d.running[best.Name]*u.Slots {
			best = u
		}
	}
	return best
}
