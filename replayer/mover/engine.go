package mover

import (
	"math/rand/v2"
	"slices"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/stager"
)

// faultKind is the kind of a version's fault.
type faultKind int

const (
	faultNone faultKind = iota
	faultFailure
	faultEmptyAnswer
	faultShortAnswer
	faultSlowFirstToken
	faultSlowTokenGap
)

// fault describes how a version misbehaves, and under which conditions.
type fault struct {
	kind faultKind
	// share is the share of affected requests, slowdown the factor by which they
	// are slower.
	share, slowdown float64
	// from is the time at which the fault begins, minLoad the least share of slots
	// in use, and route the only affected route; zero values limit nothing.
	from    clock.Millis
	minLoad float64
	route   string
}

// baseFailureShare is the share of requests that fail on any version.
const baseFailureShare = 0.002

// engine is a model of an engine.
type engine struct {
	stager.Upstream
	version string
	loaded  []string
	loading string
	// serveWhenLoaded is set if the loading version is to be served once loaded.
	serveWhenLoaded bool
	// remainingBytes is the part of the loading version's weights that is still to
	// be read.
	remainingBytes float64
	// unloading is the version that is unloaded once its requests have ended.
	unloading string
	// runningByVersion counts running requests by version, inUse all of them.
	runningByVersion map[string]int
	inUse            int
	highestEpoch     int64
}

// utilisation returns the share of slots in use.
func (e *engine) utilisation() float64 {
	return float64(e.inUse) / float64(e.Slots)
}

// executeOrder executes an order and counts refused, stale and doubled ones.
func (e *engine) executeOrder(order stager.Order, epoch int64, out *Outcome) {
	if epoch < e.highestEpoch {
		if e.ChecksFencing {
			out.OrdersRefused++
			return
		}
		out.OrdersStale++
	}
	e.highestEpoch = max(e.highestEpoch, epoch)
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
		e.serveWhenLoaded = e.serveWhenLoaded || order.Serve
	default:
		e.loading, e.serveWhenLoaded, e.remainingBytes = order.Version, order.Serve, weightBytes
	}
}

// advance reads bytes of the loading version's weights and unloads a version
// whose requests have ended.
func (e *engine) advance(bytes float64) {
	if e.unloading != "" && e.runningByVersion[e.unloading] == 0 && e.version != e.unloading {
		e.loaded = slices.DeleteFunc(e.loaded, func(v string) bool { return v == e.unloading })
		e.unloading = ""
	}
	if e.loading == "" {
		return
	}
	if e.remainingBytes -= bytes; e.remainingBytes > 0 {
		return
	}
	e.loaded = append(e.loaded, e.loading)
	if e.serveWhenLoaded {
		e.version = e.loading
	}
	e.loading = ""
}

// generationSpeeds holds the milliseconds to the first token and between tokens of
// a single request, by generation.
//
//nolint:gochecknoglobals // A constant table.
var generationSpeeds = map[string]struct{ first, gap float64 }{
	"g3": {400, 45}, "g4": {250, 30}, "g5": {120, 18},
}

// route is a route of the simulated traffic.
type route struct {
	name string
	// share is its share of the traffic, meanTokens the mean answer length.
	share, meanTokens float64
}

//nolint:gochecknoglobals // A constant table.
var routes = []route{{"draft", 0.4, 80}, {"question", 0.3, 40}, {"status", 0.2, 15}, {"analysis", 0.1, 150}}

// drawAnswer draws the sample and the duration of a request on the version.
func (e *engine) drawAnswer(r *rand.Rand, target route, version string, injected fault, now clock.Millis) (s judge.Sample, duration clock.Millis) {
	speed := generationSpeeds[e.Generation]
	load := e.utilisation()
	firstToken := speed.first * (0.5 + r.ExpFloat64()) * (1 + load)
	tokenGap := speed.gap * (1 + load + 0.1*r.NormFloat64())
	s.Tokens = 1 + int(target.meanTokens*(0.3+0.7*r.ExpFloat64()))
	s.Failed = r.Float64() < baseFailureShare
	if injected.affects(r, target.name, load, now) && version == "v2" {
		switch injected.kind {
		case faultFailure:
			s.Failed = true
		case faultEmptyAnswer:
			s.Tokens = 0
		case faultShortAnswer:
			s.Tokens = 1 + r.IntN(3)
		case faultSlowFirstToken:
			firstToken *= injected.slowdown
		case faultSlowTokenGap:
			tokenGap *= injected.slowdown
		case faultNone:
		}
	}
	s.FirstTokenTime = clock.Millis(firstToken)
	if s.Tokens > 1 {
		s.TokenGap = clock.Millis(max(tokenGap, 1))
	}
	duration = clock.Millis(firstToken + tokenGap*float64(s.Tokens))
	if s.Failed {
		duration = clock.Millis(firstToken)
	}
	return s, duration
}

// affects reports whether the fault applies to a request; it draws from r.
func (f fault) affects(r *rand.Rand, routeName string, load float64, now clock.Millis) bool {
	return f.kind != faultNone && now >= f.from && load >= f.minLoad && (f.route == "" || f.route == routeName) && r.Float64() < f.share
}

// Size and bandwidth of the weight store.
const (
	weightBytes = 20e9
	// storeBytesPerSecond is divided among all engines that are loading.
	storeBytesPerSecond = 2e9
)
