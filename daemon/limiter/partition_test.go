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

// parted is a fleet in which some daemons reach only their own group. A daemon
// that is not reached goes from the view of the others after a while.
type parted struct {
	clock    clock.Manual
	names    []string
	limiters map[string]*limiter.Limiter
	// group names the side of a daemon; equal sides reach each other.
	group map[string]int
	// noticed tells that the views show the groups.
	noticed bool
	dead    map[string]bool
}

type partedView struct {
	fleet *parted
	self  string
}

func (v partedView) member(name string) gossiper.Member {
	return gossiper.Member{Name: name, Region: "a", State: gossiper.Alive, Incarnation: int64(clock.Hour)}
}

func (v partedView) Self() gossiper.Member { return v.member(v.self) }

func (v partedView) Members() (members []gossiper.Member) {
	for _, name := range v.fleet.names {
		if !v.fleet.noticed || v.fleet.reaches(v.self, name) {
			members = append(members, v.member(name))
		}
	}
	return members
}

func (p *parted) reaches(from, to string) bool {
	return p.group[from] == p.group[to] && !p.dead[to]
}

func newParted(count int, organisation inventory.Organisation) *parted {
	p := &parted{limiters: map[string]*limiter.Limiter{}, group: map[string]int{}, dead: map[string]bool{}}
	p.clock.Advance(clock.Hour)
	organisation.Name = "o"
	config := &inventory.Config{Organisations: []inventory.Organisation{organisation}}
	for i := range count {
		name := fmt.Sprintf("d%02d", i)
		p.names = append(p.names, name)
		p.limiters[name] = &limiter.Limiter{
			Next: always{}, Source: source{config}, View: partedView{p, name}, Clock: &p.clock,
			Borrow: func(_ context.Context, home gossiper.Member, wants []limiter.Want) ([]limiter.Loan, error) {
				if !p.reaches(name, home.Name) {
					return nil, errors.New("cut off")
				}
				return p.limiters[home.Name].Lend(name, wants), nil
			},
		}
	}
	return p
}

// Spans of the partitions, and the factor by which more is asked than allowed.
const (
	cutAt     = 10 * clock.Second
	noticedAt = cutAt + 6*clock.Second
	healedAt  = 28 * clock.Second
	playedFor = 40 * clock.Second
	pressure  = 3
	// window is the span over which the sum has to hold, and excess the part by
	// which it may be over: what the users' rules allow.
	window = 8 * clock.Second
	excess = 0.1
)

// play offers requests at random daemons while change brings a partition, and
// returns when each of them was admitted.
func (p *parted) play(rate int, change func()) (admitted []clock.Millis) {
	r := rand.New(rand.NewPCG(5, 6))
	begin := p.clock.Now()
	step := clock.Second / clock.Millis(pressure*rate)
	for at := clock.Millis(0); at < playedFor; at += step {
		switch {
		case at >= healedAt:
			p.group, p.noticed = map[string]int{}, false
		case at >= noticedAt:
			p.noticed = true
		case at >= cutAt:
			change()
		}
		if name := p.names[r.IntN(len(p.names))]; !p.dead[name] {
			req := &classifier.Request{Organisation: "o"}
			if slot, err := p.limiters[name].Reserve(context.Background(), req, nil); err == nil {
				admitted = append(admitted, p.clock.Now()-begin)
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

// extremes returns the highest and the lowest number of admissions within a
// window, after the first seconds.
func extremes(admitted []clock.Millis) (most, least int) {
	least = len(admitted)
	for from := 4 * clock.Second; from+window <= playedFor; from += 100 {
		low, _ := slices.BinarySearch(admitted, from)
		high, _ := slices.BinarySearch(admitted, from+window)
		most, least = max(most, high-low), min(least, high-low)
	}
	return most, least
}

func TestTheSumHoldsUnderPartitions(t *testing.T) {
	const rate, burst = 50, 50
	allowed := float64(rate)*float64(window/clock.Second) + burst
	for _, count := range []int{7, 20, 80} {
		for name, change := range map[string]func(p *parted){
			"a third alone each": func(p *parted) {
				for i, name := range p.names {
					if i%3 == 1 {
						p.group[name] = i + 1
					}
				}
			},
			"half from half": func(p *parted) {
				for i, name := range p.names {
					p.group[name] = i % 2
				}
			},
			"the home alone": func(p *parted) { p.group[p.home()] = 1 },
			"all alone": func(p *parted) {
				for i, name := range p.names {
					p.group[name] = i
				}
			},
		} {
			t.Run(fmt.Sprintf("%d daemons, %s", count, name), func(t *testing.T) {
				p := newParted(count, inventory.Organisation{RatePerSecond: rate, Burst: burst})
				admitted := p.play(rate, func() { change(p) })
				if most, _ := extremes(admitted); float64(most) > allowed*(1+excess) {
					t.Errorf("%d admitted in a window, %.0f are allowed", most, allowed)
				}
			})
		}
	}
}

// home returns the daemon that lends the organisation's limits.
func (p *parted) home() string { return sharder.Highest(p.names, "o") }

func TestAnOrganisationKeepsItsLimitWhenDaemonsDie(t *testing.T) {
	const rate, burst = 50, 50
	for _, count := range []int{7, 20, 80} {
		p := newParted(count, inventory.Organisation{RatePerSecond: rate, Burst: burst})
		home := p.home()
		admitted := p.play(rate, func() {
			for i, name := range p.names {
				if i%3 == 1 && name != home {
					p.dead[name] = true
				}
			}
		})
		if _, least := extremes(admitted); least < rate*int(window/clock.Second)*9/10 {
			t.Errorf("%d daemons: %d admitted in a window of %d", count, least, rate*int(window/clock.Second))
		}
	}
}
