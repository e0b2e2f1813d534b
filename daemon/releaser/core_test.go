package releaser

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"yuccaspread/common/clock"
)

// The users' bounds on a bad version: at most exposeShare of all requests until the time of the
// order is over, and exposeSlack more; none later than stopTime after its lastBad-th bad answer.
const (
	exposeShare = 0.1
	exposeSlack = 50
	stopTime    = 5 * clock.Second
	lastBad     = 50
)

// behaviour is how the answers of a version differ from usual ones.
type behaviour struct {
	// failed is the share of failures, slow that of answers that take slowFactor times as long.
	failed, slow float64
	// from is when this begins, route the only route that it is limited to, empty for all.
	from  clock.Millis
	route string
}

const slowFactor = 5

// simulation is a fleet in which each daemon schedules a part of a pool's requests.
type simulation struct {
	random *rand.Rand
	cores  []*Core
	now    clock.Millis
	bad    behaviour
	// strain multiplies all times and adds failures to all versions.
	strain func(now clock.Millis) (factor, failed float64)

	orderedAt         clock.Millis
	requests, exposed int
	badAnswers        int
	lastBadAt         clock.Millis
	lateRequests      int
	found             []Evidence
	allStoppedAt      clock.Millis
	pending           []pendingReport
	sharesByCore      []map[string]float64
	granted, eligible []float64
}

type pendingReport struct {
	at     clock.Millis
	to     int
	report Report
}

const pool = "p"

func newSimulation(seed uint64, daemons int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 5)), strain: func(clock.Millis) (float64, float64) { return 1, 0.01 }}
	for i := range daemons {
		s.cores = append(s.cores, &Core{Daemon: fmt.Sprint("d", i), TestShare: 0.08})
	}
	s.sharesByCore = make([]map[string]float64, daemons)
	s.granted, s.eligible = make([]float64, daemons), make([]float64, daemons)
	return s
}

func (s *simulation) update(i int, m Message) {
	for _, e := range s.cores[i].Update(s.now, m) {
		switch e := e.(type) {
		case SetShares:
			s.sharesByCore[i] = e.Shares.Shares
		case Found:
			s.found = append(s.found, e.Evidence)
		}
	}
}

// run sends requests for a span, and lets daemons report to the collectors as Releaser does.
func (s *simulation) run(span clock.Millis, perSecond float64) {
	for end := s.now + span; s.now < end; {
		s.now += 10
		for range s.poisson(perSecond / 100) {
			s.request(s.random.IntN(len(s.cores)))
		}
		if s.now%TickInterval == 0 {
			s.tick()
		}
		s.deliver()
	}
}

func (s *simulation) poisson(mean float64) (count int) {
	for sum := s.random.ExpFloat64(); sum < mean; sum += s.random.ExpFloat64() {
		count++
	}
	return count
}

func (s *simulation) tick() {
	stopped := s.orderedAt > 0
	for i, c := range s.cores {
		s.update(i, Tick{})
		for _, report := range c.Reports() {
			for collector := range min(collectorCount, len(s.cores)) {
				s.pending = append(s.pending, pendingReport{s.now + 20, collector, report})
			}
			stopped = stopped && report.Stopped
		}
	}
	if stopped && s.allStoppedAt == 0 {
		s.allStoppedAt = s.now
	}
}

// deliver delivers due reports, and their replies at once.
func (s *simulation) deliver() {
	var later []pendingReport
	for _, p := range s.pending {
		if p.at > s.now {
			later = append(later, p)
			continue
		}
		s.update(p.to, Heard{p.report})
		sender := slices.IndexFunc(s.cores, func(c *Core) bool { return c.Daemon == p.report.Daemon })
		for _, reply := range s.cores[p.to].Reports() {
			reply.Cells = nil
			s.update(sender, Heard{reply})
		}
	}
	s.pending = later
}

var routes = []string{"plan", "brief", "answer", "answer"}

// request sends one request to a version within the shares, as scheduler.State does.
func (s *simulation) request(i int) {
	route := routes[s.random.IntN(len(routes))]
	isNew := false
	if s.orderedAt > 0 {
		share, limited := s.sharesByCore[i]["v2"]
		s.eligible[i]++
		switch {
		case !limited:
			isNew = s.random.IntN(2) == 0
		case share > 0:
			isNew = s.granted[i]+1 <= share*s.eligible[i]
		}
		s.requests++
	}
	version := "v1"
	if isNew {
		version = "v2"
		s.granted[i]++
		s.countExposed()
	}
	factor, failed := s.strain(s.now)
	first := clock.Millis(factor * (30 + 30*s.random.ExpFloat64()))
	isBad := isNew && s.now >= s.orderedAt+s.bad.from && (s.bad.route == "" || s.bad.route == route)
	if isBad && s.random.Float64() < s.bad.slow {
		first *= slowFactor
		s.countBad()
	}
	hasFailed := s.random.Float64() < failed
	if isBad && s.random.Float64() < s.bad.failed {
		hasFailed = true
		s.countBad()
	}
	if hasFailed {
		s.update(i, Ended{Pool: pool, Version: version, Route: route, Failed: true})
		return
	}
	s.update(i, Begun{Pool: pool, Version: version, Route: route, FirstTokenTime: first})
	s.update(i, Ended{Pool: pool, Version: version, Route: route, FirstTokenTime: first})
}

func (s *simulation) countExposed() {
	if s.now < s.orderedAt+s.duration() {
		s.exposed++
	}
	if s.badAnswers >= lastBad && s.now > s.lastBadAt+stopTime {
		s.lateRequests++
	}
}

func (s *simulation) countBad() {
	if s.badAnswers++; s.badAnswers == lastBad {
		s.lastBadAt = s.now
	}
}

func (s *simulation) duration() clock.Millis { return 15 * clock.Second }

// order orders version v2, which is known to the daemons within 300 ms.
func (s *simulation) order() {
	s.orderedAt = s.now
	orders := Orders{
		List:   []Order{{ID: "1.5", Pool: pool, To: "v2", Duration: s.duration()}},
		Served: map[string][]string{pool: {"v1", "v2"}},
	}
	for i := range s.cores {
		s.update(i, orders)
	}
}

func (s *simulation) checkExposure(t *testing.T, requestsInTime int) {
	t.Helper()
	if allowed := exposeShare*float64(requestsInTime) + exposeSlack; float64(s.exposed) > allowed {
		t.Errorf("%d of %d requests reached the bad version before its time was over, allowed are %v", s.exposed, requestsInTime, allowed)
	}
	if s.lateRequests > 0 {
		t.Errorf("%d requests reached the bad version later than %d ms after its bad answer %d", s.lateRequests, stopTime, lastBad)
	}
}

// TestBadVersionIsStopped guards against a version that is worse and goes on to get requests,
// whatever is wrong with it, in fleets of any size.
func TestBadVersionIsStopped(t *testing.T) {
	for name, bad := range map[string]behaviour{
		"slow":               {slow: 0.5},
		"all slow":           {slow: 1},
		"fails":              {failed: 0.3},
		"fails now and then": {failed: 0.15},
		"slow on one route":  {slow: 0.7, route: "plan"},
		"fails on one route": {failed: 0.5, route: "brief"},
		"slow later":         {slow: 0.6, from: 9 * clock.Second},
		"fails after time":   {failed: 0.4, from: 20 * clock.Second},
	} {
		for _, daemons := range []int{1, 3, 12, 60} {
			for seed := range uint64(5) {
				t.Run(fmt.Sprintf("%s, %d daemons, seed %d", name, daemons, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(seed, daemons)
					s.bad = bad
					perSecond := 30 + 15*float64(daemons)
					s.run(warmUp(daemons), perSecond)
					s.order()
					s.run(s.duration(), perSecond)
					inTime := s.requests
					s.run(45*clock.Second, perSecond)
					s.checkExposure(t, inTime)
					if s.allStoppedAt == 0 {
						t.Error("the version was not stopped")
					}
				})
			}
		}
	}
}

// warmUp returns how long a fleet runs before an order, so that each daemon knows what is usual.
func warmUp(daemons int) clock.Millis { return clock.Millis(20+daemons) * clock.Second }

// TestGoodVersionIsNotStopped guards against a sound version that is stopped, also while all
// versions are slow for a while, or fail more often.
func TestGoodVersionIsNotStopped(t *testing.T) {
	strains := map[string]func(now clock.Millis) (factor, failed float64){
		"calm":    func(clock.Millis) (float64, float64) { return 1, 0.01 },
		"failing": func(clock.Millis) (float64, float64) { return 1, 0.08 },
		"waves": func(now clock.Millis) (float64, float64) {
			if now/(5*clock.Second)%2 == 0 {
				return 4, 0.05
			}
			return 1, 0.01
		},
	}
	for name, strain := range strains {
		for _, daemons := range []int{1, 3, 12} {
			stopped := 0
			const seeds = 40
			for seed := range uint64(seeds) {
				s := newSimulation(seed, daemons)
				s.strain = strain
				s.run(warmUp(daemons), 45)
				s.order()
				s.run(60*clock.Second, 45)
				if len(s.found) > 0 {
					stopped++
					t.Logf("%s, %d daemons, seed %d: %+v", name, daemons, seed, s.found[0])
				}
			}
			if stopped > 0 {
				t.Errorf("%s, %d daemons: a good version was stopped in %d of %d runs", name, daemons, stopped, seeds)
			}
		}
	}
}
