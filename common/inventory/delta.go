package inventory

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"yuccaspread/common/clock"
)

// Kind names a list of a Config. LimitsKind has a single entry without name.
type Kind string

// The kinds of entry, in the order in which they refer to each other.
const (
	RegionKind       Kind = "region"
	PoolKindEntry    Kind = "pool"
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

// Entry is one entry of a Config with its content.
type Entry struct {
	Key
	// Value is the JSON form of the entry's type; its name equals Name.
	Value json.RawMessage `json:"value"`
}

// Delta is one accepted or proposed change.
type Delta struct {
	// Base is the revision that the author saw; the change has Base+1.
	Base int64 `json:"base"`
	// ChangeID is chosen by the author, so that a repeated call is recognised.
	ChangeID string `json:"change_id"`
	// Author is the name of the operator.
	Author string `json:"author"`
	// Time is when a daemon accepted the change.
	Time clock.Millis `json:"time_ms"`
	// Set adds or replaces entries.
	Set []Entry `json:"set,omitempty"`
	// Remove removes entries; it names none that Set names.
	Remove []Key `json:"remove,omitempty"`
	// Replaced are the entries as they stood before the change: those of Set
	// that were there and all of Remove. It is filled in on acceptance.
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

// Same tells whether both ask for the same, whoever asks.
func (d Delta) Same(other Delta) bool {
	return slices.EqualFunc(d.Set, other.Set, func(a, b Entry) bool {
		return a.Key == b.Key && sameJSON(a.Value, b.Value)
	}) && slices.Equal(d.Remove, other.Remove)
}

func sameJSON(a, b json.RawMessage) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// Apply returns the configuration that d leads to. The receiver is unchanged
// and shares what d does not touch. Removing an absent entry is an error.
func (c Config) Apply(d Delta) (next Config, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("apply change %q to revision %d: %w", d.ChangeID, c.Revision, err)
		}
	}()
	if d.Base != c.Revision {
		return c, fmt.Errorf("change has base %d", d.Base)
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
	case PoolKindEntry:
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

// applyList returns a sorted copy of list with the changes of d of this kind.
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
			return nil, fmt.Errorf("%s %q: its value has the name %q", kind, e.Name, value.EntryName())
		}
		at, found := find(next, e.Name)
		if found {
			next[at] = value
			continue
		}
		next = slices.Insert(next, at, value)
	}
	for _, k := range d.Remove {
		if k.Kind != kind {
			continue
		}
		at, found := find(next, k.Name)
		if !found {
			return nil, fmt.Errorf("%s %q: not there to be removed", kind, k.Name)
		}
		next = slices.Delete(next, at, at+1)
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

func find[T Named](list []T, name string) (at int, found bool) {
	return slices.BinarySearchFunc(list, name, func(e T, name string) int {
		return cmp.Compare(e.EntryName(), name)
	})
}

// Lookup returns the entry with the name; lists of an accepted Config are
// sorted by name.
func Lookup[T Named](list []T, name string) (entry T, found bool) {
	at, found := find(list, name)
	if found {
		entry = list[at]
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

// Diff returns the delta that leads from c to wanted. Its base is c's
// revision; the author, change id and time are left for the caller.
func (c Config) Diff(wanted Config) (d Delta, err error) {
	d.Base = c.Revision
	err = firstError(
		diffList(&d, RegionKind, c.Regions, wanted.Regions),
		diffList(&d, PoolKindEntry, c.Pools, wanted.Pools),
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
	for _, w := range wanted {
		present, found := Lookup(old, w.EntryName())
		if found && reflect.DeepEqual(present, w) {
			continue
		}
		value, err := json.Marshal(w)
		if err != nil {
			return fmt.Errorf("%s %q: %w", kind, w.EntryName(), err)
		}
		d.Set = append(d.Set, Entry{Key: Key{Kind: kind, Name: w.EntryName()}, Value: value})
	}
	for _, o := range old {
		if _, found := Lookup(wanted, o.EntryName()); !found {
			d.Remove = append(d.Remove, Key{Kind: kind, Name: o.EntryName()})
		}
	}
	return nil
}

// Empty tells whether the delta changes nothing.
func (d Delta) Empty() bool {
	return len(d.Set) == 0 && len(d.Remove) == 0
}
