package judge

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Test names one of the comparisons.
type Test string

// The tests.
const (
	TestFailed Test = "failed"
	TestEmpty  Test = "empty"
	TestFirst  Test = "first_token"
	TestGap    Test = "token_gap"
	TestShort  Test = "short_answer"
)

//nolint:gochecknoglobals // A constant list.
var tests = [...]Test{TestFailed, TestEmpty, TestFirst, TestGap, TestShort}

// Thresholds of the tests.
const (
	// slowShare and shortShare are the shares of the old version's answers that
	// count as slow and as short; they set the quantiles for the new version.
	slowShare  = 0.1
	shortShare = 0.05
	// slowBuckets is how many buckets beyond that quantile an answer of the new
	// version has to lie to count as slow. One bucket is a factor of the square
	// root of two, a difference that an unequal load can cause.
	slowBuckets = 1
	// minQuantileRequests is the number of requests of the old version that are
	// needed before a quantile is used.
	minQuantileRequests = 50
)

// Cell is a set of requests that the judge tests: all of them, or those of one
// route, generation or load. The zero value stands for all.
type Cell struct {
	Route      string `json:"route,omitempty"`
	Generation string `json:"generation,omitempty"`
	// Load is Key.Load plus 1, 0 for any load.
	Load uint8 `json:"load,omitempty"`
}

// String describes the requests in words.
func (c Cell) String() string {
	switch {
	case c.Route != "":
		return "on route " + c.Route
	case c.Generation != "":
		return "on generation " + c.Generation
	case c.Load > 0:
		return fmt.Sprintf("with up to %d of 4 slots in use", c.Load)
	default:
		return "in all"
	}
}

// cellsOf returns the cells that a key belongs to.
func cellsOf(key Key) [4]Cell {
	return [4]Cell{{}, {Route: key.Route}, {Generation: key.Generation}, {Load: key.Load + 1}}
}

// Verdict is the result of a Judge.
type Verdict struct {
	// Bad means that the new version is worse; once true, it stays true.
	Bad bool `json:"bad"`
	// Test and Cell name the comparison with the strongest evidence.
	Test Test `json:"test,omitempty"`
	Cell Cell `json:"cell"`
	// Evidence is the value of that test divided by its bound; at least 1 if Bad.
	Evidence float64 `json:"evidence"`
	// Requests and Events count the new version's requests in Cell, and those with
	// the event of Test, since the start.
	Requests int `json:"requests"`
	Events   int `json:"events"`
}

// Judge compares two versions. Its exported fields are set before use.
type Judge struct {
	// From and To are the old and the new version.
	From string
	To   string
	// ErrorRate bounds the probability that a new version that is no worse is ever
	// judged bad, over all cells, tests and windows; it is above 0 and below 1.
	ErrorRate float64

	// strata holds the history of groups of comparable requests. cells add up the
	// evidence of their strata.
	strata  map[Key]*stratum
	cells   map[Cell]*cellState
	verdict Verdict
	total   Window
}

// stratum holds the old version's counts of a route, generation and load.
type stratum struct{ oldCounts Counts }

// cellState is the state of the tests of one cell.
type cellState struct {
	// bound is the value of a test from which on the new version is bad.
	bound float64
	tests [len(tests)]eProcess
	// newGroups counts the new version's requests and events by test.
	newGroups [len(tests)]group
}

// Observe adds a window and returns the verdict so far.
func (j *Judge) Observe(window Window) Verdict {
	if j.cells == nil {
		j.strata = map[Key]*stratum{}
		j.cells = map[Cell]*cellState{}
		j.total = Window{}
	}
	j.total.Merge(window)
	sums := map[Cell]*windowSum{}
	for _, key := range j.stratumKeys(window) {
		j.addStratum(sums, key, window)
	}
	for _, id := range sortedCells(sums) {
		j.updateCell(id, sums[id])
	}
	return j.verdict
}

// Verdict returns the verdict so far.
func (j *Judge) Verdict() Verdict { return j.verdict }

// Total returns all counts since the start; the caller must not modify them.
func (j *Judge) Total() Window { return j.total }

// CurrentEvidence returns the strongest evidence of all tests at present, divided
// by the bound from which on the version is bad.
func (j *Judge) CurrentEvidence() (most float64) {
	for _, c := range j.cells {
		for i := range c.tests {
			most = max(most, c.tests[i].value()/c.bound)
		}
	}
	return most
}

// windowSum holds what a window adds to a cell.
type windowSum struct {
	logRatios [len(tests)]logRatios
	newGroups [len(tests)]group
}

// stratumKeys returns the sorted keys, without version, of the strata in the
// window. The order makes equal windows lead to equal verdicts.
func (j *Judge) stratumKeys(window Window) (keys []Key) {
	for key := range window {
		if key.Version != j.From && key.Version != j.To {
			continue
		}
		key.Version = ""
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return slices.Compact(keys)
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Load, b.Load))
}

func sortedCells(sums map[Cell]*windowSum) []Cell {
	return slices.SortedFunc(maps.Keys(sums), func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Generation, b.Generation), cmp.Compare(a.Load, b.Load))
	})
}

// addStratum compares the versions in one stratum and adds the result to the
// sums of its cells.
func (j *Judge) addStratum(sums map[Cell]*windowSum, key Key, window Window) {
	s := j.strata[key]
	if s == nil {
		s = &stratum{}
		j.strata[key] = s
	}
	countsOf := func(version string) *Counts {
		key.Version = version
		if counts, found := window[key]; found {
			return counts
		}
		return &Counts{}
	}
	oldCounts, newCounts := countsOf(j.From), countsOf(j.To)
	for i, test := range tests {
		history, control := &s.oldCounts, oldCounts
		bucket, usable := history.eventBucket(test)
		if !usable {
			history, control = j.historyAcrossLoads(key, test), &Counts{}
			bucket, usable = history.eventBucket(test)
		}
		newGroup := countEvents(test, newCounts, bucket)
		if !usable || newGroup.requests == 0 {
			continue
		}
		g := logRatiosOf(newGroup, countEvents(test, control, bucket), countEvents(test, history, bucket))
		for _, id := range cellsOf(key) {
			if sums[id] == nil {
				sums[id] = &windowSum{}
			}
			sums[id].logRatios[i].add(g)
			sums[id].newGroups[i].requests += newGroup.requests
			sums[id].newGroups[i].events += newGroup.events
		}
	}
	s.oldCounts.Merge(oldCounts)
}

// historyAcrossLoads returns the old version's counts on the route and
// generation under other loads too. It is used for a load at which the old
// version hardly ran: a new version with short answers leaves its upstreams
// idle, at a load without counts to compare with. Lengths do not depend on the
// load, so all loads count. Times are no shorter under a higher load, so only
// equal and higher loads count.
func (j *Judge) historyAcrossLoads(key Key, test Test) *Counts {
	sum, least := &Counts{}, key.Load
	for load := range uint8(loadLevels) {
		if load < least && test != TestShort {
			continue
		}
		if s := j.strata[Key{Route: key.Route, Generation: key.Generation, Load: load}]; s != nil {
			sum.Merge(&s.oldCounts)
		}
	}
	return sum
}

// updateCell adds the sum of a window to a cell and updates the verdict.
func (j *Judge) updateCell(id Cell, s *windowSum) {
	c := j.cells[id]
	if c == nil {
		c = &cellState{bound: j.nextCellBound()}
		j.cells[id] = c
	}
	for i, test := range tests {
		if s.newGroups[i].requests == 0 {
			continue
		}
		c.newGroups[i].requests += s.newGroups[i].requests
		c.newGroups[i].events += s.newGroups[i].events
		c.tests[i].observe(s.logRatios[i])
		evidence := c.tests[i].value() / c.bound
		if j.verdict.Bad || evidence < j.verdict.Evidence {
			continue
		}
		j.verdict = Verdict{
			Bad: evidence >= 1, Test: test, Cell: id, Evidence: evidence,
			Requests: c.newGroups[i].requests, Events: c.newGroups[i].events,
		}
	}
}

// nextCellBound returns the bound of a cell about to be added. Half of the error
// rate goes to the first cell, that of all requests. The other half is split
// over the further cells in the order in which they appear, 1/(i(i+1)) each,
// which sums to 1. Each cell's part is split evenly between its tests.
func (j *Judge) nextCellBound() float64 {
	i := float64(len(j.cells))
	share := 0.5
	if i > 0 {
		share = 0.5 / (i * (i + 1))
	}
	return float64(len(tests)) / (j.ErrorRate * share)
}

// eventBucket returns the bucket of the counts, those of the old version before
// the window, that separates the test's events from other requests. It is not
// usable while there are too few counts.
func (c *Counts) eventBucket(test Test) (bucket int, usable bool) {
	switch test {
	case TestFirst:
		return c.First.UpperBucket(slowShare) + slowBuckets, c.First.Total() >= minQuantileRequests
	case TestGap:
		return c.Gap.UpperBucket(slowShare) + slowBuckets, c.Gap.Total() >= minQuantileRequests
	case TestShort:
		return c.Length.lowerBucket(shortShare), c.Length.Total() >= minQuantileRequests
	case TestFailed, TestEmpty:
	}
	return 0, true
}

// countEvents returns the number of requests that the test applies to, and of
// those with its event.
func countEvents(test Test, c *Counts, bucket int) group {
	switch test {
	case TestFailed:
		return group{int(c.Requests), int(c.Failed)}
	case TestEmpty:
		return group{int(c.Requests - c.Failed), int(c.Empty)}
	case TestFirst:
		return group{c.First.Total(), c.First.Above(bucket)}
	case TestGap:
		return group{c.Gap.Total(), c.Gap.Above(bucket)}
	case TestShort:
	}
	total := c.Length.Total()
	return group{total, total - c.Length.Above(bucket)}
}
