package attributor

import "slices"

// rivalBlocks returns blocks of the parts that were running at most of the crashes of another block
// too, in other requests: more than one part may be bad. They stay provisional until the part
// crashes an upstream that no block explains, and later than the first ones.
func (c *Core) rivalBlocks(parts []uint64, blocks []Block, explained map[string]bool) (rivals []Block) {
	var blocked, requests []uint64
	mostUpstreams := 0
	for _, b := range blocks {
		mostUpstreams = max(mostUpstreams, len(b.Upstreams))
		blocked = append(blocked, b.Keys...)
		for _, key := range b.Keys {
			for _, r := range c.reports[key] {
				requests = append(requests, r.Request)
			}
		}
	}
	for _, key := range parts {
		if slices.Contains(blocked, key) {
			continue
		}
		s := c.suspect(key, nil)
		if len(s.upstreams) < max(blockingUpstreams, mostUpstreams/2+1) || !c.suffices(s, false) || shareHalf(s.requests, requests) {
			continue
		}
		own := c.suspect(key, explained)
		rivals = append(rivals, Block{
			Keys: []uint64{key}, Until: s.last + c.Retention, LastCrash: s.last, Upstreams: s.upstreams,
			Provisional: own.crashes == 0 || own.last-s.first < trialDelay,
		})
	}
	return rivals
}

// shareHalf reports whether at least half of the requests are among others.
func shareHalf(requests, others []uint64) bool {
	shared := 0
	for _, r := range requests {
		if slices.Contains(others, r) {
			shared++
		}
	}
	return 2*shared >= len(requests)
}
