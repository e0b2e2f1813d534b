package inventory

import (
	"encoding/json"
	"fmt"
)

// Entry returns the entry of c with the key. Limits that are all zero count as
// not found.
func (c Config) Entry(key Key) (entry Entry, found bool, err error) {
	var value any
	switch key.Kind {
	case RegionKind:
		value, found = lookupAny(c.Regions, key.Name)
	case PoolEntryKind:
		value, found = lookupAny(c.Pools, key.Name)
	case UpstreamKind:
		value, found = lookupAny(c.Upstreams, key.Name)
	case OrganisationKind:
		value, found = lookupAny(c.Organisations, key.Name)
	case OperatorKind:
		value, found = lookupAny(c.Operators, key.Name)
	case TierKind:
		value, found = lookupAny(c.Tiers, key.Name)
	case RouteKind:
		value, found = lookupAny(c.Routes, key.Name)
	case MoveKind:
		value, found = lookupAny(c.Moves, key.Name)
	case LimitsKind:
		value, found = c.Limits, c.Limits != Limits{}
	default:
		return entry, false, fmt.Errorf("unknown kind %q", key.Kind)
	}
	if !found {
		return entry, false, nil
	}
	content, err := json.Marshal(value)
	return Entry{Key: key, Value: content}, true, err
}

func lookupAny[T Named](list []T, name string) (value any, found bool) {
	return Lookup(list, name)
}

// Replaced returns the entries of c that d replaces or removes, as they are in
// c.
func (c Config) Replaced(d Delta) (entries []Entry, err error) {
	for _, key := range d.Keys() {
		entry, found, err := c.Entry(key)
		if err != nil {
			return nil, err
		}
		if found {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}

// Inverse returns the change that reverts the accepted change d. The caller
// fills in its base, author, change id and time.
func (d Delta) Inverse() (inverse Delta) {
	inverse.Set = d.Replaced
	replaced := map[Key]bool{}
	for _, e := range d.Replaced {
		replaced[e.Key] = true
	}
	for _, e := range d.Set {
		if !replaced[e.Key] {
			inverse.Remove = append(inverse.Remove, e.Key)
		}
	}
	return inverse
}
