package limiter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/limiter"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sharder"
)

// partitionedFleet is a fleet in which daemons reach only their own group.
// Unreachable daemons leave the views of the others once viewsUpdated is set.
type partitionedFleet struct {
	clock    clock.Manual
	names    []string
	limiters map[string]*limiter.Limiter
	// groupOf is the side of the partition by daemon; daemons on the same side
	// reach each other.
	groupOf map[string]int
	// viewsUpdated means that the views hold reachable daemons only.
	viewsUpdated bool
	dead         map[string]bool
}

type partitionedView struct {
	fleet *partitionedFleet
	self  string
}

func (v partitionedView) member(name string) gossiper.Member {
	return gossiper.Member{Name: name, Region: "a", State: gossiper.Alive, Incarnation: int64(clock.Hour)}
}

func (v partitionedView) Self() gossiper.Member { return v.member(v.self) }

func (v partitionedView) Members() (members []gossiper.Member) {
	for _, name := range v.fleet.names {
		if !v.fleet.viewsUpdated || v.fleet.reaches(v.self, name) {
			members = append(members, v.member(name))
		}
	}
	return members
}

func (p *partitionedFleet) reaches(from, to string) bool {
	return p.groupOf[from] == p.groupOf[to] && !p.dead[to]
}

func newPartitionedFleet(count int, organisation inventory.Organisation) *partitionedFleet {
	p := &partitionedFleet{limiters: map[string]*limiter.Limiter{}, groupOf: map[string]int{}, dead: map[string]bool{}}
	p.clock.Advance(clock.Hour)
	organisation.Name = "o"
	config := &inventory.Config{Organisations: []inventory.Organisation{organisation}}
	for i := range count {
		name := fmt.Sprintf("d%02d", i)
		p.names = append(p.names, name)
		p.limiters[name] = &limiter.Limiter{
			Next: grantAll{}, Source: source{config}, View: partitionedView{p, name}, Clock: &p.clock,
			Borrow: func(ctx context.Context, home gossiper.Member, wants []limiter.Want) ([]limiter.Loan, error) {
				if !p.reaches(name, home.Name) {
					return nil, errors.New("cut off")
				}
				return p.limiters[home.Name].Lend(ctx, name, wants)
			},
			AskRelease: func(_ context.Context, member gossiper.Member, organisation string) (limiter.Released, error) {
				if !p.reaches(name, member.Name) {
					return limiter.Released{}, errors.New("cut off")
				}
				return p.limiters[member.Name].Release(name, organisation), nil
			},
		}
	}
	p.age()
	return p
}

// age lets all daemons run for some time, so that their homes are not new.
func (p *partitionedFleet) age() {
	for _, name := range p.names {
		p.limiters[name].Tick(context.Background())
	}
	p.clock.Advance(clock.Minute)
	for _, name := range p.names {
		p.limiters[name].Tick(context.Background())
	}
}

// Timeline of a run, and how many times the allowed rate is offered.
const (
	cutAt          = 10 * clock.Second
	viewsUpdatedAt = cutAt + 6*clock.Second
	healedAt       = 28 * clock.Second
	runTime        = 40 * clock.Second
	overloadFactor = 3
	// window is the span over which the limit has to hold across the daemons, and
	// excess the share by which it may be exceeded, both set by the users' rules.
	window = 8 * clock.Second
	excess = 0.1
)

// offerLoad sends requests to random daemons, calls partition from cutAt to
// viewsUpdatedAt, and returns the times of admission since the start.
func (p *partitionedFleet) offerLoad(rate int, partition func()) (admitted []clock.Millis) {
	r := rand.New(rand.NewPCG(5, 6))
	startedAt := p.clock.Now()
	step := clock.Second / clock.Millis(overloadFactor*rate)
	for at := clock.Millis(0); at < runTime; at += step {
		switch {
		case at >= healedAt:
			p.groupOf, p.viewsUpdated = map[string]int{}, false
		case at >= viewsUpdatedAt:
			p.viewsUpdated = true
		case at >= cutAt:
			partition()
		}
		if name := p.names[r.IntN(len(p.names))]; !p.dead[name] {
			req := &classifier.Request{Organisation: "o"}
			if slot, err := p.limiters[name].Reserve(context.Background(), req, nil); err == nil {
				admitted = append(admitted, p.clock.Now()-startedAt)
				slot.End(reserver.Usage{})
			}
		}
		p.clock.Advance(step)
		if at/clock.Second != (at+step)/clock.Second {
			for _, name := range p.names {
				if !p.dead[name] {
					p.limiters[name].Tick(context.Background())
				}
			}
		}
	}
	return admitted
}

// extremesPerWindow returns the highest and the lowest number of admissions
// within a window, leaving out the first 4 seconds.
func extremesPerWindow(admitted []clock.Millis) (most, least int) {
	least = len(admitted)
	for from := 4 * clock.Second; from+window <= runTime; from += 100 {
		low, _ := slices.BinarySearch(admitted, from)
		high, _ := slices.BinarySearch(admitted, from+window)
		most, least = max(most, high-low), min(least, high-low)
	}
	return most, least
}

// TestRateLimitHoldsUnderPartitions guards against an organisation exceeding its
// rate when several sides of a partition lend the same limit.
func TestRateLimitHoldsUnderPartitions(t *testing.T) {
	const rate, burst = 50, 50
	allowed := float64(rate)*float64(window/clock.Second) + burst
	for _, count := range []int{7, 20, 80} {
		for name, partition := range map[string]func(p *partitionedFleet){
			"a third alone each": func(p *partitionedFleet) {
				for i, name := range p.names {
					if i%3 == 1 {
						p.groupOf[name] = i + 1
					}
				}
			},
			"half from half": func(p *partitionedFleet) {
				for i, name := range p.names {
					p.groupOf[name] = i % 2
				}
			},
			"the home alone": func(p *partitionedFleet) { p.groupOf[p.home()] = 1 },
			"all alone": func(p *partitionedFleet) {
				for i, name := range p.names {
					p.groupOf[name] = i
				}
			},
		} {
			t.Run(fmt.Sprintf("%d daemons, %s", count, name), func(t *testing.T) {
				p := newPartitionedFleet(count, inventory.Organisation{RatePerSecond: rate, Burst: burst})
				admitted := p.offerLoad(rate, func() { partition(p) })
				if most, _ := extremesPerWindow(admitted); float64(most) > allowed*(1+excess) {
					t.Errorf("%d admitted in a window, %.0f are allowed", most, allowed)
				}
			})
		}
	}
}

// home returns the daemon that lends the organisation's limits.
func (p *partitionedFleet) home() string { return sharder.HighestRanked(p.names, "o") }

// TestOrganisationKeepsItsRateWhenDaemonsDie guards against taking dead daemons
// for the other side of a partition, and lending too little without them.
func TestOrganisationKeepsItsRateWhenDaemonsDie(t *testing.T) {
	const rate, burst = 50, 50
	for _, count := range []int{7, 20, 80} {
		p := newPartitionedFleet(count, inventory.Organisation{RatePerSecond: rate, Burst: burst})
		home := p.home()
		admitted := p.offerLoad(rate, func() {
			for i, name := range p.names {
				if i%3 == 1 && name != home {
					p.dead[name] = true
				}
			}
		})
		if _, least := extremesPerWindow(admitted); least < rate*int(window/clock.Second)*9/10 {
			t.Errorf("%d daemons: %d admitted in a window of %d", count, least, rate*int(window/clock.Second))
		}
	}
}
