package judge

import (
	"cmp"
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

// Limits of the tests.
const (
	// slowShare and shortShare are the shares of the old version's answers
	// that count as slow and as short.
	slowShare  = 0.1
	shortShare = 0.05
	// quantileRequests is the history needed before a quantile is used.
	quantileRequests = 50
	// tolerance is how many times the old rate a good version may show when
	// both run at the same time, historyTolerance when the old one ran before.
	tolerance        = 1.5
	historyTolerance = 2.5
)

// Cell is a group in which the two versions are compared; the zero value is
// the one of all requests.
type Cell struct {
	Route      string `json:"route,omitempty"`
	Generation string `json:"generation,omitempty"`
	Loaded     bool   `json:"loaded,omitempty"`
}

// Verdict is what the judge says.
type Verdict struct {
	// Bad tells that the new version is worse; it never turns back.
	Bad bool `json:"bad"`
	// Test and Cell name the comparison with the strongest evidence.
	Test Test `json:"test,omitempty"`
	Cell Cell `json:"cell"`
	// Evidence is its value over the bound, at least 1 where Bad.
	Evidence float64 `json:"evidence"`
	// Requests and Events are the new version's since the start.
	Requests int `json:"requests"`
	Events   int `json:"events"`
}

// Judge compares two versions. Its exported fields are set before use.
type Judge struct {
	// From and To are the old and the new version.
	From string
	To   string
	// Error bounds the probability that a new version that is no worse is ever
	// called bad, over all cells, tests and looks; above 0 and below 1.
	Error float64

	cells   map[Cell]*cell
	verdict Verdict
	total   Window
}

// cell is the state of one comparison.
type cell struct {
	// bound is the value at which a test's evidence suffices.
	bound float64
	// old is all that was seen of the old version, fresh of the new one.
	old   Counts
	fresh Counts
	tests [len(tests)]process
}

// Observe adds a window and returns the verdict so far.
func (j *Judge) Observe(window Window) Verdict {
	if j.cells == nil {
		j.cells = map[Cell]*cell{}
		j.total = Window{}
	}
	j.total.Merge(window)
	for _, pair := range j.pairs(window) {
		j.observe(pair)
	}
	return j.verdict
}

// Verdict returns the verdict so far.
func (j *Judge) Verdict() Verdict { return j.verdict }

// Total returns all counts since the start; the caller changes nothing in it.
func (j *Judge) Total() Window { return j.total }

// pair is what a window holds of a cell.
type pair struct {
	cell       Cell
	old, fresh Counts
}

// pairs groups a window by cells, that of all requests first, the others in
// order, so that the same windows always lead to the same verdict.
func (j *Judge) pairs(window Window) []*pair {
	found := map[Cell]*pair{}
	for key, counts := range window {
		if key.Version != j.From && key.Version != j.To {
			continue
		}
		for _, at := range []Cell{{}, {Route: key.Route, Generation: key.Generation, Loaded: key.Loaded}} {
			p := found[at]
			if p == nil {
				p = &pair{cell: at}
				found[at] = p
			}
			if key.Version == j.To {
				p.fresh.Merge(counts)
				continue
			}
			p.old.Merge(counts)
		}
	}
	list := make([]*pair, 0, len(found))
	for _, p := range found {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pair) int { return compareCells(a.cell, b.cell) })
	return list
}

func compareCells(a, b Cell) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Generation, b.Generation), cmp.Compare(number(a.Loaded), number(b.Loaded)))
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (j *Judge) observe(p *pair) {
	c := j.cells[p.cell]
	if c == nil {
		c = &cell{bound: j.bound()}
		j.cells[p.cell] = c
	}
	c.fresh.Merge(&p.fresh)
	for i, test := range tests {
		// All requests together differ in length and load, so that only what
		// depends on neither is compared there.
		if p.cell == (Cell{}) && test != TestFailed && test != TestEmpty {
			continue
		}
		cut, usable := c.cut(test)
		if !usable {
			continue
		}
		c.tests[i].observe(events(test, &p.fresh, cut), events(test, &p.old, cut), events(test, &c.old, cut), tolerance, historyTolerance)
		j.settle(test, p.cell, c, c.tests[i].value()/c.bound, cut)
	}
	c.old.Merge(&p.old)
}

// bound splits the error rate: half for the cell of all requests, and the rest
// over the others as they appear, 1/(i(i+1)) each, which sums to 1; each cell's
// part is split evenly between its tests.
func (j *Judge) bound() float64 {
	i := float64(len(j.cells))
	share := 0.5
	if i > 0 {
		share = 0.5 / (i * (i + 1))
	}
	return float64(len(tests)) / (j.Error * share)
}

func (j *Judge) settle(test Test, at Cell, c *cell, evidence float64, cut int) {
	if j.verdict.Bad || evidence < j.verdict.Evidence {
		return
	}
	seen := events(test, &c.fresh, cut)
	j.verdict = Verdict{
		Bad: evidence >= 1, Test: test, Cell: at, Evidence: evidence,
		Requests: seen.requests, Events: seen.events,
	}
}

// cut returns the bucket that separates the test's events, from what the old
// version did before this window. It is not usable while that is too little.
func (c *cell) cut(test Test) (bucket int, usable bool) {
	switch test {
	case TestFirst:
		return c.old.First.upper(slowShare), c.old.First.Total() >= quantileRequests
	case TestGap:
		return c.old.Gap.upper(slowShare), c.old.Gap.Total() >= quantileRequests
	case TestShort:
		return c.old.Length.lower(shortShare), c.old.Length.Total() >= quantileRequests
	case TestFailed, TestEmpty:
	}
	return 0, true
}

// events counts a test's requests and events.
func events(test Test, c *Counts, cut int) group {
	switch test {
	case TestFailed:
		return group{int(c.Requests), int(c.Failed)}
	case TestEmpty:
		return group{int(c.Requests - c.Failed), int(c.Empty)}
	case TestFirst:
		return group{c.First.Total(), c.First.Above(cut)}
	case TestGap:
		return group{c.Gap.Total(), c.Gap.Above(cut)}
	case TestShort:
	}
	total := c.Length.Total()
	return group{total, total - c.Length.Above(cut)}
}
