// Package keeper estimates how much of a prompt an upstream still holds in its memory. It counts
// what was sent there since each part was last used: an engine drops what was unused the longest
// once its memory is full.
package keeper

import (
	"maps"
	"math"

	"yuccaspread/common/clock"
)

// Part is a part that prompts share. A part is of use only together with all parts before it.
type Part struct {
	Hash   uint64 `json:"hash"`
	Tokens int    `json:"tokens"`
}

const (
	// surelyKept and surelyDropped are the shares of the free memory that may be used up since a part
	// was used until it counts as kept for sure, and from which on it counts as dropped.
	surelyKept    = 0.8
	surelyDropped = 1.2
	// halfLife is the time after which a part counts half where the memory is unknown.
	halfLife = 10 * clock.Second
	// trustWeight is the weight of the newest check in the trust.
	trustWeight = 0.1
	// maxParts bounds the parts that are remembered of one upstream.
	maxParts = 4096
)

// Keeper is the estimate for one upstream. The zero value knows of no part. It is not safe for
// concurrent use.
type Keeper struct {
	// volume is the number of tokens that the upstream has taken into its memory.
	volume float64
	uses   map[uint64]use
	// doubt is 1 minus the share of what was expected that checks have confirmed.
	doubt float64
	// checks is the number of these.
	checks int
}

// use is when a part was used last: the volume and the time at that moment.
type use struct {
	volume float64
	at     clock.Millis
}

// Use records that the upstream gets a prompt with the parts, and tokens in all with its answer.
func (k *Keeper) Use(now clock.Millis, parts []Part, tokens int) {
	k.volume += float64(max(tokens, 0))
	if len(parts) == 0 {
		return
	}
	if k.uses == nil {
		k.uses = map[uint64]use{}
	}
	if len(k.uses)+len(parts) > maxParts {
		k.dropOldest()
	}
	for _, p := range parts {
		k.uses[p.Hash] = use{k.volume, now}
	}
}

// dropOldest drops the parts that were used before the mean of all.
func (k *Keeper) dropOldest() {
	mean := 0.0
	for _, u := range k.uses {
		mean += u.volume / float64(len(k.uses))
	}
	maps.DeleteFunc(k.uses, func(_ uint64, u use) bool { return u.volume <= mean })
}

// Expected returns the number of leading tokens of a prompt that the upstream is expected to hold
// still. Capacity is its memory in tokens, 0 for unknown, and running what the requests on it take
// of that.
func (k *Keeper) Expected(now clock.Millis, parts []Part, capacity, running int) (tokens int) {
	if len(k.uses) == 0 {
		return 0
	}
	kept, sum := 1.0, 0.0
	for _, p := range parts {
		u, found := k.uses[p.Hash]
		if !found {
			break
		}
		kept = min(kept, k.retention(now, u, capacity, running))
		sum += kept * float64(p.Tokens)
	}
	return int(sum * (1 - k.doubt))
}

// retention returns the probability that a part is still held.
func (k *Keeper) retention(now clock.Millis, u use, capacity, running int) float64 {
	if capacity <= 0 {
		return math.Exp2(-float64(max(now-u.at, 0)) / float64(halfLife))
	}
	free := float64(max(capacity-running, 1))
	return min(max((surelyDropped*free-(k.volume-u.volume))/((surelyDropped-surelyKept)*free), 0), 1)
}

// Age returns how long ago the first part was used here; known is false if it never was.
func (k *Keeper) Age(now clock.Millis, parts []Part) (age clock.Millis, known bool) {
	if len(parts) == 0 {
		return 0, false
	}
	u, known := k.uses[parts[0].Hash]
	return now - u.at, known
}

// Check records the share of what was expected that was confirmed, in [0, 1].
func (k *Keeper) Check(confirmed float64) {
	k.doubt += trustWeight * (1 - min(max(confirmed, 0), 1) - k.doubt)
	k.checks++
}

// Trust returns the share of what is expected that checks have confirmed, and the number of checks.
func (k *Keeper) Trust() (share float64, checks int) { return 1 - k.doubt, k.checks }

// Forget drops all parts, as the upstream has lost its memory.
func (k *Keeper) Forget() { k.uses = nil }
