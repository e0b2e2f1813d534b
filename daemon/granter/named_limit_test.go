package granter_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/sharder"
)

// The users' bound on a limit that an upstream names: from limitGrace after it was first
// named, any limitWindow has at most limitFactor times what the limit allows, and limitSlack
// requests more.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// Times of the simulated fleet.
const (
	daemonLatency   = 4 * time.Millisecond
	upstreamLatency = 2 * time.Millisecond
	workTime        = 50 * time.Millisecond
	// deathNotice is how long a fleet takes to agree that a daemon is gone.
	deathNotice = 6 * time.Second
)

// limitedFleet is a fleet of real granters and reservers in virtual time, and upstreams that
// name limits.
type limitedFleet struct {
	start  time.Time
	source *source
	// regions are those of the daemons and upstreams, in turn.
	regions []string

	mu      sync.Mutex
	members []gossiper.Member
	// views holds the members that a daemon sees, where these are not all.
	views map[string][]gossiper.Member
	nodes map[string]*limitedNode
	// limit is what upstreams name in their answers while named is set.
	limit float64
	named bool
	// namedAt is when named was set.
	namedAt  time.Duration
	arrivals map[string][]time.Duration
	// running counts the requests on each upstream. Upstreams tell it with their answers while
	// tellsLoad is set.
	running   map[string]int
	tellsLoad bool
	// limitedRegion restricts the limit to the upstreams of a region; empty means all.
	limitedRegion string
	// prompt counts the requests of that region that were answered within their objective
	// since the limit was named, and sent all of them.
	prompt, sent int
	// cut holds the pairs of daemons that can't reach each other.
	cut map[[2]string]bool
	// brittle holds the upstreams by name if they are brittle, nil if they are not.
	brittle *brittleUpstreams
}

type limitedNode struct {
	fleet  *limitedFleet
	name   string
	region string
	// isolatedAt is when the daemon was cut off from all others, 0 for never.
	isolatedAt clock.Millis
	granter    *granter.Granter
	remote     *reserver.Remote
	ctx        context.Context
	stop       context.CancelFunc
	// parent is the context of the fleet, and perSecond the rate of the requests at this daemon.
	parent    context.Context
	perSecond float64
}

// Now implements clock.Clock.
func (f *limitedFleet) Now() clock.Millis { return clock.Hour + clock.FromDuration(f.since()) }

func (f *limitedFleet) since() time.Duration { return time.Since(f.start) }

type limitedView struct {
	fleet  *limitedFleet
	self   string
	region string
}

func (v limitedView) Self() gossiper.Member {
	return gossiper.Member{Name: v.self, Region: v.region, PeerListen: v.self}
}

func (v limitedView) Members() []gossiper.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	if members, found := v.fleet.views[v.self]; found {
		return members
	}
	return v.fleet.members
}

// newLimitedFleet starts daemons whose callers send the given number of requests a second, all
// together, until the test ends. Daemons and upstreams are in the regions in turn.
func newLimitedFleet(ctx context.Context, daemons, upstreams int, requestsPerSecond float64, regions ...string) *limitedFleet {
	f := &limitedFleet{
		start: time.Now(), source: &source{}, regions: regions, views: map[string][]gossiper.Member{}, nodes: map[string]*limitedNode{},
		arrivals: map[string][]time.Duration{}, cut: map[[2]string]bool{}, running: map[string]int{},
	}
	config := inventory.Config{Revision: 1, Pools: []inventory.Pool{{Name: pool}}, Tiers: []inventory.Tier{{Name: "t0", CrossRegionBytesPerHour: 1 << 40}}}
	for _, name := range regions {
		config.Regions = append(config.Regions, inventory.Region{Name: name})
	}
	for i := range upstreams {
		config.Upstreams = append(config.Upstreams, inventory.Upstream{
			Name: fmt.Sprintf("u%02d", i), Address: "127.0.0.1:1", Pool: pool, Region: regions[i%len(regions)], Slots: 5,
		})
	}
	f.source.config.Store(&config)
	for i := range daemons {
		f.startDaemon(ctx, fmt.Sprintf("d%03d", i), regions[i%len(regions)])
	}
	for i := range daemons {
		name := fmt.Sprintf("d%03d", i)
		random := rand.New(rand.NewPCG(uint64(i), 7))
		go f.sendRequests(f.nodes[name], requestsPerSecond/float64(daemons), random)
	}
	return f
}

func (f *limitedFleet) startDaemon(ctx context.Context, name, home string) {
	n := &limitedNode{fleet: f, name: name, region: home, parent: ctx}
	n.ctx, n.stop = context.WithCancel(ctx)
	v := limitedView{fleet: f, self: name, region: home}
	words := &noticer.Noticer{}
	assigner := &sharder.Assigner{Source: f.source, View: v, Clock: f}
	n.granter = &granter.Granter{
		Source: f.source, View: v, Assigner: assigner, Clock: f, NewDecider: func() granter.Decider { return &scheduler.State{} },
		LastContact: n.lastContact, Noticer: words,
	}
	n.remote = &reserver.Remote{
		Source: f.source, View: v, Assigner: assigner, Clock: f, Dial: n.dial, Noticer: words,
		Local: &reserver.Local{Source: f.source, Clock: f, Daemons: func() int { return assigner.Current().Daemons(home) }},
	}
	f.mu.Lock()
	f.nodes[name] = n
	f.members = append(slices.Clone(f.members), v.Self())
	slices.SortFunc(f.members, func(a, b gossiper.Member) int { return compareNames(a.Name, b.Name) })
	f.mu.Unlock()
	go n.granter.Run(n.ctx)
	go n.remote.Run(n.ctx)
}

func compareNames(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

var (
	errRefused     = errors.New("connection refused")
	errUnreachable = errors.New("no answer")
)

// limitedConn is a connection with a latency, which falls silent while its ends are cut off.
type limitedConn struct {
	*granter.Session
	from, to *limitedNode
}

func (n *limitedNode) dial(_ context.Context, to gossiper.Member) (reserver.Conn, error) {
	n.fleet.mu.Lock()
	target := n.fleet.nodes[to.Name]
	n.fleet.mu.Unlock()
	if target.ctx.Err() != nil {
		return nil, errRefused
	}
	if n.fleet.isCut(n.name, to.Name) {
		return nil, errUnreachable
	}
	session := target.granter.Attach(n.name)
	context.AfterFunc(target.ctx, session.Close)
	return &limitedConn{Session: session, from: n, to: target}, nil
}

func (f *limitedFleet) isCut(a, b string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[[2]string{a, b}] || f.cut[[2]string{b, a}]
}

func (c *limitedConn) Send(ctx context.Context, up *wire.ReserveUp) error {
	if c.from != c.to {
		time.Sleep(daemonLatency)
	}
	if c.from.fleet.isCut(c.from.name, c.to.name) {
		return nil
	}
	return c.Session.Send(ctx, up)
}

func (c *limitedConn) Recv(ctx context.Context) (*wire.ReserveDown, error) {
	for {
		down, err := c.Session.Recv(ctx)
		if err != nil {
			return nil, err
		}
		if c.from != c.to {
			time.Sleep(daemonLatency)
		}
		if !c.from.fleet.isCut(c.from.name, c.to.name) {
			return down, nil
		}
	}
}

// sendRequests sends requests at random times until the daemon stops.
func (f *limitedFleet) sendRequests(n *limitedNode, perSecond float64, random *rand.Rand) {
	n.perSecond = perSecond
	for number := 0; clock.Sleep(n.ctx, clock.Millis(1000*random.ExpFloat64()/perSecond)); number++ {
		go f.sendRequest(n, number)
	}
}

func (n *limitedNode) lastContact() (at clock.Millis, found bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.isolatedAt > 0 {
		return n.isolatedAt, true
	}
	return n.fleet.Now(), true
}

// objective is the latency objective of the requests, patience the time after which callers leave.
const (
	objective = 600 * clock.Millisecond
	patience  = 2 * clock.Second
)

func (f *limitedFleet) sendRequest(n *limitedNode, number int) {
	ctx, cancel := context.WithTimeout(n.ctx, patience.Duration())
	defer cancel()
	now := f.Now()
	req := &classifier.Request{
		ID: fmt.Sprint(n.name, "-", number), Organisation: "o", Route: "question", Pool: pool, Arrived: now,
		Deadline: now + 10*clock.Second, LatencyObjective: objective, Patience: patience, Idempotent: true,
	}
	f.mu.Lock()
	brittle := f.brittle
	f.mu.Unlock()
	if brittle != nil {
		brittle.serve(ctx, n, req)
		return
	}
	counts := f.countSent(n)
	slot, err := n.remote.Reserve(ctx, req, nil)
	if err != nil {
		return
	}
	// A daemon that was killed meanwhile sends nothing, whatever its goroutines still get.
	if n.ctx.Err() != nil || !slot.Confirm() {
		slot.End(reserver.Usage{Outcome: reserver.NotSent, NotRun: true})
		return
	}
	time.Sleep(upstreamLatency)
	f.mu.Lock()
	name := slot.Upstream().Name
	f.arrivals[name] = append(f.arrivals[name], f.since())
	f.running[name]++
	f.mu.Unlock()
	time.Sleep(workTime)
	f.mu.Lock()
	var notice noticer.Notice
	if f.tellsLoad {
		notice.Load = noticer.Load{Running: f.running[name], Slots: slot.Upstream().Slots}
	}
	f.running[name]--
	if f.named && (f.limitedRegion == "" || f.limitedRegion == slot.Upstream().Region) {
		notice.Limited, notice.Limit = true, f.limit
	}
	if counts && f.Now()-now <= objective {
		f.prompt++
	}
	f.mu.Unlock()
	time.Sleep(upstreamLatency)
	slot.Hear(notice)
	slot.FirstToken(0)
	slot.End(reserver.Usage{Outcome: reserver.Completed, OutputTokens: 10})
}

// countSent reports whether a request that is sent now counts in prompt and sent.
func (f *limitedFleet) countSent(n *limitedNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.named || n.region != f.limitedRegion {
		return false
	}
	f.sent++
	return true
}

// nameLimit lets all upstreams name a limit from now on.
func (f *limitedFleet) nameLimit(limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named, f.limit, f.namedAt = true, limit, f.since()
}

// endLimit lets all upstreams name no limit any more.
func (f *limitedFleet) endLimit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.named, f.limit = false, 0
}

// scheduler returns the daemon that schedules the only shard, as all members see it.
func (f *limitedFleet) scheduler() *limitedNode {
	a := sharder.Assigner{Source: f.source, View: limitedView{fleet: f}}
	m, _ := a.Current().Scheduler(region + "/" + pool + "/0")
	return f.nodes[m.Name]
}

// kill ends a daemon; the others notice after deathNotice.
func (f *limitedFleet) kill(n *limitedNode) {
	n.stop()
	time.AfterFunc(deathNotice, func() { f.removeMember(n.name) })
}

func (f *limitedFleet) removeMember(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(slices.Clone(f.members), func(m gossiper.Member) bool { return m.Name == name })
}

// setView lets some daemons see only the members for which sees returns true.
func (f *limitedFleet) setView(daemons []string, sees func(name string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	visible := slices.DeleteFunc(slices.Clone(f.members), func(m gossiper.Member) bool { return !sees(m.Name) })
	for _, name := range daemons {
		f.views[name] = visible
	}
}

// checkLimit fails the test if an upstream got more than the users' bound in any window.
func (f *limitedFleet) checkLimit(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	allowed := limitFactor*f.limit*limitWindow.Seconds() + limitSlack
	for upstream, times := range f.arrivals {
		if u, _ := inventory.Lookup(f.source.Current().Upstreams, upstream); f.limitedRegion != "" && u.Region != f.limitedRegion {
			continue
		}
		slices.Sort(times)
		times = times[countBefore(times, f.namedAt+limitGrace):]
		for i, at := range times {
			if got := countBefore(times[i:], at+limitWindow); float64(got) > allowed {
				t.Errorf("%s named %v requests a second and got %d within %v from %v after that, allowed are %v",
					upstream, f.limit, got, limitWindow, at-f.namedAt, allowed)
				break
			}
		}
	}
}

func countBefore(times []time.Duration, end time.Duration) int {
	return len(times) - len(slices.DeleteFunc(slices.Clone(times), func(at time.Duration) bool { return at < end }))
}

// arrivalsBetween returns the number of requests that an upstream got between two moments.
func (f *limitedFleet) arrivalsBetween(upstream string, from, to time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Clone(f.arrivals[upstream])
	slices.Sort(times)
	return countBefore(times, to) - countBefore(times, from)
}

// runLimitedFleet runs a scenario in virtual time.
func runLimitedFleet(t *testing.T, daemons, upstreams int, requestsPerSecond float64, scenario func(f *limitedFleet)) {
	t.Helper()
	runRegions(t, daemons, upstreams, requestsPerSecond, []string{region}, scenario)
}

// runRegions runs a scenario in virtual time, with daemons and upstreams in some regions.
func runRegions(t *testing.T, daemons, upstreams int, requestsPerSecond float64, regions []string, scenario func(f *limitedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newLimitedFleet(ctx, daemons, upstreams, requestsPerSecond, regions...)
		time.Sleep(8 * time.Second)
		scenario(f)
		f.checkLimit(t)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestNamedLimitHoldsForAllDaemonsTogether guards against upstreams that get more than the
// limit that they name, in fleets of any size, or much less.
func TestNamedLimitHoldsForAllDaemonsTogether(t *testing.T) {
	for _, daemons := range []int{1, 8, 66, 195, 350} {
		for _, limit := range []float64{0.4, 1.8, 6} {
			if daemons > 66 && limit != 1.8 && !soaks() {
				continue
			}
			t.Run(fmt.Sprintf("%d daemons, %v a second", daemons, limit), func(t *testing.T) {
				t.Parallel()
				runLimitedFleet(t, daemons, 3, max(60, float64(daemons)), func(f *limitedFleet) {
					f.nameLimit(limit)
					time.Sleep(23 * time.Second)
					got := f.arrivalsBetween("u00", f.namedAt+limitGrace, f.namedAt+23*time.Second)
					if least := int(0.8 * 20 * limit); got < least {
						t.Errorf("an upstream that takes %v requests a second got %d in 20 s, want %d or more", limit, got, least)
					}
				})
			})
		}
	}
}

// TestNamedLimitHoldsWhileSchedulersChange guards against a limit that is forgotten, or used
// twice, when the daemon that holds it dies, is cut off, or when two believe to hold it.
func TestNamedLimitHoldsWhileSchedulersChange(t *testing.T) {
	scenarios := map[string]func(f *limitedFleet){
		"scheduler dies": func(f *limitedFleet) { f.kill(f.scheduler()) },
		"two schedulers die, one after the other": func(f *limitedFleet) {
			f.kill(f.scheduler())
			time.Sleep(deathNotice + time.Second)
			f.kill(f.scheduler())
		},
		"half of the daemons can't reach the scheduler": func(f *limitedFleet) {
			scheduler := f.scheduler()
			f.mu.Lock()
			defer f.mu.Unlock()
			for i, m := range f.members {
				f.cut[[2]string{m.Name, scheduler.name}] = i%2 == 0 && m.Name != scheduler.name
			}
		},
		"half of the daemons see another scheduler for 3 s": func(f *limitedFleet) {
			scheduler := f.scheduler()
			f.setView(f.names(2), func(name string) bool { return name != scheduler.name })
			time.AfterFunc(3*time.Second, f.unifyViews)
		},
		"the scheduler is cut off, and takes the others for alive": func(f *limitedFleet) {
			scheduler := f.scheduler()
			f.setView([]string{scheduler.name}, func(string) bool { return true })
			f.isolate(scheduler)
			time.AfterFunc(deathNotice, func() { f.removeMember(scheduler.name) })
		},
		"the fleet is cut in two":   func(f *limitedFleet) { f.split(2) },
		"the fleet is cut in three": func(f *limitedFleet) { f.split(3) },
	}
	for name, change := range scenarios {
		for _, daemons := range []int{8, 66, 350} {
			if daemons == 350 && name != "scheduler dies" && !soaks() {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				t.Parallel()
				runLimitedFleet(t, daemons, 3, max(60, float64(daemons)), func(f *limitedFleet) {
					f.nameLimit(2.2)
					time.Sleep(8 * time.Second)
					change(f)
					time.Sleep(22 * time.Second)
				})
			})
		}
	}
}

// soaks reports whether all combinations of sizes and scenarios run.
func soaks() bool { return os.Getenv("SOAK") != "" }

// names returns the name of each daemon whose index is a multiple of step.
func (f *limitedFleet) names(step int) (names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if i%step == 0 {
			names = append(names, m.Name)
		}
	}
	return names
}

func (f *limitedFleet) unifyViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views = map[string][]gossiper.Member{}
}

// isolate cuts a daemon off from all others.
func (f *limitedFleet) isolate(n *limitedNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		f.cut[[2]string{m.Name, n.name}] = m.Name != n.name
	}
	n.isolatedAt = clock.Hour + clock.FromDuration(f.since())
}

// split cuts the fleet into parts that can't reach each other. Each part notices after
// deathNotice.
func (f *limitedFleet) split(parts int) {
	f.mu.Lock()
	members := f.members
	part := map[string]int{}
	for i, m := range members {
		part[m.Name] = i % parts
	}
	for _, a := range members {
		for _, b := range members {
			f.cut[[2]string{a.Name, b.Name}] = part[a.Name] != part[b.Name]
		}
	}
	f.mu.Unlock()
	time.AfterFunc(deathNotice, func() {
		for i := range parts {
			var names []string
			for _, m := range members {
				if part[m.Name] == i {
					names = append(names, m.Name)
				}
			}
			f.setView(names, func(name string) bool { return part[name] == i })
		}
	})
}

// TestNamedLimitEndsAtOnce guards against a limit that holds on after upstreams have stopped
// naming it, and against an upstream that is never tried again after it named none at all.
func TestNamedLimitEndsAtOnce(t *testing.T) {
	for _, limit := range []float64{0, 1} {
		t.Run(fmt.Sprintf("%v a second", limit), func(t *testing.T) {
			t.Parallel()
			runLimitedFleet(t, 8, 3, 60, func(f *limitedFleet) {
				f.nameLimit(limit)
				time.Sleep(10 * time.Second)
				f.checkLimit(t)
				f.endLimit()
				endedAt := f.since()
				time.Sleep(20 * time.Second)
				for i := range 3 {
					upstream := fmt.Sprintf("u%02d", i)
					if got := f.arrivalsBetween(upstream, endedAt+6*time.Second, endedAt+16*time.Second); got < 100 {
						t.Errorf("%s got %d requests in 10 s, from 6 s after its limit ended", upstream, got)
					}
				}
				f.limit = 1e6
			})
		})
	}
}

// TestRequestsBeyondNamedLimitsGoToOtherRegions guards against requests that wait for upstreams
// with a limit until it is too late for another region.
func TestRequestsBeyondNamedLimitsGoToOtherRegions(t *testing.T) {
	t.Parallel()
	const least = 0.9
	runRegions(t, 6, 6, 60, []string{"a", "b"}, func(f *limitedFleet) {
		f.mu.Lock()
		f.limitedRegion = "a"
		f.mu.Unlock()
		f.nameLimit(2)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if share := float64(f.prompt) / float64(f.sent); share < least {
			t.Errorf("%.3f of %d requests of the region were answered in time, want %v", share, f.sent, least)
		}
	})
}
