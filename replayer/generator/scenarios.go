package generator

import (
	"fmt"
	"math/rand/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/replayer/parser"
)

// modelPool is the pool of model engines.
const modelPool = "model"

// Latency targets of all tiers.
const (
	firstTokenTarget = 860 * clock.Millisecond
	tokenGapTarget   = 75 * clock.Millisecond
)

// scenarioByName returns the named scenario.
func scenarioByName(name string) (s scenario, found bool) {
	switch name {
	case "steady":
		return steady(), true
	case "burst":
		return burst(), true
	case "straggler":
		return straggler(), true
	case "mixed":
		return mixed(), true
	case "crowd":
		return crowd(), true
	case "stale":
		return stale(), true
	case "lost_upstreams":
		return lostUpstreams(), true
	case "zeltfest":
		return zeltfest(), true
	case "directorate":
		return directorate(), true
	case "promises":
		return promises(), true
	case "minimum":
		return minimum(), true
	case "kept_hot":
		return keptParts(4, 2500), true
	case "kept_warm":
		return keptParts(160, 2500), true
	case "kept_none":
		return keptParts(4, 60), true
	default:
		return s, false
	}
}

// steady uses about 60 % of the capacity of the upstreams.
func steady() scenario {
	return scenario{
		header:            newHeader(4),
		upstreams:         newEngines("r1", modelPool, 3, 3, 2),
		classes:           fourTierClasses(modelPool),
		organisations:     newOrganisations(12),
		regions:           map[string]float64{"r1": 1},
		duration:          4 * clock.Minute,
		requestsPerSecond: 20,
	}
}

// burst doubles the demand within a minute, for the rest of the trace.
func burst() scenario {
	s := steady()
	s.duration = 6 * clock.Minute
	s.requestsPerSecond = 23
	s.rateFactor = ramp(90*clock.Second, 150*clock.Second, 2)
	return s
}

// straggler slows one upstream down eightfold for two minutes.
func straggler() scenario {
	s := steady()
	s.drawChanges = func(random *rand.Rand, upstreams []parser.Upstream) []parser.Change {
		u := upstreams[random.IntN(len(upstreams))].Name
		return []parser.Change{
			{AtMS: clock.Minute, Upstream: u, Slowness: 8},
			{AtMS: 3 * clock.Minute, Upstream: u, Slowness: 1},
		}
	}
	return s
}

// mixed has prompts and answers whose lengths differ by a factor of 100.
func mixed() scenario {
	s := steady()
	s.classes = []class{
		{route: "question", pool: modelPool, tier: 1, weight: 0.8, promptTokens: 60, outputTokens: 30, lengthSigma: 0.4, timeout: 10 * clock.Second, idempotent: true, sharedPrefix: 0.5},
		{route: "summary", pool: modelPool, tier: 1, weight: 0.12, promptTokens: 800, outputTokens: 200, lengthSigma: 0.5, timeout: 60 * clock.Second, idempotent: true, sharedPrefix: 0.3},
		{route: "analysis", pool: modelPool, tier: 2, weight: 0.08, promptTokens: 6000, outputTokens: 1200, lengthSigma: 0.5, timeout: 300 * clock.Second, idempotent: true, sharedPrefix: 0.2},
	}
	s.requestsPerSecond = 22
	return s
}

// crowd multiplies the requests of one organisation by 6 for two minutes, which
// floods the queue.
func crowd() scenario {
	s := steady()
	s.organisationFactor = func(organisation string, at clock.Millis) float64 {
		if organisation == "org-00" && at >= clock.Minute && at < 3*clock.Minute {
			return 6
		}
		return 1
	}
	return s
}

// stale has load reports and cache events that are five seconds old.
func stale() scenario {
	s := steady()
	s.requestsPerSecond = 28
	s.header.ReportAgeMS = 5 * clock.Second
	s.header.CacheAgeMS = 5 * clock.Second
	s.header.CacheLoss = 0.2
	return s
}

// lostUpstreams lets a quarter of the upstreams fail, each for a minute.
func lostUpstreams() scenario {
	s := steady()
	s.drawChanges = func(random *rand.Rand, upstreams []parser.Upstream) (changes []parser.Change) {
		order := random.Perm(len(upstreams))
		for i := range len(upstreams) / 4 {
			u := upstreams[order[i]].Name
			at := clock.Minute + clock.Millis(random.IntN(20_000))
			changes = append(changes,
				parser.Change{AtMS: at, Upstream: u},
				parser.Change{AtMS: at + clock.Minute, Upstream: u, Slowness: 1})
		}
		return changes
	}
	return s
}

// promises has streams with a promised time to the first token. Their callers leave
// if no token comes, and come back once if they are refused. A third of the engines
// is four times slower than the others, there are few slots, and the demand doubles
// for ten seconds.
func promises() scenario {
	s := scenario{
		header: newHeader(8),
		classes: []class{
			{route: "draft", pool: modelPool, tier: 0, weight: 0.36, promptTokens: 3700, outputTokens: 110, lengthSigma: 0.5, timeout: 10 * clock.Second, objective: 600, patience: 2400, idempotent: true},
			{route: "note", pool: modelPool, tier: 1, weight: 0.25, promptTokens: 2900, outputTokens: 48, lengthSigma: 0.5, timeout: 5 * clock.Second, objective: 600, patience: 2400, idempotent: true},
			{route: "query", pool: modelPool, tier: 2, weight: 0.39, promptTokens: 1100, outputTokens: 160, lengthSigma: 0.5, timeout: 12 * clock.Second, objective: 400, patience: 2 * clock.Second, idempotent: true},
		},
		organisations:     newOrganisations(5),
		regions:           map[string]float64{"r1": 1},
		duration:          clock.Minute,
		requestsPerSecond: 42,
		rateFactor: func(at clock.Millis) float64 {
			if at >= 20*clock.Second && at < 30*clock.Second {
				return 2
			}
			return 1
		},
	}
	for i := range 9 {
		u := parser.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Pool: modelPool, Region: "r1", Generation: "unknown", Slots: 5,
			PrefillPerSecond: 80_000, GapMS: 2.6, GapRequestMS: 0.06, CacheBlocks: 1000, MemoryTokens: 600_000,
		}
		if i%3 == 2 {
			u.PrefillPerSecond, u.GapMS, u.GapRequestMS = 20_000, 10.4, 0.24
		}
		s.upstreams = append(s.upstreams, u)
	}
	return s
}

// keptParts has prompts as long as those of promises, each of which begins with one of a number of
// parts. The engines' memory holds a few hundred thousand tokens.
func keptParts(parts, tokens int) scenario {
	s := promises()
	s.header.NamesParts = true
	for i := range s.classes {
		s.classes[i].parts, s.classes[i].partTokens = parts, tokens
	}
	for i := range s.upstreams {
		s.upstreams[i].CacheBlocks = 5000
	}
	return s
}

// minimum has long requests of two important tiers, which need three times the slots
// that there are, and many short ones of the last tier, which need a twentieth of them.
func minimum() scenario {
	s := promises()
	s.classes = []class{
		{route: "letter", pool: modelPool, tier: 0, weight: 0.2, promptTokens: 6600, outputTokens: 384, lengthSigma: 0.5, timeout: 12 * clock.Second, objective: 800, patience: 3200, idempotent: true},
		{route: "chat", pool: modelPool, tier: 1, weight: 0.45, promptTokens: 630, outputTokens: 288, lengthSigma: 0.5, timeout: 12 * clock.Second, objective: 400, patience: 3200, idempotent: true},
		{route: "label", pool: modelPool, tier: 2, weight: 0.35, promptTokens: 1800, outputTokens: 24, lengthSigma: 0.5, timeout: 3 * clock.Second, objective: 500, patience: 2800, idempotent: true},
	}
	s.header.KindFloor, s.header.CheapKindShare = 0.3, 0.06
	s.duration, s.requestsPerSecond, s.rateFactor = 30*clock.Second, 80, nil
	return s
}

// zeltfest models the registration for a festival in three regions. Demand doubles
// within two minutes when rain begins.
func zeltfest() scenario {
	classes := []class{
		{route: "book_seat", pool: "booking", tier: 0, weight: 0.3, promptTokens: 100, outputTokens: 2, lengthSigma: 0.2, timeout: 10 * clock.Second, sharedPrefix: 0},
		{route: "confirm_meals", pool: modelPool, tier: 1, weight: 0.25, promptTokens: 250, outputTokens: 50, lengthSigma: 0.4, timeout: 15 * clock.Second, idempotent: true, sharedPrefix: 0.6},
		{route: "question", pool: modelPool, tier: 2, weight: 0.45, promptTokens: 400, outputTokens: 180, lengthSigma: 0.6, timeout: 70 * clock.Second, idempotent: true, sharedPrefix: 0.5},
	}
	s := scenario{
		header: newHeader(8), classes: classes,
		organisations: []organisation{
			{name: "tents-favoriten", weight: 6},
			{name: "tents-lend", weight: 4},
			{name: "caterers-linz", weight: 2},
			{name: "families", weight: 1},
			{name: "volunteers", weight: 1},
		},
		regions:  map[string]float64{"wien-a": 0.5, "graz-a": 0.25, "linz-a": 0.25},
		duration: 8 * clock.Minute, requestsPerSecond: 34,
		rateFactor: ramp(2*clock.Minute, 4*clock.Minute, 2),
	}
	s.upstreams = append(s.upstreams, newEngines("wien-a", modelPool, 1, 2, 2)...)
	s.upstreams = append(s.upstreams, newEngines("graz-a", modelPool, 1, 1, 0)...)
	s.upstreams = append(s.upstreams, newEngines("linz-a", modelPool, 0, 2, 1)...)
	for _, region := range []string{"wien-a", "graz-a", "linz-a"} {
		s.upstreams = append(s.upstreams, newService(region, "booking"))
	}
	return s
}

// directorate models the drafting and stamping of documents in three regions. Demand
// rises by 60 % within two minutes before the customs office closes.
func directorate() scenario {
	classes := []class{
		{route: "stamp", pool: "registry", tier: 0, weight: 0.15, promptTokens: 100, outputTokens: 2, lengthSigma: 0.2, timeout: 10 * clock.Second, sharedPrefix: 0},
		{route: "draft", pool: "drafting", tier: 1, weight: 0.25, promptTokens: 1500, outputTokens: 250, lengthSigma: 0.5, timeout: 70 * clock.Second, idempotent: true, sharedPrefix: 0.5},
		{route: "status", pool: "drafting", tier: 2, weight: 0.5, promptTokens: 120, outputTokens: 40, lengthSigma: 0.4, timeout: 15 * clock.Second, idempotent: true, sharedPrefix: 0.5},
		{route: "batch_analysis", pool: "drafting", tier: 3, weight: 0.1, promptTokens: 6000, outputTokens: 700, lengthSigma: 0.6, timeout: 240 * clock.Second, idempotent: true, sharedPrefix: 0.2},
	}
	s := scenario{
		header: newHeader(7), classes: classes,
		organisations: []organisation{
			{name: "paints-muscat", weight: 6},
			{name: "importers-sohar", weight: 5},
			{name: "inspectors", weight: 2},
			{name: "customs", weight: 1},
			{name: "coatings-salalah", weight: 1},
		},
		regions:  map[string]float64{"muscat-a": 0.4, "sohar-a": 0.35, "salalah-a": 0.25},
		duration: 8 * clock.Minute, requestsPerSecond: 20,
		rateFactor: ramp(2*clock.Minute, 4*clock.Minute, 1.6),
	}
	s.upstreams = append(s.upstreams, newEngines("muscat-a", "drafting", 1, 2, 1)...)
	s.upstreams = append(s.upstreams, newEngines("sohar-a", "drafting", 1, 1, 1)...)
	s.upstreams = append(s.upstreams, newEngines("salalah-a", "drafting", 0, 2, 1)...)
	for _, region := range []string{"muscat-a", "sohar-a", "salalah-a"} {
		s.upstreams = append(s.upstreams, newService(region, "registry"))
	}
	return s
}

// ramp returns a function that rises linearly from 1 to a factor between two times.
func ramp(from, to clock.Millis, factor float64) func(clock.Millis) float64 {
	return func(at clock.Millis) float64 {
		share := float64(at-from) / float64(to-from)
		return 1 + (factor-1)*min(max(share, 0), 1)
	}
}

// newHeader returns a header with four tiers.
func newHeader(daemons int) parser.Header {
	h := parser.Header{
		Daemons: daemons, ReportEveryMS: clock.Second, ReportAgeMS: clock.Second,
		CacheAgeMS: clock.Second, CacheLoss: 0.05, HealthAgeMS: 2 * clock.Second,
	}
	for rank := range 4 {
		h.Tiers = append(h.Tiers, inventory.Tier{
			Name: fmt.Sprintf("tier-%d", rank), Rank: rank,
			FirstTokenMS: firstTokenTarget, TokenGapMS: tokenGapTarget,
		})
	}
	return h
}

// newEngines returns the given numbers of engines of three generations, the newest
// first.
func newEngines(region, pool string, newest, middle, oldest int) (list []parser.Upstream) {
	kinds := []parser.Upstream{
		{Generation: "g5", Slots: 32, PrefillPerSecond: 20_000, GapMS: 12, GapRequestMS: 0.8, CacheBlocks: 1500, MemoryTokens: 120_000},
		{Generation: "g4", Slots: 24, PrefillPerSecond: 10_000, GapMS: 18, GapRequestMS: 1, CacheBlocks: 1000, MemoryTokens: 80_000},
		{Generation: "g3", Slots: 16, PrefillPerSecond: 5_000, GapMS: 25, GapRequestMS: 1.5, CacheBlocks: 600, MemoryTokens: 40_000},
	}
	for i, count := range []int{newest, middle, oldest} {
		for n := range count {
			u := kinds[i]
			u.Name = fmt.Sprintf("%s-%s-%s-%d", region, pool, u.Generation, n)
			u.Region = region
			u.Pool = pool
			list = append(list, u)
		}
	}
	return list
}

// newService returns a plain service, which has almost no prefill time.
func newService(region, pool string) parser.Upstream {
	return parser.Upstream{
		Name: region + "-" + pool, Region: region, Pool: pool, Generation: "service", Slots: 32,
		PrefillPerSecond: 100_000, GapMS: 30, GapRequestMS: 1, MemoryTokens: 1 << 20,
	}
}

// fourTierClasses returns a class for each of four tiers; lower tiers have longer
// prompts and answers.
func fourTierClasses(pool string) []class {
	return []class{
		{route: "booking", pool: pool, tier: 0, weight: 0.15, promptTokens: 200, outputTokens: 50, lengthSigma: 0.4, timeout: 10 * clock.Second, idempotent: true, sharedPrefix: 0.6},
		{route: "meals", pool: pool, tier: 1, weight: 0.25, promptTokens: 350, outputTokens: 90, lengthSigma: 0.5, timeout: 25 * clock.Second, idempotent: true, sharedPrefix: 0.6},
		{route: "question", pool: pool, tier: 2, weight: 0.4, promptTokens: 500, outputTokens: 160, lengthSigma: 0.6, timeout: 60 * clock.Second, idempotent: true, sharedPrefix: 0.5},
		{route: "report", pool: pool, tier: 3, weight: 0.2, promptTokens: 1500, outputTokens: 300, lengthSigma: 0.7, timeout: 180 * clock.Second, idempotent: true, sharedPrefix: 0.3},
	}
}

// newOrganisations returns organisations with weights of 1, 1/2, 1/3 and so on: a few
// large ones and many small ones.
func newOrganisations(count int) (list []organisation) {
	for i := range count {
		list = append(list, organisation{name: fmt.Sprintf("org-%02d", i), weight: 1 / float64(i+1)})
	}
	return list
}
