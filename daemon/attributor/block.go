package attributor

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// Block refuses requests with all of its keys. Keys that were running at the same crashes in the
// same requests are blocked together, until a request with only some of them is completed or crashes an
// upstream.
type Block struct {
	// Keys are sorted.
	Keys  []uint64
	Until clock.Millis
	// LastCrash is the start of the last crash, or group of simultaneous crashes, that the keys
	// explain.
	LastCrash clock.Millis
	// Provisional is set while the keys explain simultaneous crashes only. Upstreams that went
	// down together for another reason look the same, so that single requests are tried.
	Provisional bool
	// Upstreams are those whose crashes the keys explain, sorted by name.
	Upstreams []string
}

// id returns a hash that is equal for the same block at all daemons.
func (b *Block) id() uint64 {
	var buffer []byte
	for _, key := range b.Keys {
		buffer = binary.LittleEndian.AppendUint64(buffer, key)
	}
	return xxhash.Sum64(buffer)
}

func (b *Block) matches(keys []uint64) bool {
	for _, key := range b.Keys {
		if !slices.Contains(keys, key) {
			return false
		}
	}
	return true
}

// blockEnd returns until when a key is part of a block, 0 for never.
func (c *Core) blockEnd(key uint64) (until clock.Millis) {
	for _, b := range c.blocks {
		if slices.Contains(b.Keys, key) {
			until = max(until, b.Until)
		}
	}
	return until
}

// updateBlocks attributes the crashes to keys anew and tells what changed.
func (c *Core) updateBlocks(now clock.Millis) (effects []Effect) {
	before := c.blocks
	c.blocks = nil
	if !c.isCold(now) {
		c.blocks = c.attribute()
	}
	for _, b := range c.blocks {
		if b.Until > now && !isBlocked(before, b, now) {
			effects = append(effects, Blocked{Block: b})
		}
	}
	for _, b := range before {
		if b.Until > now && !isBlocked(c.blocks, b, now) {
			effects = append(effects, Unblocked{Block: b})
		}
	}
	return effects
}

// isBlocked reports whether one of the blocks has the same keys as another and is in force.
func isBlocked(blocks []Block, other Block, now clock.Millis) bool {
	return slices.ContainsFunc(blocks, func(b Block) bool { return b.Until > now && slices.Equal(b.Keys, other.Keys) })
}

// suspicion is what the crashes that no block explains yet say about a key.
type suspicion struct {
	// crashes counts the crashes at different times; first and last are when the first and
	// the last of these were.
	crashes     int
	first, last clock.Millis
	upstreams   []string
	// requests are those that were running at the crashes.
	requests []uint64
}

// suffices reports whether the crashes block a key.
func (c *Core) suffices(s suspicion, isRequest bool) bool {
	atOnce := blockingUpstreams
	if isRequest {
		atOnce = blockingCrashes
	}
	return s.crashes >= blockingCrashes || len(s.upstreams) >= atOnce && s.first >= c.Started+provenWindow
}

// isProvisional reports whether the crashes may have been one event.
func (s *suspicion) isProvisional() bool {
	return s.crashes < blockingCrashes && s.last-s.first < trialDelay
}

// attribute returns the blocks that follow from the reports: the parts that explain most
// crashes first, then the single requests that explain the others.
func (c *Core) attribute() (blocks []Block) {
	var parts, requests []uint64
	for key, list := range c.reports {
		switch {
		case !mayBlock(list):
		case list[0].isOfRequest():
			requests = append(requests, key)
		default:
			parts = append(parts, key)
		}
	}
	explained := map[string]bool{}
	for _, keys := range [][]uint64{parts, requests} {
		// The same order at all daemons leads to the same blocks.
		slices.Sort(keys)
		for {
			block, found := c.nextBlock(keys, explained)
			if !found {
				break
			}
			for _, upstream := range block.Upstreams {
				explained[upstream] = true
			}
			blocks = append(blocks, block)
		}
	}
	return append(blocks, c.rivalBlocks(parts, blocks, explained)...)
}

// mayBlock reports whether a key has enough reports to be blocked.
func mayBlock(list []Report) bool {
	valid := 0
	for _, r := range list {
		if !r.Void {
			valid++
		}
	}
	return valid >= blockingCrashes
}

// nextBlock returns the block of the keys that explain most of the crashes that are not
// explained.
func (c *Core) nextBlock(keys []uint64, explained map[string]bool) (block Block, found bool) {
	var most suspicion
	for _, key := range keys {
		s := c.suspect(key, explained)
		switch {
		case !c.suffices(s, c.reports[key][0].isOfRequest()):
		case len(s.upstreams) > len(most.upstreams):
			most = s
			block.Keys = []uint64{key}
		case slices.Equal(s.upstreams, most.upstreams) && shareHalf(s.requests, most.requests):
			block.Keys = append(block.Keys, key)
		}
	}
	if most.crashes == 0 {
		return block, false
	}
	block.Upstreams, block.LastCrash, block.Provisional = most.upstreams, most.last, most.isProvisional()
	block.Until = most.last + c.Retention<<min(max(most.crashes-blockingCrashes, 0), maxDoublings)
	return block, true
}

// suspect returns what the crashes that are not explained say about a key.
func (c *Core) suspect(key uint64, explained map[string]bool) (s suspicion) {
	for _, r := range c.reports[key] {
		if r.Void || explained[r.Upstream] {
			continue
		}
		if s.crashes == 0 {
			s.first = r.At
		}
		if s.crashes == 0 || r.At-s.last >= minCrashGap {
			s.crashes++
			s.last = r.At
		}
		s.upstreams = append(s.upstreams, r.Upstream)
		if !slices.Contains(s.requests, r.Request) {
			s.requests = append(s.requests, r.Request)
		}
	}
	if len(s.requests) < blockingRequests && !slices.Contains(s.requests, key) {
		return suspicion{}
	}
	if float64(s.crashes) < minExplainedShare*float64(c.crashesBetween(s.first, s.last, explained)) {
		return suspicion{}
	}
	slices.SortFunc(s.upstreams, cmp.Compare)
	return s
}

// crashesBetween returns the number of crashes at different times between two moments that
// are not explained.
func (c *Core) crashesBetween(first, last clock.Millis, explained map[string]bool) (count int) {
	previous := first - minCrashGap
	index, _ := slices.BinarySearchFunc(c.crashes, first, func(k crash, at clock.Millis) int { return cmp.Compare(k.at, at) })
	for _, k := range c.crashes[index:] {
		if k.at > last {
			break
		}
		if !explained[k.upstream] && k.at-previous >= minCrashGap {
			count++
			previous = k.at
		}
	}
	return count
}
