// Package placer is the cost model for choosing an upstream: which blocks of a
// prompt are cached there, when the first token and the end of the answer can be
// expected, and how many requests the upstream can serve concurrently.
package placer

import "math/bits"

// MaxUpstreams is the number of upstreams that an Index can distinguish: one for
// each bit of a mask.
const MaxUpstreams = 64

// defaultMaxBlocks applies where Index.MaxBlocks is 0.
const defaultMaxBlocks = 1 << 17

// Index maps prompt blocks to the upstreams that cache them. An upstream is
// identified by a bit in [0, MaxUpstreams). The entries may be outdated or wrong;
// responses correct them. Blocks that were not stored lately are dropped first.
// The zero value is empty.
type Index struct {
	// MaxBlocks bounds the number of blocks; 0 means a default.
	MaxBlocks int

	// recent holds the blocks stored since the last rotation of the two maps,
	// previous those stored between the last two rotations. The value is the mask of
	// the upstreams that cache a block.
	recent, previous map[uint64]uint64
}

// Depths holds the number of leading blocks that each upstream caches, by its bit.
type Depths [MaxUpstreams]uint8

// Match returns the number of cached leading blocks for the upstreams in the mask.
func (x *Index) Match(hashes []uint64, mask uint64) (depths Depths) {
	matching := mask
	for i, hash := range hashes {
		nextMatching := matching & x.get(hash)
		setDepth(&depths, matching&^nextMatching, uint8(i))
		matching = nextMatching
		if matching == 0 {
			return depths
		}
	}
	setDepth(&depths, matching, uint8(len(hashes)))
	return depths
}

// setDepth sets the depth of all upstreams in the mask.
func setDepth(depths *Depths, mask uint64, depth uint8) {
	for ; mask != 0; mask &= mask - 1 {
		depths[bits.TrailingZeros64(mask)] = depth
	}
}

// Store records that an upstream caches the blocks.
func (x *Index) Store(hashes []uint64, bit int) {
	for _, hash := range hashes {
		mask, isRecent := x.recent[hash]
		switch {
		case !isRecent:
			x.set(hash, x.previous[hash]|1<<bit)
		case mask&(1<<bit) == 0:
			x.recent[hash] = mask | 1<<bit
		}
	}
}

// Remove records that an upstream no longer caches the blocks.
func (x *Index) Remove(hashes []uint64, bit int) {
	for _, hash := range hashes {
		if mask := x.get(hash); mask&(1<<bit) != 0 {
			x.set(hash, mask&^(1<<bit))
		}
	}
}

// Forget removes an upstream from all blocks.
func (x *Index) Forget(bit int) {
	for _, blocks := range []map[uint64]uint64{x.recent, x.previous} {
		for hash := range blocks {
			blocks[hash] &^= 1 << bit
		}
	}
}

// Len returns the number of entries. A block that was stored again after a rotation
// counts twice.
func (x *Index) Len() int { return len(x.recent) + len(x.previous) }

// get returns the mask of the upstreams that cache a block.
func (x *Index) get(hash uint64) uint64 {
	if mask, found := x.recent[hash]; found {
		return mask
	}
	return x.previous[hash]
}

// set stores the mask of a block among the recent ones, and rotates the maps first
// when half of the blocks are recent.
func (x *Index) set(hash, mask uint64) {
	limit := x.MaxBlocks
	if limit <= 0 {
		limit = defaultMaxBlocks
	}
	if x.recent == nil {
		x.recent = map[uint64]uint64{}
		x.previous = map[uint64]uint64{}
	}
	if len(x.recent) >= max(limit/2, 1) {
		// The cleared map is reused, so that it keeps its allocated memory.
		clear(x.previous)
		x.recent, x.previous = x.previous, x.recent
	}
	x.recent[hash] = mask
}
