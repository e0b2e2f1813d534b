package inventory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"yuccaspread/common/clock"
)

// Kind names a list of a Config. LimitsKind has a single entry without a name.
type Kind string

// The kinds of entry, in the order in which they refer to each other. The kind
// of pools is PoolEntryKind, as PoolKind is the type of Pool.Kind.
const (
	RegionKind       Kind = "region"
	PoolEntryKind    Kind = "pool"
	UpstreamKind     Kind = "upstream"
	OrganisationKind Kind = "organisation"
	OperatorKind     Kind = "operator"
	TierKind         Kind = "tier"
	RouteKind        Kind = "route"
	MoveKind         Kind = "move"
	LimitsKind       Kind = "limits"
)

// Key names one entry of a Config.
type Key struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name,omitempty"`
}

// Entry is one entry of a Config, its key and its content.
type Entry struct {
	Key
	// Value is the entry in JSON; the name in it equals Name.
	Value json.RawMessage `json:"value"`
}

// Delta is one accepted or proposed change of a Config.
type Delta struct {
	// Base is the revision that the change applies to; it leads to Base+1.
	Base int64 `json:"base"`
	// ChangeID is chosen by the author, so that a repeated call is recognised.
	ChangeID string `json:"change_id"`
	// Author is the name of the operator.
	Author string `json:"author"`
	// Time is when a daemon accepted the change.
	Time clock.Millis `json:"time_ms"`
	// Set adds or replaces entries.
	Set []Entry `json:"set,omitempty"`
	// Remove removes entries; it must not name an entry of Set.
	Remove []Key `json:"remove,omitempty"`
	// Replaced holds the entries as they were before the change: those of Set
	// that existed and all of Remove. It is filled in on acceptance.
	Replaced []Entry `json:"replaced,omitempty"`
}

// Keys returns the keys of all entries that d touches.
func (d Delta) Keys() []Key {
	keys := slices.Clone(d.Remove)
	for _, e := range d.Set {
		keys = append(keys, e.Key)
	}
	return keys
}

// SameChanges reports whether d and other set and remove the same entries, whatever
// their author, base and time are.
func (d Delta) SameChanges(other Delta) bool {
	return slices.EqualFunc(d.Set, other.Set, func(a, b Entry) bool {
		return a.Key == b.Key && equalJSON(a.Value, b.Value)
	}) && slices.Equal(d.Remove, other.Remove)
}

func equalJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// Apply returns the configuration that results from applying d to c. It leaves
// c unchanged and shares with it the lists that d does not touch. It returns c
// and an error if d has another base, an entry cannot be decoded or d removes
// an entry that does not exist.
func (c Config) Apply(d Delta) (next Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("apply change %q to revision %d: %w", d.ChangeID, c.Revision, err)
		}
	}()
	if d.Base != c.Revision {
		return c, fmt.Errorf("change is based on revision %d", d.Base)
	}
	next = c
	for _, kind := range changedKinds(d) {
		if err = next.applyKind(kind, d); err != nil {
			return c, err
		}
	}
	next.Revision = c.Revision + 1
	return next, nil
}

func changedKinds(d Delta) []Kind {
	var kinds []Kind
	for _, e := range d.Set {
		kinds = append(kinds, e.Kind)
	}
	for _, k := range d.Remove {
		kinds = append(kinds, k.Kind)
	}
	slices.Sort(kinds)
	return slices.Compact(kinds)
}

func (c *Config) applyKind(kind Kind, d Delta) (err error) {
	switch kind {
	case RegionKind:
		c.Regions, err = applyList(c.Regions, kind, d)
	case PoolEntryKind:
		c.Pools, err = applyList(c.Pools, kind, d)
	case UpstreamKind:
		c.Upstreams, err = applyList(c.Upstreams, kind, d)
	case OrganisationKind:
		c.Organisations, err = applyList(c.Organisations, kind, d)
	case OperatorKind:
		c.Operators, err = applyList(c.Operators, kind, d)
	case TierKind:
		c.Tiers, err = applyList(c.Tiers, kind, d)
	case RouteKind:
		c.Routes, err = applyList(c.Routes, kind, d)
	case MoveKind:
		c.Moves, err = applyList(c.Moves, kind, d)
	case LimitsKind:
		c.Limits, err = applyLimits(c.Limits, d)
	default:
		err = fmt.Errorf("unknown kind %q", kind)
	}
	return err
}

// Named is implemented by every entry that has a name.
type Named interface {
	EntryName() string
}

// EntryName implements Named.
func (r Region) EntryName() string { return r.Name }

// EntryName implements Named.
func (p Pool) EntryName() string { return p.Name }

// EntryName implements Named.
func (u Upstream) EntryName() string { return u.Name }

// EntryName implements Named.
func (o Organisation) EntryName() string { return o.Name }

// EntryName implements Named.
func (o Operator) EntryName() string { return o.Name }

// EntryName implements Named.
func (t Tier) EntryName() string { return t.Name }

// EntryName implements Named.
func (r Route) EntryName() string { return r.Name }

// EntryName implements Named.
func (m Move) EntryName() string { return m.Name }

// applyList returns a copy of list, sorted by name, with the changes of d of
// the kind applied. list must be sorted by name.
func applyList[T Named](list []T, kind Kind, d Delta) (next []T, err error) {
	next = slices.Clone(list)
	for _, e := range d.Set {
		if e.Kind != kind {
			continue
		}
		var value T
		if err = json.Unmarshal(e.Value, &value); err != nil {
			return nil, fmt.Errorf("%s %q: %w", kind, e.Name, err)
		}
		if value.EntryName() != e.Name {
			return nil, fmt.Errorf("%s %q: the entry's value has the name %q", kind, e.Name, value.EntryName())
		}
		index, found := search(next, e.Name)
		if found {
			next[index] = value
			continue
		}
		next = slices.Insert(next, index, value)
	}
	for _, k := range d.Remove {
		if k.Kind != kind {
			continue
		}
		index, found := search(next, k.Name)
		if !found {
			return nil, fmt.Errorf("%s %q: cannot remove an entry that does not exist", kind, k.Name)
		}
		next = slices.Delete(next, index, index+1)
	}
	return next, nil
}

func applyLimits(limits Limits, d Delta) (next Limits, err error) {
	next = limits
	for _, e := range d.Set {
		if e.Kind != LimitsKind {
			continue
		}
		next = Limits{}
		if err = json.Unmarshal(e.Value, &next); err != nil {
			return limits, fmt.Errorf("limits: %w", err)
		}
	}
	for _, k := range d.Remove {
		if k.Kind == LimitsKind {
			next = Limits{}
		}
	}
	return next, nil
}

// search returns the index of the entry with the name in a sorted list, or the
// index at which it would be inserted.
func search[T Named](list []T, name string) (index int, found bool) {
	return slices.BinarySearchFunc(list, name, func(e T, name string) int {
		return cmp.Compare(e.EntryName(), name)
	})
}

// Lookup returns the entry with the name. list must be sorted by name, as the
// lists of an accepted Config are.
func Lookup[T Named](list []T, name string) (entry T, found bool) {
	index, found := search(list, name)
	if found {
		entry = list[index]
	}
	return entry, found
}

// Sorted returns a copy of c in which every list is sorted by name.
func (c Config) Sorted() Config {
	c.Regions = sorted(c.Regions)
	c.Pools = sorted(c.Pools)
	c.Upstreams = sorted(c.Upstreams)
	c.Organisations = sorted(c.Organisations)
	c.Operators = sorted(c.Operators)
	c.Tiers = sorted(c.Tiers)
	c.Routes = sorted(c.Routes)
	c.Moves = sorted(c.Moves)
	return c
}

func sorted[T Named](list []T) []T {
	list = slices.Clone(list)
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(a.EntryName(), b.EntryName()) })
	return list
}

// Diff returns the delta that turns c into wanted. Its base is c's revision;
// the caller fills in the author, change id and time.
func (c Config) Diff(wanted Config) (d Delta, err error) {
	d.Base = c.Revision
	err = firstError(
		diffList(&d, RegionKind, c.Regions, wanted.Regions),
		diffList(&d, PoolEntryKind, c.Pools, wanted.Pools),
		diffList(&d, UpstreamKind, c.Upstreams, wanted.Upstreams),
		diffList(&d, OrganisationKind, c.Organisations, wanted.Organisations),
		diffList(&d, OperatorKind, c.Operators, wanted.Operators),
		diffList(&d, TierKind, c.Tiers, wanted.Tiers),
		diffList(&d, RouteKind, c.Routes, wanted.Routes),
		diffList(&d, MoveKind, c.Moves, wanted.Moves),
	)
	if err != nil || c.Limits == wanted.Limits {
		return d, err
	}
	value, err := json.Marshal(wanted.Limits)
	d.Set = append(d.Set, Entry{Key: Key{Kind: LimitsKind}, Value: value})
	return d, err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func diffList[T Named](d *Delta, kind Kind, old, wanted []T) (err error) {
	old, wanted = sorted(old), sorted(wanted)
	for _, entry := range wanted {
		current, found := Lookup(old, entry.EntryName())
		if found && reflect.DeepEqual(current, entry) {
			continue
		}
		value, err := json.Marshal(entry)
		if err != nil {
			return fmt.Errorf("%s %q: %w", kind, entry.EntryName(), err)
		}
		d.Set = append(d.Set, Entry{Key: Key{Kind: kind, Name: entry.EntryName()}, Value: value})
	}
	for _, previous := range old {
		if _, found := Lookup(wanted, previous.EntryName()); !found {
			d.Remove = append(d.Remove, Key{Kind: kind, Name: previous.EntryName()})
		}
	}
	return nil
}

// Empty reports whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Set) == 0 && len(d.Remove) == 0
}
