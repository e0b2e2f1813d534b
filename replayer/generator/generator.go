// Package generator generates workload traces from a scenario and a seed.
package generator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/replayer/parser"
)

// class is a class of requests.
type class struct {
	route string
	pool  string
	tier  int
	// weight is its weight among all classes.
	weight float64
	// promptTokens and outputTokens are medians of log-normal lengths; lengthSigma
	// is the standard deviation of their logarithms.
	promptTokens, outputTokens float64
	lengthSigma                float64
	// timeout is the mean time from arrival to the deadline.
	timeout    clock.Millis
	idempotent bool
	// objective is the promised time to the first token, and patience the time
	// after which a caller leaves without a token; 0 for none.
	objective, patience clock.Millis
	// parts is the number of parts, partTokens long each, of which every prompt begins with one; 0
	// uses sharedPrefix.
	parts, partTokens int
	// sharedPrefix is the length of the prefix that an organisation's requests of
	// the route share, as a share of promptTokens.
	sharedPrefix float64
}

// organisation is a customer. weight is its weight in the number of requests.
type organisation struct {
	name   string
	weight float64
	// timeoutFactor multiplies the timeout; 0 means 1.
	timeoutFactor float64
}

// scenario holds the parameters of a trace.
type scenario struct {
	header        parser.Header
	upstreams     []parser.Upstream
	classes       []class
	organisations []organisation
	// regions are the regions of the callers with their weights.
	regions  map[string]float64
	duration clock.Millis
	// requestsPerSecond is the base request rate, and rateFactor its factor at a
	// time; nil means 1.
	requestsPerSecond float64
	rateFactor        func(at clock.Millis) float64
	// organisationFactor is the factor of an organisation's request rate at a time;
	// nil means 1.
	organisationFactor func(organisation string, at clock.Millis) float64
	// drawChanges draws the changes of upstreams; nil for none.
	drawChanges func(random *rand.Rand, upstreams []parser.Upstream) []parser.Change
}

// Names returns the names of the scenarios.
func Names() []string {
	return []string{"steady", "burst", "straggler", "mixed", "crowd", "stale", "lost_upstreams", "zeltfest", "directorate", "promises", "minimum", "kept_hot", "kept_warm", "kept_none"}
}

// Generate generates the trace of a scenario; equal seeds give equal traces.
func Generate(name string, seed uint64) (t parser.Trace, err error) {
	s, found := scenarioByName(name)
	if !found {
		return t, fmt.Errorf("generate trace: unknown scenario %q", name)
	}
	random := rand.New(rand.NewPCG(seed, 0))
	t.Header = s.header
	t.Header.Scenario = name
	t.Header.Seed = seed
	t.Upstreams = s.upstreams
	if s.drawChanges != nil {
		t.Changes = s.drawChanges(random, s.upstreams)
	}
	slices.SortStableFunc(t.Changes, func(a, b parser.Change) int { return cmp.Compare(a.AtMS, b.AtMS) })
	t.Requests = s.drawRequests(random)
	return t, nil
}

// drawRequests draws a Poisson process with a varying rate, by thinning one with
// the peak rate.
func (s scenario) drawRequests(random *rand.Rand) (requests []parser.Request) {
	peak := s.peakRate()
	for at := 0.0; ; {
		at += random.ExpFloat64() / peak * float64(clock.Second)
		now := clock.Millis(at)
		if now >= s.duration {
			return requests
		}
		draw := random.Float64() * peak
		for _, o := range s.organisations {
			draw -= s.rate(o, now)
			if draw < 0 {
				requests = append(requests, s.drawRequest(random, o, now))
				break
			}
		}
	}
}

// rate returns an organisation's requests per second at a time.
func (s scenario) rate(o organisation, at clock.Millis) float64 {
	total := 0.0
	for _, other := range s.organisations {
		total += other.weight
	}
	rate := s.requestsPerSecond * o.weight / total
	if s.rateFactor != nil {
		rate *= s.rateFactor(at)
	}
	if s.organisationFactor != nil {
		rate *= s.organisationFactor(o.name, at)
	}
	return rate
}

func (s scenario) peakRate() (peak float64) {
	for at := clock.Millis(0); at < s.duration; at += clock.Second {
		rate := 0.0
		for _, o := range s.organisations {
			rate += s.rate(o, at)
		}
		peak = max(peak, rate)
	}
	return peak * 1.05
}

func (s scenario) drawRequest(random *rand.Rand, o organisation, at clock.Millis) parser.Request {
	c := pickWeighted(random, s.classes, func(c class) float64 { return c.weight })
	promptTokens := drawLength(random, c.promptTokens, c.lengthSigma)
	timeout := float64(c.timeout) * (0.8 + 0.4*random.Float64())
	if o.timeoutFactor > 0 {
		timeout *= o.timeoutFactor
	}
	r := parser.Request{
		AtMS: at, Daemon: s.drawDaemon(random), Organisation: o.name, Route: c.route, Pool: c.pool,
		Region: s.drawRegion(random), Tier: c.tier, DeadlineMS: at + clock.Millis(timeout),
		PromptTokens: promptTokens, OutputTokens: drawLength(random, c.outputTokens, c.lengthSigma), Idempotent: c.idempotent,
	}
	if c.objective > 0 {
		r.ObjectiveMS, r.PatienceMS = at+c.objective, at+c.patience
	}
	if random.Float64() < boundedOutputShare {
		r.MaxTokens = r.OutputTokens * (1 + random.IntN(3))
	}
	r.Prefix, r.PrefixTokens = drawPrefix(random, o, c, promptTokens)
	return r
}

// Bounds of the drawn requests.
const (
	// boundedOutputShare is the share of requests that limit the output tokens.
	boundedOutputShare = 0.3
	// conversationShare is the share of requests that continue a conversation.
	conversationShare = 0.2
	conversationCount = 50
	maxLengthTokens   = 30_000
	// maxDeviations is the number of standard deviations at which the distribution
	// of a length is cut.
	maxDeviations = 3
)

// drawPrefix returns the identifier and the length of the prefix that an
// organisation's requests of a route share. Requests that continue a conversation
// share nine tenths of their prompt.
func drawPrefix(random *rand.Rand, o organisation, c class, promptTokens int) (name uint64, tokens int) {
	if c.parts > 0 {
		return uint64(1+random.IntN(c.parts)) + uint64(c.tier)<<40, min(c.partTokens, promptTokens)
	}
	name = uint64(len(o.name)) << 40
	for _, b := range []byte(o.name + "/" + c.route) {
		name = name*31 + uint64(b)
	}
	if random.Float64() < conversationShare {
		return name + 1 + uint64(random.IntN(conversationCount)), promptTokens * 9 / 10
	}
	return name, min(int(c.sharedPrefix*c.promptTokens), promptTokens)
}

// drawDaemon draws the daemon of a caller; the first daemons have more callers.
func (s scenario) drawDaemon(random *rand.Rand) int {
	return min(int(math.Pow(random.Float64(), daemonSkewExponent)*float64(s.header.Daemons)), s.header.Daemons-1)
}

// daemonSkewExponent is above 1 to concentrate callers on the first daemons.
const daemonSkewExponent = 1.3

func (s scenario) drawRegion(random *rand.Rand) string {
	var names []string
	for name := range s.regions {
		names = append(names, name)
	}
	slices.Sort(names)
	return pickWeighted(random, names, func(name string) float64 { return s.regions[name] })
}

// drawLength draws a log-normal length in tokens. The distribution is cut because
// callers know what to ask for.
func drawLength(random *rand.Rand, median, sigma float64) int {
	deviation := min(max(random.NormFloat64(), -maxDeviations), maxDeviations)
	return min(max(int(median*math.Exp(sigma*deviation)), 1), maxLengthTokens)
}

// pickWeighted draws an item with a probability in proportion to its weight.
func pickWeighted[T any](random *rand.Rand, items []T, weight func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	draw := random.Float64() * total
	for _, item := range items {
		draw -= weight(item)
		if draw < 0 {
			return item
		}
	}
	return items[len(items)-1]
}
