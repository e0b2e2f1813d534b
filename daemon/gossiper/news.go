package gossiper

import (
	"cmp"
	"slices"
)

// news counts how often each row was sent since it changed.
type news map[string]item

type item struct {
	// sent is the number of packets that the row went out with.
	sent int
	// minor marks changes of load and revision, which go after all others.
	minor bool
}

// add makes the row due again; a minor change leaves a waiting one in place.
func (n news) add(name string, minor bool) {
	old, found := n[name]
	if found && !old.minor {
		minor = false
	}
	n[name] = item{minor: minor}
}

// take returns at most count names, the least sent first, and drops those
// that were sent limit times.
func (n news) take(count, limit int) []string {
	names := make([]string, 0, len(n))
	for name := range n {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := n[a], n[b]
		if x.minor != y.minor {
			if x.minor {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(x.sent, y.sent), cmp.Compare(a, b))
	})
	names = names[:min(count, len(names))]
	for _, name := range names {
		i := n[name]
		i.sent++
		n[name] = i
		if i.sent >= limit {
			delete(n, name)
		}
	}
	return names
}
