package gossiper_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// fleet runs a cluster in steps of 10 ms in which each core ticks when it is due.
type fleet struct {
	*cluster
	random  *rand.Rand
	tickAt  map[string]clock.Millis
	startAt []delayedStart
}

type delayedStart struct {
	at           clock.Millis
	name, region string
}

const (
	fleetStep = 10 * clock.Millisecond
	// startSpread is the time within which the VMs of a fleet start.
	startSpread = 300 * clock.Millisecond
)

func newFleet(t *testing.T) *fleet {
	c := &cluster{t: t, now: clock.Hour, cores: map[string]*gossiper.Core{}, partitioned: func(string, string) bool { return false }}
	return &fleet{cluster: c, random: rand.New(rand.NewPCG(1, 2)), tickAt: map[string]clock.Millis{}}
}

func fleetName(i int) (name, region string) {
	return fmt.Sprintf("r%d-%d", i%3, i), fmt.Sprintf("r%d", i%3)
}

// startWithin starts the daemons at random times within startSpread. Daemons that
// run are killed first.
func (f *fleet) startWithin(numbers ...int) {
	for _, i := range numbers {
		name, region := fleetName(i)
		f.cores[name] = nil
		f.startAt = append(f.startAt, delayedStart{f.now + clock.Millis(f.random.IntN(int(startSpread))), name, region})
	}
	slices.SortFunc(f.startAt, func(a, b delayedStart) int { return cmp.Compare(a.at, b.at) })
}

func (f *fleet) run(duration clock.Millis) {
	for end := f.now + duration; f.now < end; f.now += fleetStep {
		for len(f.startAt) > 0 && f.startAt[0].at <= f.now {
			s := f.startAt[0]
			f.startAt = f.startAt[1:]
			if _, found := f.cores[s.name]; found {
				f.names = slices.DeleteFunc(f.names, func(n string) bool { return n == s.name })
				delete(f.cores, s.name)
			}
			f.start(s.name, s.region)
			f.cores[s.name].Handle(f.now, gossiper.Seeds{Addresses: []string{"r0-0", "r1-1", "r2-2"}})
			f.tickAt[s.name] = f.now
		}
		for _, name := range f.names {
			if f.cores[name] != nil && f.now >= f.tickAt[name] {
				f.handle(name, gossiper.Tick{})
				f.tickAt[name] = f.now + f.cores[name].TickAfter(f.now)
			}
		}
	}
}

// requireAgreement fails the test unless each daemon knows exactly the others as alive.
func (f *fleet) requireAgreement(count int) {
	f.t.Helper()
	f.requireMembers(count, gossiper.Alive)
	for _, name := range f.names {
		if got := len(f.cores[name].Members()); got != count {
			f.t.Fatalf("%s knows %d members of %d", name, got, count)
		}
	}
}

// TestFleetThatStartsAtOnceAgreesSoon guards against a fleet whose daemons know a part
// of each other only, and so choose different schedulers and homes: after 14 s half of
// 195 daemons knew less than 163.
func TestFleetThatStartsAtOnceAgreesSoon(t *testing.T) {
	for _, count := range []int{9, 66, 195} {
		f := newFleet(t)
		numbers := make([]int, count)
		for i := range numbers {
			numbers[i] = i
		}
		f.startWithin(numbers...)
		for range 2 {
			f.runUntilSettled(count)
			f.run(clock.Second)
			// All are killed and start again.
			f.startWithin(numbers...)
		}
	}
}

// runUntilSettled runs the fleet until all daemons are settled, which has to happen
// within 2.5 s, and requires of each that it knew all others when it became settled.
func (f *fleet) runUntilSettled(count int) {
	f.t.Helper()
	settled := map[string]bool{}
	for end := f.now + 2500; len(settled) < count; f.run(fleetStep) {
		if f.now > end {
			f.t.Fatalf("%d daemons are settled of %d", len(settled), count)
		}
		for _, name := range f.names {
			if core := f.cores[name]; core != nil && !settled[name] && core.Settled(f.now) {
				settled[name] = true
				if got := len(core.Members()); got != count {
					f.t.Fatalf("%s is settled and knows %d members of %d", name, got, count)
				}
			}
		}
	}
}

// TestRestartedDaemonsAreKnownSoon guards against a fleet that takes long to know the
// new processes of daemons that were killed, and against one of them in a settled fleet
// that waits as long as if all had started.
func TestRestartedDaemonsAreKnownSoon(t *testing.T) {
	const count = 195
	f := newFleet(t)
	var all, half []int
	for i := range count {
		all = append(all, i)
		if i%2 == 1 {
			half = append(half, i)
		}
	}
	f.startWithin(all...)
	f.run(10 * clock.Second)
	f.startWithin(100)
	f.run(startSpread + clock.Second)
	name, _ := fleetName(100)
	if core := f.cores[name]; !core.Settled(f.now) || len(core.Members()) != count {
		t.Errorf("the restarted daemon knows %d members, settled %v", len(core.Members()), core.Settled(f.now))
	}
	// Some were suspected while they were down; the news of their new process follows
	// the suspicion.
	f.run(4 * clock.Second)
	f.requireAgreement(count)
	f.startWithin(half...)
	f.run(startSpread + 5*clock.Second)
	f.requireAgreement(count)
}

// TestLargestFleetAgreesSoon guards against a start that takes longer than settleAge at
// the size that this is designed for.
func TestLargestFleetAgreesSoon(t *testing.T) {
	const count = 350
	f := newFleet(t)
	for i := range count {
		f.startWithin(i)
	}
	f.run(2 * clock.Second)
	f.requireAgreement(count)
}

// TestComparisonCostsLittle guards against a steady fleet that compares tables all the
// time, and against updates that are sent on and on after a start.
func TestComparisonCostsLittle(t *testing.T) {
	const count = 195
	f := newFleet(t)
	for i := range count {
		f.startWithin(i)
	}
	f.run(10 * clock.Second)
	f.t = nil
	f.run(10 * clock.Second)
	if perDaemon := f.wireBytes / 10 / count; perDaemon > 600 {
		t.Errorf("%d bytes a second and daemon in a steady fleet", perDaemon)
	}
}
