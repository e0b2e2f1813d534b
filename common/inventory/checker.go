package inventory

import (
	"errors"
	"fmt"
	"math"
	"regexp"

	"yuccaspread/common/clock"
)

// Mistake is one thing that is wrong with a configuration.
type Mistake struct {
	// Key names the entry; its name may be empty.
	Key Key `json:"key"`
	// Field is the name of the field in snake case, empty for the entry as a
	// whole.
	Field string `json:"field,omitempty"`
	// Problem is an English phrase for people.
	Problem string `json:"problem"`
}

// Error implements error.
func (m Mistake) Error() string {
	place := string(m.Key.Kind)
	if m.Key.Name != "" {
		place += fmt.Sprintf(" %q", m.Key.Name)
	}
	if m.Field != "" {
		place += " " + m.Field
	}
	return place + ": " + m.Problem
}

// MinAddressLifetime is the least AddressLifetimeMS that may be set.
const MinAddressLifetime = 1 * clock.Second

// Ranges that Check holds entries to.
const (
	maxNameBytes       = 128
	maxSlots           = 100_000
	maxDeadline        = clock.Day
	maxAddressLifetime = 5 * clock.Minute
	maxRetention       = 366 * clock.Day
	maxSoak            = 90 * clock.Day
	maxFirstShare      = 0.2
	maxEjectShare      = 0.5
	// minDue and maxDue are the years 2020 and 2100: a date outside of them
	// was written in another unit.
	minDue = 1_577_836_800_000 * clock.Millisecond
	maxDue = 4_102_444_800_000 * clock.Millisecond
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns every mistake of c, nil where it can be brought in force.
func (c Config) Check() []error {
	k := &checker{config: c}
	k.regions()
	k.pools()
	k.upstreams()
	k.organisations()
	k.operators()
	k.tiers()
	k.routes()
	k.moves()
	k.limits()
	k.service()
	return k.mistakes
}

// CheckDates returns the mistakes of a change that only matter at the time at
// which it is accepted: a move that is to run must be due later.
func (c Config) CheckDates(d Delta, now clock.Millis) (mistakes []error) {
	for _, e := range d.Set {
		if e.Kind != MoveKind {
			continue
		}
		m, found := Lookup(c.Moves, e.Name)
		if found && m.State == MoveRun && m.Due <= now {
			mistakes = append(mistakes, Mistake{e.Key, "due_ms", "is in the past"})
		}
	}
	return mistakes
}

// Mistakes returns the mistakes that err wraps.
func Mistakes(err error) (found []Mistake) {
	var one Mistake
	if errors.As(err, &one) {
		found = append(found, one)
	}
	var many interface{ Unwrap() []error }
	if errors.As(err, &many) {
		found = nil
		for _, e := range many.Unwrap() {
			found = append(found, Mistakes(e)...)
		}
	}
	return found
}

// checker collects the mistakes of one configuration.
type checker struct {
	config   Config
	mistakes []error
}

func (k *checker) add(kind Kind, name, field, format string, args ...any) {
	k.mistakes = append(k.mistakes, Mistake{Key{kind, name}, field, fmt.Sprintf(format, args...)})
}

// want adds a mistake unless holds is true.
func (k *checker) want(holds bool, kind Kind, name, field, format string, args ...any) {
	if !holds {
		k.add(kind, name, field, format, args...)
	}
}

// finite tells whether a number is neither infinite, negative nor undefined.
func finite(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0)
}

func within[T int | int64 | float64 | clock.Millis](v, low, high T) bool {
	return v >= low && v <= high
}

// names checks the names of a list and returns them as a set.
func names[T Named](k *checker, kind Kind, list []T) map[string]bool {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		name := e.EntryName()
		switch {
		case len(name) > maxNameBytes:
			k.add(kind, name[:maxNameBytes], "name", "is longer than %d bytes", maxNameBytes)
		case !namePattern.MatchString(name):
			k.add(kind, name, "name", "must start with a letter or digit and hold letters, digits, '.', '_' and '-' only")
		case seen[name]:
			k.add(kind, name, "name", "is there twice")
		}
		seen[name] = true
	}
	return seen
}

// set returns the names of a list without checking them.
func set[T Named](list []T) map[string]bool {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		seen[e.EntryName()] = true
	}
	return seen
}

func (k *checker) regions() {
	known := names(k, RegionKind, k.config.Regions)
	domains := map[string]string{}
	for _, r := range k.config.Regions {
		for _, domain := range r.FailureDomains {
			other, found := domains[domain]
			k.want(!found, RegionKind, r.Name, "failure_domains", "%q is already one of region %q", domain, other)
			k.want(domain != "", RegionKind, r.Name, "failure_domains", "holds an empty name")
			domains[domain] = r.Name
		}
		seen := map[string]bool{r.Name: true}
		for _, n := range r.Nearest {
			k.want(known[n], RegionKind, r.Name, "nearest", "there is no region %q", n)
			k.want(!seen[n], RegionKind, r.Name, "nearest", "%q is there twice or the region itself", n)
			seen[n] = true
		}
	}
}

func (k *checker) pools() {
	names(k, PoolKindEntry, k.config.Pools)
	for _, p := range k.config.Pools {
		switch p.Kind {
		case PoolModel:
			k.want(p.Model != "", PoolKindEntry, p.Name, "model", "is missing")
		case PoolService:
			k.want(p.Model == "", PoolKindEntry, p.Name, "model", "must be empty for a service")
		default:
			k.add(PoolKindEntry, p.Name, "kind", "%q is neither %q nor %q", p.Kind, PoolModel, PoolService)
		}
	}
}

func (k *checker) limits() {
	l := k.config.Limits
	check := func(holds bool, field, format string, args ...any) {
		k.want(holds, LimitsKind, "", field, format, args...)
	}
	check(within(l.KeyRetentionMS, 0, maxRetention), "key_retention_ms", "must be from 0 to %d", maxRetention)
	check(within(l.ConvictionMS, 0, maxRetention), "conviction_ms", "must be from 0 to %d", maxRetention)
	check(l.AddressLifetimeMS == 0 || within(l.AddressLifetimeMS, MinAddressLifetime, maxAddressLifetime),
		"address_lifetime_ms", "must be from %d to %d", MinAddressLifetime, maxAddressLifetime)
	check(finite(l.RetryShare) && l.RetryShare <= 1, "retry_share", "must be from 0 to 1")
	check(finite(l.EjectShare) && l.EjectShare <= maxEjectShare, "eject_share", "must be from 0 to %v", maxEjectShare)
	check(l.QueuePerShard >= 0, "queue_per_shard", "must not be negative")
	check(l.BodyBytes >= 0, "body_bytes", "must not be negative")
	check(l.StoredAnswerBytes >= 0, "stored_answer_bytes", "must not be negative")
}

// service adds a mistake where no request of any tier could be served.
func (k *checker) service() {
	c := k.config
	if len(c.Tiers) == 0 || len(c.Routes) == 0 || len(c.Upstreams) == 0 {
		return
	}
	staffed := map[string]bool{}
	for _, u := range c.Upstreams {
		staffed[u.Pool] = staffed[u.Pool] || !u.Leaving
	}
	possible := map[string]bool{}
	for _, t := range c.Tiers {
		possible[t.Name] = t.DeadlineMS > 0 && t.FirstTokenMS <= t.DeadlineMS
	}
	for _, r := range c.Routes {
		if staffed[r.Pool] && possible[r.Tier] {
			return
		}
	}
	k.add(TierKind, "", "", "every tier would be shed: no route leads from a tier that can meet its deadline to a pool with an upstream that stays")
}
