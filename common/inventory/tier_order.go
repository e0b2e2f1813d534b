package inventory

import (
	"slices"
	"strconv"
)

// TierSpan is the distance between the offsets of organisations whose tiers don't overlap: all
// ranks are below it, and so are the numbers that multiply it. Twice the last tier fits an int.
const TierSpan = 1 << 31

// MaxTier is the largest number of a tier.
const MaxTier = TierSpan * (TierSpan - 1)

// TierOrder holds the tiers that a configuration uses. A tier is the sum of the rank of a route's
// tier and the offset of an organisation. Its number may be large and means the same in every
// configuration; its position counts the tiers before it.
type TierOrder struct {
	// offsets and ranks are sorted and without repeats. Offsets begin with 0; either there is no
	// other one, or all are further apart than the ranks.
	offsets, ranks []int
}

// NewTierOrder returns the order of the tiers of some ranks and offsets. Offsets that are closer
// than the ranks make no tiers of their own.
func NewTierOrder(ranks, offsets []int) (order TierOrder) {
	order.ranks = sortedSet(append([]int{}, ranks...))
	if len(order.ranks) == 0 {
		order.ranks = []int{0}
	}
	order.offsets = sortedSet(append([]int{0}, offsets...))
	if highest := order.ranks[len(order.ranks)-1]; slices.ContainsFunc(order.offsets[1:], func(offset int) bool { return offset <= highest }) {
		order.offsets = order.offsets[:1]
	}
	return order
}

// TierOrder returns the order of the configuration's tiers.
func (c *Config) TierOrder() TierOrder {
	var ranks, offsets []int
	for _, t := range c.Tiers {
		ranks = append(ranks, t.Rank)
	}
	for _, o := range c.Organisations {
		offsets = append(offsets, o.TierOffset)
	}
	return NewTierOrder(ranks, offsets)
}

// Offsets returns the offsets of organisations, 0 first.
func (o TierOrder) Offsets() []int { return o.offsets }

// Last returns the last tier.
func (o TierOrder) Last() int {
	if len(o.ranks) == 0 {
		return 0
	}
	return o.offsets[len(o.offsets)-1] + o.ranks[len(o.ranks)-1]
}

// Next returns the first tier after one that may not be in use itself. After the last one it is the
// next number.
func (o TierOrder) Next(tier int) int {
	position := o.Position(tier + 1)
	if position >= len(o.offsets)*len(o.ranks) {
		return tier + 1
	}
	return o.At(position)
}

// Position returns the number of tiers in use before a tier, for the zero order the tier itself.
func (o TierOrder) Position(tier int) int {
	if len(o.ranks) == 0 {
		return tier
	}
	// The block of a tier is that of the last offset which is not above it.
	block, isOffset := slices.BinarySearch(o.offsets, tier)
	if !isOffset {
		block--
	}
	if block < 0 {
		return 0
	}
	before, _ := slices.BinarySearch(o.ranks, tier-o.offsets[block])
	return block*len(o.ranks) + before
}

// At returns the tier at a position, or after the last one the last tier.
func (o TierOrder) At(position int) int {
	if len(o.ranks) == 0 || position < 0 {
		return 0
	}
	block := position / len(o.ranks)
	if block >= len(o.offsets) {
		return o.Last()
	}
	return o.offsets[block] + o.ranks[position%len(o.ranks)]
}

// IsUsed reports whether a tier is in use.
func (o TierOrder) IsUsed(tier int) bool { return o.At(o.Position(tier)) == tier }

// maxTierLabel bounds the values of labels of metrics: configurations may use any number of tiers.
const maxTierLabel = 64

// TierLabel returns the value of a metric's label for the tier at a position.
func TierLabel(position int) string {
	return strconv.Itoa(min(position, maxTierLabel))
}

func sortedSet(numbers []int) []int {
	slices.Sort(numbers)
	return slices.Compact(numbers)
}
