package limiter_test

import (
	"cmp"
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

// churningFleet is a fleet in virtual time whose daemons are killed, frozen, stopped and
// started, learn of each other late, and lose calls.
type churningFleet struct {
	t       *testing.T
	clock   clock.Manual
	random  *rand.Rand
	daemons []*churningDaemon
	byName  map[string]*churningDaemon
	config  *inventory.Config
	events  []churnEvent
	// admitted holds the tokens of each admitted request in order.
	admitted []admission
	// losesNoCall means that each call between running processes is answered.
	losesNoCall bool
}

type churnEvent struct {
	at     clock.Millis
	action func()
}

type admission struct {
	at     clock.Millis
	tokens int
}

// churningDaemon is a VM and its current process.
type churningDaemon struct {
	name string
	// index is its position among the daemons.
	index       int
	limiter     *limiter.Limiter
	incarnation int64
	startedAt   clock.Millis
	// joinsFleet is set if others were settled when it started.
	joinsFleet bool
	// state is that of the process: gossiper.Dead while there is none.
	state  gossiper.State
	diedAt clock.Millis
	frozen bool
	// goneAt is when a process that the others took for dead came back, 0 for never.
	goneAt clock.Millis
	// view is the view as computed in the interval viewedAt.
	view     []gossiper.Member
	viewedAt clock.Millis
}

// quotaSlack is the number of tokens by which the users' rules let a window exceed the
// limit beside its excess.
const quotaSlack = 190_000

// hotLoad is what a small organisation asks for at least, in tokens a second.
const hotLoad = 150_000

// Times of the membership, as measured in the tests of the gossiper.
const (
	fleetSettleTime  = 2 * clock.Second
	joinerSettleTime = 600 * clock.Millisecond
	maxNewsDelay     = 2 * clock.Second
	detectionTime    = 6 * clock.Second
	lostPercent      = 2
	// viewAge is how long a view is used before it is computed anew.
	viewAge = 250 * clock.Millisecond
)

func newChurningFleet(t *testing.T, count int, organisation inventory.Organisation) *churningFleet {
	f := &churningFleet{t: t, random: rand.New(rand.NewPCG(7, uint64(count))), byName: map[string]*churningDaemon{}}
	organisation.Name = "o"
	f.config = &inventory.Config{Organisations: []inventory.Organisation{organisation}}
	f.clock.Advance(clock.Hour)
	for i := range count {
		d := &churningDaemon{name: fmt.Sprintf("d%03d", i), index: i, state: gossiper.Dead}
		f.daemons = append(f.daemons, d)
		f.byName[d.name] = d
		f.start(d, false)
	}
	for range 20 {
		f.clock.Advance(clock.Second)
		f.tick()
	}
	return f
}

// start starts a new process.
func (f *churningFleet) start(d *churningDaemon, joinsFleet bool) {
	d.state, d.startedAt, d.joinsFleet, d.frozen, d.goneAt, d.view = gossiper.Alive, f.clock.Now(), joinsFleet, false, 0, nil
	d.incarnation = int64(d.startedAt)
	d.limiter = &limiter.Limiter{
		Next: grantAll{}, Source: source{f.config}, View: churningView{f, d}, Clock: &f.clock,
		RestartExtra: limiter.Extra{PerSecond: quotaSlack / 2 / window.Duration().Seconds(), Tokens: quotaSlack / 2}, MaxOwnPartOverdraft: quotaSlack / 4,
		Settled: func() bool { return f.clock.Now()-d.startedAt >= d.settleTime() },
		Borrow: func(ctx context.Context, home gossiper.Member, wants []limiter.Want) (loans []limiter.Loan, err error) {
			err = f.call(d, home.Name, func(to *limiter.Limiter) (err error) {
				loans, err = to.Lend(ctx, d.name, wants)
				return err
			})
			return loans, err
		},
		AskRelease: func(_ context.Context, m gossiper.Member, organisation string) (released limiter.Released, err error) {
			err = f.call(d, m.Name, func(to *limiter.Limiter) error {
				released = to.Release(d.name, organisation)
				return nil
			})
			return released, err
		},
	}
	d.limiter.Tick(context.Background())
}

func (d *churningDaemon) settleTime() clock.Millis {
	if d.joinsFleet {
		return joinerSettleTime
	}
	return fleetSettleTime
}

// call runs a call from one process to another; its request or its reply may be lost.
func (f *churningFleet) call(from *churningDaemon, to string, run func(*limiter.Limiter) error) error {
	target := f.byName[to]
	lostRequest, lostReply := f.lost(from, target)
	if from.frozen || target.frozen || target.state == gossiper.Dead || lostRequest {
		return errors.New("no answer")
	}
	err := run(target.limiter)
	if lostReply {
		return errors.New("lost answer")
	}
	return err
}

// lost draws whether a call loses its request or its reply. Calls may run in parallel;
// what is drawn depends on the daemons and the time only.
func (f *churningFleet) lost(from, to *churningDaemon) (request, reply bool) {
	if f.losesNoCall {
		return false, false
	}
	drawn := mix(from.index, to.index, int64(f.clock.Now())) % 100
	return drawn < lostPercent, drawn >= 100-lostPercent
}

// mix returns a hash of its arguments.
func mix(a, b int, seed int64) uint64 {
	const golden = 0x9E3779B97F4A7C15
	mixed := (uint64(a)<<32 | uint64(b)) ^ uint64(seed)*golden
	mixed = (mixed ^ mixed>>30) * golden
	return mixed >> 20
}

func (f *churningFleet) kill(d *churningDaemon) { d.state, d.diedAt = gossiper.Dead, f.clock.Now() }

// leave begins a planned stop of the process.
func (f *churningFleet) leave(d *churningDaemon) {
	d.state, d.diedAt = gossiper.Leaving, f.clock.Now()
	d.incarnation++
}

func (f *churningFleet) freeze(d *churningDaemon) {
	d.frozen, d.diedAt = true, f.clock.Now()
}

// wake ends a freeze; the process refutes its death with a higher incarnation.
func (f *churningFleet) wake(d *churningDaemon) {
	d.frozen = false
	d.incarnation++
	d.goneAt = f.clock.Now()
}

// newsDelay returns how long a change of one daemon takes to reach another.
func newsDelay(a, b *churningDaemon, seed int64) clock.Millis {
	return clock.Millis(mix(a.index, b.index, seed) % uint64(maxNewsDelay))
}

// churningView is the view of one process.
type churningView struct {
	fleet *churningFleet
	d     *churningDaemon
}

func (v churningView) Self() gossiper.Member { return v.member(v.d, v.d.state) }

func (v churningView) member(d *churningDaemon, state gossiper.State) gossiper.Member {
	return gossiper.Member{Name: d.name, Region: "a", State: state, Incarnation: d.incarnation}
}

func (v churningView) Members() (members []gossiper.Member) {
	now := v.fleet.clock.Now()
	if v.d.viewedAt == now/viewAge && v.d.view != nil {
		return v.d.view
	}
	defer func() { v.d.viewedAt, v.d.view = now/viewAge, members }()
	for _, m := range v.fleet.daemons {
		if m == v.d {
			members = append(members, v.Self())
			continue
		}
		if state := v.fleet.stateFor(now, v.d, m); state != gossiper.Dead {
			members = append(members, v.member(m, state))
		}
	}
	return members
}

// stateFor returns the state in which one daemon knows another.
func (f *churningFleet) stateFor(now clock.Millis, viewer, m *churningDaemon) gossiper.State {
	known := now-max(viewer.startedAt, m.startedAt) >= newsDelay(viewer, m, m.incarnation)*viewer.settleTime()/maxNewsDelay ||
		m.startedAt > viewer.startedAt && m.startedAt-m.diedAt < detectionTime
	delay := newsDelay(viewer, m, int64(m.diedAt))
	switch {
	case !known:
		return gossiper.Dead
	case m.state == gossiper.Dead && now-m.diedAt >= detectionTime+delay:
		return gossiper.Dead
	case m.state == gossiper.Leaving && now-m.diedAt >= delay:
		return gossiper.Leaving
	case m.frozen && now-m.diedAt >= detectionTime+delay:
		return gossiper.Dead
	case m.goneAt > 0 && now-m.goneAt < delay:
		return gossiper.Dead
	default:
		return gossiper.Alive
	}
}

func (f *churningFleet) tick() {
	for _, d := range f.daemons {
		if d.state != gossiper.Dead && !d.frozen {
			d.limiter.Tick(context.Background())
		}
	}
}

// home returns the home of the organisation by the true members.
func (f *churningFleet) home() *churningDaemon {
	var names []string
	for _, d := range f.daemons {
		if d.state == gossiper.Alive && !d.frozen {
			names = append(names, d.name)
		}
	}
	return f.byName[sharder.HighestRanked(names, "o")]
}

func (f *churningFleet) sortEvents() {
	slices.SortStableFunc(f.events, func(a, b churnEvent) int { return cmp.Compare(a.at, b.at) })
}

func (f *churningFleet) at(at clock.Millis, action func()) {
	f.events = append(f.events, churnEvent{at, action})
}

// offer sends requests to random daemons for a time, factor times what the limit allows.
func (f *churningFleet) offer(duration clock.Millis, factor float64) {
	rate := f.config.Organisations[0].TokensPerSecond
	start := f.clock.Now()
	sent := 0.0
	for f.clock.Now()-start < duration {
		now := f.clock.Now() - start
		for len(f.events) > 0 && f.events[0].at <= now {
			f.events[0].action()
			f.events = f.events[1:]
		}
		for sent < factor*rate*now.Duration().Seconds() {
			tokens := 500 + f.random.IntN(8000)
			sent += float64(tokens)
			d := f.daemons[f.random.IntN(len(f.daemons))]
			if d.state == gossiper.Dead || d.frozen || !d.limiter.Settled() {
				continue
			}
			if slot, err := d.limiter.Reserve(context.Background(), &classifier.Request{Organisation: "o", ChargedTokens: tokens}, nil); err == nil {
				f.admitted = append(f.admitted, admission{now, tokens})
				slot.End(reserver.Usage{})
			}
		}
		if now%clock.Second == 0 {
			f.tick()
		}
		f.clock.Advance(5)
	}
}

// check fails the test if the tokens of a window are more than the users' rules allow,
// and returns the least and the most tokens of a window.
func (f *churningFleet) check(name string, duration clock.Millis) (least, most float64) {
	f.t.Helper()
	o := f.config.Organisations[0]
	allowed := (o.TokensPerSecond*window.Duration().Seconds()+o.TokenBurst)*(1+excess) + quotaSlack
	least = allowed
	for from := clock.Millis(0); from+window <= duration; from += 50 {
		sum := 0.0
		for _, a := range f.admitted {
			if a.at >= from && a.at < from+window {
				sum += float64(a.tokens)
			}
		}
		least, most = min(least, sum), max(most, sum)
	}
	if most > allowed {
		f.t.Errorf("%s: %.0f tokens in a window, %.0f are allowed", name, most, allowed)
	}
	return least, most
}

// TestLimitHoldsWhileDaemonsComeAndGo guards against an organisation that gets its limit
// twice, because a home forgets what it lent, several daemons take themselves for the
// home, or one that was taken for gone goes on.
func TestLimitHoldsWhileDaemonsComeAndGo(t *testing.T) {
	for _, count := range []int{9, 66, 195, 350} {
		for name, prepare := range churns() {
			if count >= 195 && name != "all killed" && (count == 350 || name != "home frozen" && name != "daemons added") {
				// The others differ by what a few daemons do, and so large a fleet takes long.
				continue
			}
			for rate, burst := range map[float64]float64{20_000: 95_000, 47_000: 47_000, 445_760: 445_760} {
				t.Run(fmt.Sprintf("%s, %d daemons, %.0f tokens a second", name, count, rate), func(t *testing.T) {
					t.Parallel()
					organisation := inventory.Organisation{TokensPerSecond: rate, TokenBurst: burst, TokensInAdvance: true}
					checkChurn(t, newChurningFleet(t, count, organisation), name, prepare)
				})
			}
		}
	}
}

func checkChurn(t *testing.T, f *churningFleet, name string, prepare func(f *churningFleet)) {
	const duration = 24 * clock.Second
	rate := f.config.Organisations[0].TokensPerSecond
	prepare(f)
	f.offer(duration, max(3, hotLoad/rate))
	least, most := f.check(name, duration)
	t.Logf("%.2f to %.2f of the limit", least/(8*rate), most/(8*rate))
	if name == "calm" && least < 0.9*8*rate {
		t.Errorf("%.0f tokens in a window of a calm fleet", least)
	}
}

// churns returns what happens to a fleet, by name.
func churns() map[string]func(f *churningFleet) {
	restart := func(f *churningFleet, at, down clock.Millis, joinsFleet bool, chosen ...*churningDaemon) {
		f.at(at, func() {
			for _, d := range chosen {
				f.kill(d)
			}
		})
		f.at(at+down, func() {
			for _, d := range chosen {
				f.start(d, joinsFleet)
			}
		})
	}
	return map[string]func(f *churningFleet){
		"calm":       func(*churningFleet) {},
		"all killed": func(f *churningFleet) { restart(f, 9000, 800, false, f.daemons...) },
		"all killed twice": func(f *churningFleet) {
			restart(f, 7000, 600, false, f.daemons...)
			restart(f, 11000, 600, false, f.daemons...)
		},
		"every second one killed": func(f *churningFleet) {
			var chosen []*churningDaemon
			for i, d := range f.daemons {
				if i%2 == 0 {
					chosen = append(chosen, d)
				}
			}
			restart(f, 9000, 2000, true, chosen...)
		},
		"home killed twice": func(f *churningFleet) {
			home := f.home()
			restart(f, 8000, 900, true, home)
			restart(f, 12000, 900, true, home)
		},
		"home killed again and again": func(f *churningFleet) {
			home := f.home()
			for i := range clock.Millis(7) {
				restart(f, 6000+2000*i, 300, true, home)
			}
		},
		"all killed again and again": func(f *churningFleet) {
			for i := range clock.Millis(5) {
				restart(f, 6000+3000*i, 300, false, f.daemons...)
			}
		},
		"home lost": func(f *churningFleet) {
			f.at(8000, func() { f.kill(f.home()) })
		},
		"home frozen": func(f *churningFleet) {
			home := f.home()
			f.at(6000, func() { f.freeze(home) })
			f.at(15000, func() { f.wake(home) })
		},
		"restarted in turn": func(f *churningFleet) {
			home := f.home()
			order := append([]*churningDaemon{home}, f.daemons...)
			for i, d := range order {
				at := 4000 + clock.Millis(i)*max(16000/clock.Millis(len(order)), 25)
				if at > 20_000 {
					break
				}
				f.at(at, func() {
					if d.state == gossiper.Alive {
						f.leave(d)
					}
				})
				f.at(at+1500, func() { f.kill(d) })
				f.at(at+2000, func() {
					if d.state == gossiper.Dead {
						f.start(d, true)
					}
				})
			}
			f.sortEvents()
		},
		"daemons added": func(f *churningFleet) {
			for i := range len(f.daemons)/2 + 1 {
				f.at(6000+clock.Millis(i*20), func() {
					d := &churningDaemon{name: fmt.Sprintf("new%03d", i), index: len(f.daemons), state: gossiper.Dead}
					f.daemons = append(f.daemons, d)
					f.byName[d.name] = d
					f.start(d, true)
				})
			}
		},
	}
}
