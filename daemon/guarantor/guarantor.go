// Package guarantor guarantees a minimum of service to kinds of requests and to
// organisations that strict priorities would starve. It answers loads at which the
// important requests alone fill all slots for seconds. It makes decisions and does no
// I/O.
package guarantor

import (
	"cmp"
	"math"
	"slices"

	"yuccaspread/common/clock"
)

// Dimension tells what a group of requests has in common.
type Dimension int

// The dimensions.
const (
	// Kind groups the requests of a route.
	Kind Dimension = iota
	// Organisation groups the requests of an organisation.
	Organisation
	dimensions
)

// Group is the requests of one kind or of one organisation.
type Group struct {
	Dimension Dimension
	Name      string
}

const (
	// halfLife is the time after which an ask counts half. Bursts last for seconds.
	halfLife = 4 * clock.Second
	// minOffered is the number of asks from which on a group is judged.
	minOffered = 4.0
	// forgotten is the number of asks below which a group is forgotten.
	forgotten = 0.1
	// cheapMargin is the factor by which a cheap kind may be served less often than the
	// more important kinds before it is preferred.
	cheapMargin = 0.95
)

// Guarantor counts what is asked and what is granted, and names the groups that get
// less than their minimum. The zero value guarantees nothing. It is not safe for
// concurrent use.
type Guarantor struct {
	// Floor is the share of the mean rate of service that every kind and every
	// organisation gets at least, in [0, 1); 0 for none.
	Floor float64
	// CheapShare is the share of the slots' time up to which a kind counts as cheap, in
	// [0, 1): a cheap kind is served as often as the more important ones.
	CheapShare float64

	groups  [dimensions]map[string]*account
	total   account
	starved []Group
}

// account is what was asked and granted lately, decayed by age.
type account struct {
	at              clock.Millis
	offered, served float64
	// offeredMS is the slot time of what was asked, in milliseconds.
	offeredMS float64
	// tierSum is the sum of the tiers of what was asked.
	tierSum float64
}

func (a *account) decay(now clock.Millis) {
	if now <= a.at {
		return
	}
	factor := math.Exp2(-float64(now-a.at) / float64(halfLife))
	a.at = now
	a.offered *= factor
	a.served *= factor
	a.offeredMS *= factor
	a.tierSum *= factor
}

// ratio returns the share of the asks that were granted.
func (a *account) ratio() float64 {
	if a.offered <= 0 {
		return 1
	}
	return a.served / a.offered
}

// meanTier returns the mean tier of the asks.
func (a *account) meanTier() float64 { return a.tierSum / max(a.offered, forgotten) }

func (g *Guarantor) account(now clock.Millis, group Group) *account {
	if g.groups[group.Dimension] == nil {
		g.groups[group.Dimension] = map[string]*account{}
	}
	a := g.groups[group.Dimension][group.Name]
	if a == nil {
		a = &account{at: now}
		g.groups[group.Dimension][group.Name] = a
	}
	a.decay(now)
	return a
}

// Offer counts an ask of its groups. costMS is the slot time that it is expected to
// take, in milliseconds.
func (g *Guarantor) Offer(now clock.Millis, groups [2]Group, tier int, costMS float64) {
	g.total.decay(now)
	g.total.offered++
	g.total.offeredMS += costMS
	for _, group := range groups {
		a := g.account(now, group)
		a.offered++
		a.offeredMS += costMS
		a.tierSum += float64(tier)
	}
}

// Serve counts a grant to an ask of the groups.
func (g *Guarantor) Serve(now clock.Millis, groups [2]Group) {
	g.total.decay(now)
	g.total.served++
	for _, group := range groups {
		g.account(now, group).served++
	}
	g.starved = slices.DeleteFunc(g.starved, func(group Group) bool { return !g.isBelow(now, group) })
}

// Refresh determines anew which groups get less than their minimum. It is called at
// regular intervals.
func (g *Guarantor) Refresh(now clock.Millis) {
	g.starved = g.starved[:0]
	if g.Floor <= 0 {
		return
	}
	g.total.decay(now)
	for dimension, accounts := range g.groups {
		for name, a := range accounts {
			a.decay(now)
			group := Group{Dimension(dimension), name}
			switch {
			case a.offered < forgotten:
				delete(accounts, name)
			case g.isBelow(now, group):
				g.starved = append(g.starved, group)
			}
		}
	}
	slices.SortFunc(g.starved, func(a, b Group) int {
		return cmp.Or(cmp.Compare(g.account(now, a).ratio(), g.account(now, b).ratio()), cmp.Compare(a.Dimension, b.Dimension), cmp.Compare(a.Name, b.Name))
	})
}

// Starved returns the groups that get less than their minimum, the worst first. The slice
// is valid until the next call.
func (g *Guarantor) Starved() []Group { return g.starved }

// IsStarved reports whether a group gets less than its minimum.
func (g *Guarantor) IsStarved(group Group) bool { return slices.Contains(g.starved, group) }

// ExpectedWaitMS returns the expected wait of the last of the waiting asks of a group, in
// milliseconds, by the rate at which it was served lately.
func (g *Guarantor) ExpectedWaitMS(now clock.Millis, group Group, waiting int) float64 {
	// A constant rate adds up to rate * halfLife / ln 2.
	perMS := g.account(now, group).served * math.Ln2 / float64(halfLife)
	if perMS <= 0 {
		return math.Inf(1)
	}
	return float64(waiting) / perMS
}

// Len returns the number of groups that are known.
func (g *Guarantor) Len() (count int) {
	for _, accounts := range g.groups {
		count += len(accounts)
	}
	return count
}

// isBelow reports whether a group gets less than its minimum.
func (g *Guarantor) isBelow(now clock.Millis, group Group) bool {
	a := g.account(now, group)
	return a.offered >= minOffered && a.ratio() < g.minimum(now, group, a)
}

// minimum returns the share of its asks that a group is served at least: a part of the
// mean, or, for a kind that takes little room, what the more important kinds get.
func (g *Guarantor) minimum(now clock.Millis, group Group, a *account) float64 {
	minimum := g.Floor * g.total.ratio()
	if group.Dimension != Kind || a.offeredMS > g.CheapShare*g.total.offeredMS {
		return minimum
	}
	least, found := 1.0, false
	for name, other := range g.groups[Kind] {
		other.decay(now)
		if name != group.Name && other.offered >= minOffered && other.meanTier() < a.meanTier()-meanTierStep {
			least, found = min(least, other.ratio()), true
		}
	}
	if !found {
		return minimum
	}
	return max(minimum, cheapMargin*least)
}

// meanTierStep is the least difference of mean tiers by which one kind counts as more
// important than another: organisations with tiers of their own ask for all kinds.
const meanTierStep = 0.5
