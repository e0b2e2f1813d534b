// Package placer judges what a request would cost on each upstream: which
// blocks of its prompt are cached there, when its first token and its end can
// be expected and how much the upstream takes at once.
package placer

import "math/bits"

// MaxPlaces bounds the upstreams that an Index tells apart.
const MaxPlaces = 64

// defaultBlocks bounds an Index that has no bound of its own.
const defaultBlocks = 1 << 17

// Index knows which blocks of prompts are cached on which upstreams. What it
// knows may be late or wrong; responses correct it. Blocks that nobody asked
// for lately are forgotten first. The zero value is empty.
type Index struct {
	// Blocks bounds the blocks that are known; 0 means a default.
	Blocks int

	// fresh holds the blocks used since the last turn, old those before it.
	// A block's value has the bit of each place that caches it.
	fresh, old map[uint64]uint64
}

// Depths holds the number of leading blocks that each place caches.
type Depths [MaxPlaces]uint8

// Match returns the cached leading blocks for the places in the mask.
func (x *Index) Match(hashes []uint64, places uint64) (depths Depths) {
	left := places
	for i, hash := range hashes {
		next := left & x.get(hash)
		setAll(&depths, left&^next, uint8(i))
		left = next
		if left == 0 {
			return depths
		}
	}
	setAll(&depths, left, uint8(len(hashes)))
	return depths
}

func setAll(depths *Depths, mask uint64, depth uint8) {
	for ; mask != 0; mask &= mask - 1 {
		depths[bits.TrailingZeros64(mask)] = depth
	}
}

// Store notes that a place caches the blocks.
func (x *Index) Store(hashes []uint64, place int) {
	for _, hash := range hashes {
		known, fresh := x.fresh[hash]
		switch {
		case !fresh:
			x.set(hash, x.old[hash]|1<<place)
		case known&(1<<place) == 0:
			x.fresh[hash] = known | 1<<place
		}
	}
}

// Remove notes that a place no longer caches the blocks.
func (x *Index) Remove(hashes []uint64, place int) {
	for _, hash := range hashes {
		if known := x.get(hash); known&(1<<place) != 0 {
			x.set(hash, known&^(1<<place))
		}
	}
}

// Forget drops all blocks of a place.
func (x *Index) Forget(place int) {
	for _, blocks := range []map[uint64]uint64{x.fresh, x.old} {
		for hash := range blocks {
			blocks[hash] &^= 1 << place
		}
	}
}

// Len returns the number of blocks that are known.
func (x *Index) Len() int { return len(x.fresh) + len(x.old) }

func (x *Index) get(hash uint64) uint64 {
	if places, found := x.fresh[hash]; found {
		return places
	}
	return x.old[hash]
}

func (x *Index) set(hash, places uint64) {
	limit := x.Blocks
	if limit <= 0 {
		limit = defaultBlocks
	}
	if x.fresh == nil {
		x.fresh = map[uint64]uint64{}
		x.old = map[uint64]uint64{}
	}
	if len(x.fresh) >= max(limit/2, 1) {
		// The map that is emptied keeps its room for the next turn.
		clear(x.old)
		x.fresh, x.old = x.old, x.fresh
	}
	x.fresh[hash] = places
}
