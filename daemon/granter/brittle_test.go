package granter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/reserver"
)

const (
	// brittleSlots is the number of requests that a brittle upstream runs at once.
	brittleSlots = 5
	// brittleWork is the mean time that a request takes there.
	brittleWork = 200 * time.Millisecond
	// brittleGrace is how long a brittle upstream still has a queue, of queueBefore requests.
	brittleGrace = 3 * time.Second
	queueBefore  = 8
	// brittleDowntime is how long a brittle upstream is down after it crashed.
	brittleDowntime = 4 * time.Second
	// brittleAttempts bounds the attempts of a request.
	brittleAttempts = 3
	// leftShare is the share of the requests whose callers leave after leftAfter. Their upstreams go on
	// for leftWork.
	leftShare = 0.03
	leftAfter = 100 * time.Millisecond
	leftWork  = 1200 * time.Millisecond
)

// brittleUpstreams simulates upstreams that crash when they have to refuse more than maxRefusals
// requests in a second.
type brittleUpstreams struct {
	maxRefusals int
	// queue is the number of requests that may wait at an upstream after brittleGrace.
	queue     int
	tellsLoad bool
	begunAt   time.Time

	mu      sync.Mutex
	random  *rand.Rand
	byName  map[string]*brittleUpstream
	crashes int
}

type brittleUpstream struct {
	running, waiting int
	refusedAt        []time.Time
	downUntil        time.Time
	// crashed is closed when the upstream crashes, and replaced, and slotFreed when a request ends.
	crashed, slotFreed chan struct{}
	refusals, served   int
}

// makeBrittle lets all upstreams be brittle from now on.
func (f *limitedFleet) makeBrittle(seed uint64, maxRefusals, queue int, tellsLoad bool) *brittleUpstreams {
	b := &brittleUpstreams{
		maxRefusals: maxRefusals, queue: queue, tellsLoad: tellsLoad, begunAt: time.Now(),
		random: rand.New(rand.NewPCG(seed, 3)), byName: map[string]*brittleUpstream{},
	}
	for _, u := range f.source.Current().Upstreams {
		b.byName[u.Name] = &brittleUpstream{crashed: make(chan struct{}), slotFreed: make(chan struct{})}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle = b
	return b
}

// serve makes attempts for a request until one succeeds, as a daemon does.
func (b *brittleUpstreams) serve(ctx context.Context, n *limitedNode, req *classifier.Request) {
	var excluded []string
	for range brittleAttempts {
		slot, err := n.remote.Reserve(ctx, req, excluded)
		if err != nil {
			return
		}
		if n.ctx.Err() != nil || !slot.Confirm() {
			slot.End(reserver.Usage{Outcome: reserver.NotSent, NotRun: true})
			return
		}
		time.Sleep(upstreamLatency)
		usage := b.run(n, slot)
		time.Sleep(upstreamLatency)
		if n.ctx.Err() != nil {
			return
		}
		slot.End(usage)
		if usage.Outcome == reserver.Completed || usage.Outcome == reserver.Cancelled {
			return
		}
		excluded = append(excluded, slot.Upstream().Name)
		time.Sleep(5 * time.Millisecond)
	}
}

// run runs a request on its upstream and returns how that ended.
func (b *brittleUpstreams) run(n *limitedNode, slot reserver.Slot) reserver.Usage {
	b.mu.Lock()
	u := b.byName[slot.Upstream().Name]
	work, leaves := brittleWork/2+time.Duration(b.random.Int64N(int64(brittleWork))), b.random.Float64() < leftShare
	if time.Now().Before(u.downUntil) {
		b.mu.Unlock()
		return reserver.Usage{Outcome: reserver.UpstreamDied}
	}
	if u.running >= brittleSlots && u.waiting >= b.queueNow() {
		notice := b.refuse(u)
		b.mu.Unlock()
		slot.Hear(notice)
		return reserver.Usage{Outcome: reserver.Failed, NotRun: true}
	}
	crashed := u.crashed
	u.waiting++
	for u.running >= brittleSlots {
		freed := u.slotFreed
		b.mu.Unlock()
		select {
		case <-crashed:
			return reserver.Usage{Outcome: reserver.ConnectionBroken}
		case <-freed:
		}
		b.mu.Lock()
	}
	if crashed != u.crashed {
		b.mu.Unlock()
		return reserver.Usage{Outcome: reserver.ConnectionBroken}
	}
	u.waiting--
	u.running++
	b.mu.Unlock()
	if leaves {
		go b.finish(u, crashed, leftWork)
		time.Sleep(leftAfter)
		return reserver.Usage{Outcome: reserver.Cancelled}
	}
	notice, completed := b.finish(u, crashed, work)
	if !completed {
		return reserver.Usage{Outcome: reserver.ConnectionBroken}
	}
	if n.ctx.Err() == nil {
		slot.Hear(notice)
		slot.FirstToken(0)
	}
	return reserver.Usage{Outcome: reserver.Completed, OutputTokens: 10}
}

// finish runs a request to its end, unless its upstream crashes before.
func (b *brittleUpstreams) finish(u *brittleUpstream, crashed chan struct{}, work time.Duration) (notice noticer.Notice, completed bool) {
	select {
	case <-crashed:
		return notice, false
	case <-time.After(work):
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if crashed != u.crashed {
		return notice, false
	}
	notice = b.notice(u)
	u.running--
	u.served++
	close(u.slotFreed)
	u.slotFreed = make(chan struct{})
	return notice, true
}

func (b *brittleUpstreams) queueNow() int {
	if time.Since(b.begunAt) < brittleGrace {
		return queueBefore
	}
	return b.queue
}

func (b *brittleUpstreams) notice(u *brittleUpstream) (notice noticer.Notice) {
	notice.Brittle, notice.MaxRefusals = true, b.maxRefusals
	if b.tellsLoad {
		notice.Load = noticer.Load{Running: u.running, Waiting: u.waiting, Slots: brittleSlots}
	}
	return notice
}

// refuse counts a refusal, and crashes the upstream if that is one too many. It is called with mu held.
func (b *brittleUpstreams) refuse(u *brittleUpstream) noticer.Notice {
	now := time.Now()
	u.refusals++
	u.refusedAt = slices.DeleteFunc(append(u.refusedAt, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	notice := b.notice(u)
	if len(u.refusedAt) > b.maxRefusals && time.Since(b.begunAt) >= brittleGrace {
		b.crashes++
		u.running, u.waiting, u.refusedAt, u.downUntil = 0, 0, nil, now.Add(brittleDowntime)
		close(u.crashed)
		u.crashed = make(chan struct{})
	}
	return notice
}

// occupiedShare returns the mean share of the slots that are in use over a time.
func (b *brittleUpstreams) occupiedShare(span time.Duration) float64 {
	const step = 10 * time.Millisecond
	occupied, samples := 0, 0
	for range span / step {
		time.Sleep(step)
		b.mu.Lock()
		for _, u := range b.byName {
			occupied += u.running
			samples += brittleSlots
		}
		b.mu.Unlock()
	}
	return float64(occupied) / float64(samples)
}

// check fails the test if the upstreams crashed more often than the users allow, or if a share of the slots in
// use is below the least one.
func (b *brittleUpstreams) check(t *testing.T, share, leastShare float64) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	served, refusals := 0, 0
	for _, u := range b.byName {
		served += u.served
		refusals += u.refusals
	}
	t.Logf("%d upstreams crashed %d times; %d served, %d refusals, %.2f of the slots in use", len(b.byName), b.crashes, served, refusals, share)
	if most := 2 + len(b.byName)/10; b.crashes > most {
		t.Errorf("%d upstreams crashed %d times, allowed are %d", len(b.byName), b.crashes, most)
	}
	if share < leastShare {
		t.Errorf("%.2f of the slots in use, want %v", share, leastShare)
	}
}

// brittleCase is a fleet before brittle upstreams, with twice the load that these can take.
type brittleCase struct {
	daemons, upstreams, maxRefusals, queue int
	tellsLoad                              bool
	seed                                   uint64
}

func (c brittleCase) String() string {
	return fmt.Sprintf("%d daemons, %d upstreams, %d refusals, queue %d, tells load %t, seed %d", c.daemons, c.upstreams, c.maxRefusals, c.queue, c.tellsLoad, c.seed)
}

// runBrittle runs a scenario in virtual time from some seconds after the upstreams became brittle.
func runBrittle(t *testing.T, c brittleCase, scenario func(f *limitedFleet, b *brittleUpstreams)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newLimitedFleet(ctx, c.daemons, c.upstreams, 2*float64(c.upstreams)*brittleSlots/brittleWork.Seconds(), region)
		time.Sleep(8 * time.Second)
		b := f.makeBrittle(c.seed, c.maxRefusals, c.queue, c.tellsLoad)
		time.Sleep(brittleGrace + 2*time.Second)
		scenario(f, b)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// usedShare is the least share of the slots that is in use: an upstream has nothing to do from the end
// of an answer until the next request comes, which takes the way to the daemon, to the scheduler
// and back.
const usedShare = 0.9 * float64(brittleWork) / float64(brittleWork+2*upstreamLatency+2*daemonLatency)

// TestBrittleUpstreamsAreNotCrashed guards against upstreams that have to refuse more than they can
// bear, in fleets of some sizes, and against slots that are left idle for that.
func TestBrittleUpstreamsAreNotCrashed(t *testing.T) {
	for _, size := range [][2]int{{9, 9}, {100, 16}} {
		for _, maxRefusals := range []int{0, 1, 3} {
			for seed := range uint64(3) {
				if size[0] > 9 && (seed > 0 || maxRefusals != 1) && !soaks() {
					continue
				}
				c := brittleCase{size[0], size[1], maxRefusals, int(seed % 2), seed != 1, seed}
				t.Run(c.String(), func(t *testing.T) {
					runBrittle(t, c, func(_ *limitedFleet, b *brittleUpstreams) { b.check(t, b.occupiedShare(15*time.Second), usedShare) })
				})
			}
		}
	}
}

// TestBrittleUpstreamsOutliveSchedulers guards against upstreams that crash while the daemon that
// schedules them dies, is cut off, or the fleet is divided.
func TestBrittleUpstreamsOutliveSchedulers(t *testing.T) {
	for name, scenario := range map[string]struct {
		change func(f *limitedFleet)
		// leastShare is the least share of the slots in use from settleTime after the change. Parts of a fleet
		// use whole slots only.
		leastShare float64
	}{
		"scheduler dies":                                {func(f *limitedFleet) { f.kill(f.scheduler()) }, usedShare - 0.05},
		"scheduler is cut off":                          {func(f *limitedFleet) { f.cutOffScheduler() }, 0.6},
		"the fleet is cut in two":                       {func(f *limitedFleet) { f.split(2) }, 0.6},
		"the fleet is cut in three":                     {func(f *limitedFleet) { f.split(3) }, 0.4},
		"half of the daemons can't reach the scheduler": {func(f *limitedFleet) { f.cutHalfFromScheduler() }, 0.6},
	} {
		const settleTime = 12 * time.Second
		for _, size := range [][2]int{{9, 9}, {100, 16}} {
			for seed, maxRefusals := range []int{1, 3, 1, 2, 5} {
				if (seed > 1 || size[0] > 9 && (seed > 0 || name != "scheduler dies")) && !soaks() {
					continue
				}
				c := brittleCase{size[0], size[1], maxRefusals, 0, seed%2 == 0, uint64(seed)}
				t.Run(fmt.Sprint(name, ", ", c), func(t *testing.T) {
					runBrittle(t, c, func(f *limitedFleet, b *brittleUpstreams) {
						scenario.change(f)
						time.Sleep(settleTime)
						b.check(t, b.occupiedShare(12*time.Second), scenario.leastShare)
					})
				})
			}
		}
	}
}

// cutOffScheduler cuts the scheduler off from all other daemons, and lets it take these for alive.
func (f *limitedFleet) cutOffScheduler() {
	scheduler := f.scheduler()
	f.setView([]string{scheduler.name}, func(string) bool { return true })
	f.isolate(scheduler)
	time.AfterFunc(deathNotice, func() { f.removeMember(scheduler.name) })
}

// cutHalfFromScheduler cuts every other daemon off from the scheduler.
func (f *limitedFleet) cutHalfFromScheduler() {
	scheduler := f.scheduler()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		f.cut[[2]string{m.Name, scheduler.name}] = i%2 == 0 && m.Name != scheduler.name
	}
}

// TestRestartedSchedulerDoesNotCrashBrittleUpstreams guards against a daemon that has just started, is the
// scheduler at once, and does not know that upstreams are brittle, nor what runs on them.
func TestRestartedSchedulerDoesNotCrashBrittleUpstreams(t *testing.T) {
	const (
		restarts = 3
		downtime = 500 * time.Millisecond
		interval = 5 * time.Second
	)
	for _, size := range [][2]int{{4, 3}, {9, 9}, {100, 16}} {
		for seed, maxRefusals := range []int{0, 1, 3} {
			if size[0] > 9 && seed > 0 && !soaks() {
				continue
			}
			c := brittleCase{size[0], size[1], maxRefusals, 0, seed == 0, uint64(seed)}
			t.Run(c.String(), func(t *testing.T) {
				runBrittle(t, c, func(f *limitedFleet, b *brittleUpstreams) {
					for range restarts {
						f.restartScheduler(downtime, 0, nobody)
						time.Sleep(interval)
					}
					b.check(t, b.occupiedShare(12*time.Second), usedShare-0.05)
				})
			})
		}
	}
}

// waitingCallers is the number of requests that wait at a daemon as it starts.
const waitingCallers = 8

// restartScheduler stops the daemon that schedules the only shard, as planned, and starts it again after
// downtime, with requests that wait there. The others for which isLate returns true learn of the start some
// time later.
func (f *limitedFleet) restartScheduler(downtime, learnedAfter time.Duration, isLate func(n *limitedNode) bool) {
	old := f.scheduler()
	f.removeMember(old.name)
	old.stop()
	time.Sleep(downtime)
	var late []string
	for name, n := range f.nodes {
		if name != old.name && isLate(n) {
			late = append(late, name)
		}
	}
	f.setView(late, func(name string) bool { return name != old.name })
	time.AfterFunc(learnedAfter, f.endViews)
	f.startDaemon(old.parent, old.name, old.region)
	n := f.nodes[old.name]
	for number := range waitingCallers {
		go f.sendRequest(n, -1-number)
	}
	go f.sendRequests(n, old.perSecond, rand.New(rand.NewPCG(uint64(f.Now()), 7)))
}

// endViews lets all daemons see all members again.
func (f *limitedFleet) endViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.views)
}

// TestRestartedSchedulerKnowsTheWordsOfUpstreams guards against a daemon that has just started and sends its
// own callers' requests to upstreams whose words the other daemons know and it does not.
func TestRestartedSchedulerKnowsTheWordsOfUpstreams(t *testing.T) {
	for seed, maxRefusals := range []int{0, 1} {
		c := brittleCase{4, 3, maxRefusals, 0, true, uint64(seed)}
		t.Run(c.String(), func(t *testing.T) {
			runBrittle(t, c, func(f *limitedFleet, b *brittleUpstreams) {
				for range 3 {
					f.restartScheduler(500*time.Millisecond, 150*time.Millisecond, everybody)
					time.Sleep(5 * time.Second)
				}
				b.check(t, b.occupiedShare(12*time.Second), usedShare-0.05)
			})
		})
	}
}

func nobody(*limitedNode) bool    { return false }
func everybody(*limitedNode) bool { return true }

// TestSlotsThatMoveToAnotherSchedulerAreNotGrantedAgain guards against a scheduler that still serves some daemons
// and grants the slots anew that others have announced to the next scheduler, while the requests run.
func TestSlotsThatMoveToAnotherSchedulerAreNotGrantedAgain(t *testing.T) {
	for seed, maxRefusals := range []int{0, 1} {
		c := brittleCase{4, 3, maxRefusals, 0, false, uint64(seed)}
		t.Run(c.String(), func(t *testing.T) {
			runBrittle(t, c, func(f *limitedFleet, b *brittleUpstreams) {
				for range 3 {
					standIn := ""
					f.restartScheduler(4*time.Second, 250*time.Millisecond, func(n *limitedNode) bool {
						if standIn == "" {
							standIn = f.scheduler().name
						}
						return n.name == standIn
					})
					time.Sleep(5 * time.Second)
				}
				b.check(t, b.occupiedShare(12*time.Second), usedShare-0.05)
			})
		})
	}
}

// TestRunsOfAKilledDaemonKeepTheirSlots guards against slots that are granted again when a daemon that was killed
// is back, while the requests of its last process still run.
func TestRunsOfAKilledDaemonKeepTheirSlots(t *testing.T) {
	for seed, maxRefusals := range []int{0, 1} {
		c := brittleCase{4, 3, maxRefusals, 0, false, uint64(seed)}
		t.Run(c.String(), func(t *testing.T) {
			runBrittle(t, c, func(f *limitedFleet, b *brittleUpstreams) {
				for i := range 6 {
					f.restartFollower(i)
					time.Sleep(2 * time.Second)
				}
				b.check(t, b.occupiedShare(12*time.Second), usedShare-0.05)
			})
		})
	}
}

// restartFollower kills a daemon that schedules nothing and starts it again at once.
func (f *limitedFleet) restartFollower(index int) {
	var followers []string
	for name := range f.nodes {
		if name != f.scheduler().name {
			followers = append(followers, name)
		}
	}
	slices.Sort(followers)
	old := f.nodes[followers[index%len(followers)]]
	old.stop()
	f.removeMember(old.name)
	f.startDaemon(old.parent, old.name, old.region)
	go f.sendRequests(f.nodes[old.name], old.perSecond, rand.New(rand.NewPCG(uint64(f.Now()), 7)))
}
