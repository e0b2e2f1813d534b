package mover

import (
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// flawKind is a way to be bad.
type flawKind int

const (
	flawNone flawKind = iota
	flawFails
	flawEmpty
	flawShort
	flawSlowFirst
	flawSlowGap
)

// flaw is how a version misbehaves.
type flaw struct {
	kind flawKind
	// rate is the share of affected requests, factor how much slower they are.
	rate, factor float64
	// from is when it begins, load the least part of the slots in use, and
	// route the only affected one; the zero values limit nothing.
	from  clock.Millis
	load  float64
	route string
}

// usualFailures is the share of requests that fail on any version.
const usualFailures = 0.002

// engine is a model of an engine.
type engine struct {
	stager.Upstream
	version string
	loaded  []string
	loading string
	// serve is set where the loading version shall be served once loaded.
	serve bool
	// left is what is still to be read of the weights.
	left float64
	// unloading is drained before it leaves the memory.
	unloading string
	// running counts requests by version, inUse all of them.
	running map[string]int
	inUse   int
	fence   int64
}

// used is the part of the slots in use.
func (e *engine) used() float64 {
	return float64(e.inUse) / float64(e.Slots)
}

// obey carries an order out and counts what went wrong.
func (e *engine) obey(order stager.Order, epoch int64, out *Outcome) {
	if epoch < e.fence {
		if e.ChecksFencing {
			out.OrdersRefused++
			return
		}
		out.OrdersStale++
	}
	e.fence = max(e.fence, epoch)
	if order.Kind == stager.OrderUnload {
		if e.version != order.Version {
			e.unloading = order.Version
		}
		if e.loading == order.Version {
			e.loading = ""
		}
		return
	}
	if e.unloading == order.Version {
		e.unloading = ""
	}
	switch {
	case slices.Contains(e.loaded, order.Version):
		if order.Serve {
			e.version = order.Version
			return
		}
		out.OrdersDoubled++
	case e.loading == order.Version:
		e.serve = e.serve || order.Serve
	default:
		e.loading, e.serve, e.left = order.Version, order.Serve, weightBytes
	}
}

// advance lets bytes of weights come in and drained versions go.
func (e *engine) advance(bytes float64) {
	if e.unloading != "" && e.running[e.unloading] == 0 && e.version != e.unloading {
		e.loaded = slices.DeleteFunc(e.loaded, func(v string) bool { return v == e.unloading })
		e.unloading = ""
	}
	if e.loading == "" {
		return
	}
	if e.left -= bytes; e.left > 0 {
		return
	}
	e.loaded = append(e.loaded, e.loading)
	if e.serve {
		e.version = e.loading
	}
	e.loading = ""
}

// speeds of the generations: milliseconds to the first token and between
// tokens of a lone request.
//
//nolint:gochecknoglobals // A constant table.
var speeds = map[string]struct{ first, gap float64 }{
	"g3": {400, 45}, "g4": {250, 30}, "g5": {120, 18},
}

// route is a route of the traffic.
type route struct {
	name string
	// part is its part of the traffic, tokens the mean length of answers.
	part, tokens float64
}

//nolint:gochecknoglobals // A constant table.
var routes = []route{{"draft", 0.4, 80}, {"question", 0.3, 40}, {"status", 0.2, 15}, {"analysis", 0.1, 150}}

// answer draws how a request on the version goes and how long it takes.
func (e *engine) answer(r *rand.Rand, on route, version string, bad flaw, now clock.Millis) (s judge.Sample, took clock.Millis) {
	speed := speeds[e.Generation]
	load := e.used()
	first := speed.first * (0.5 + r.ExpFloat64()) * (1 + load)
	gap := speed.gap * (1 + load + 0.1*r.NormFloat64())
	s.Tokens = 1 + int(on.tokens*(0.3+0.7*r.ExpFloat64()))
	s.Failed = r.Float64() < usualFailures
	if bad.hits(r, on.name, load, now) && version == "v2" {
		switch bad.kind {
		case flawFails:
			s.Failed = true
		case flawEmpty:
			s.Tokens = 0
		case flawShort:
			s.Tokens = 1 + r.IntN(3)
		case flawSlowFirst:
			first *= bad.factor
		case flawSlowGap:
			gap *= bad.factor
		case flawNone:
		}
	}
	s.First = clock.Millis(first)
	if s.Tokens > 1 {
		s.Gap = clock.Millis(max(gap, 1))
	}
	took = clock.Millis(first + gap*float64(s.Tokens))
	if s.Failed {
		took = clock.Millis(first)
	}
	return s, took
}

func (f flaw) hits(r *rand.Rand, on string, load float64, now clock.Millis) bool {
	return f.kind != flawNone && now >= f.from && load >= f.load && (f.route == "" || f.route == on) && r.Float64() < f.rate
}

// The weight store.
const (
	weightBytes = 20e9
	// storeBytesPerSecond is shared by all loads.
	storeBytesPerSecond = 2e9
)
