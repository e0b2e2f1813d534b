package inventory

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"

	"yuccaspread/common/clock"
)

// ValidationError is one mistake in a configuration or in a change of one.
type ValidationError struct {
	// Key names the entry; its name may be empty.
	Key Key `json:"key"`
	// Field is the name of the field in snake case, or empty if the mistake
	// concerns the entry as a whole.
	Field string `json:"field,omitempty"`
	// Problem describes the mistake in English, for people to read.
	Problem string `json:"problem"`
}

// Error implements error.
func (e ValidationError) Error() string {
	location := string(e.Key.Kind)
	if e.Key.Name != "" {
		location += fmt.Sprintf(" %q", e.Key.Name)
	}
	if e.Field != "" {
		location += " " + e.Field
	}
	return location + ": " + e.Problem
}

// MaxSlots is the largest number of slots of an upstream that Check accepts.
const MaxSlots = 100_000

// MinAddressLifetime is the smallest non-zero AddressLifetimeMS that Check
// accepts.
const MinAddressLifetime = 1 * clock.Second

// Limits that Check enforces on entries.
const (
	maxNameBytes       = 128
	maxDeadline        = clock.Day
	maxAddressLifetime = 5 * clock.Minute
	maxRetention       = 366 * clock.Day
	maxSoak            = 90 * clock.Day
	maxFirstShare      = 0.2
	maxEjectShare      = 0.5
	// minDue and maxDue are the starts of the years 2020 and 2100. A date
	// outside of them was probably written in a unit other than milliseconds.
	minDue = 1_577_836_800_000 * clock.Millisecond
	maxDue = 4_102_444_800_000 * clock.Millisecond
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Check returns every mistake of c, or nil if c may come into force.
func (c Config) Check() []error {
	k := &checker{config: c}
	k.checkRegions()
	k.checkPools()
	k.checkUpstreams()
	k.checkOrganisations()
	k.checkOperators()
	k.checkTiers()
	k.checkRoutes()
	k.checkMoves()
	k.checkLimits()
	k.checkServable()
	return k.mistakes
}

// CheckDates returns the mistakes of a change that depend on now, the time at
// which it is accepted: a move that is to run must be due later than now. c is
// the configuration with the change applied.
func (c Config) CheckDates(d Delta, now clock.Millis) (mistakes []error) {
	for _, e := range d.Set {
		if e.Kind != MoveKind {
			continue
		}
		m, found := Lookup(c.Moves, e.Name)
		if found && m.State == MoveRun && m.Due <= now {
			mistakes = append(mistakes, ValidationError{e.Key, "due_ms", "is in the past"})
		}
	}
	return mistakes
}

// ValidationErrors returns the mistakes that err wraps or joins.
func ValidationErrors(err error) (mistakes []ValidationError) {
	var mistake ValidationError
	if errors.As(err, &mistake) {
		mistakes = append(mistakes, mistake)
	}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		mistakes = nil
		for _, e := range joined.Unwrap() {
			mistakes = append(mistakes, ValidationErrors(e)...)
		}
	}
	return mistakes
}

// checker collects the mistakes of one configuration.
type checker struct {
	config   Config
	mistakes []error
}

func (k *checker) addMistake(kind Kind, name, field, format string, args ...any) {
	k.mistakes = append(k.mistakes, ValidationError{Key{kind, name}, field, fmt.Sprintf(format, args...)})
}

// require adds a mistake unless valid is true.
func (k *checker) require(valid bool, kind Kind, name, field, format string, args ...any) {
	if !valid {
		k.addMistake(kind, name, field, format, args...)
	}
}

// isFiniteNonNegative reports whether v is neither negative, infinite nor NaN.
func isFiniteNonNegative(v float64) bool {
	return v >= 0 && !math.IsInf(v, 0)
}

func inRange[T int | int64 | float64 | clock.Millis](v, low, high T) bool {
	return v >= low && v <= high
}

// checkNames checks the names of a list and returns them as a set.
func checkNames[T Named](k *checker, kind Kind, list []T) map[string]bool {
	seen := make(map[string]bool, len(list))
	for _, e := range list {
		name := e.EntryName()
		switch {
		case len(name) > maxNameBytes:
			k.addMistake(kind, name[:maxNameBytes], "name", "is longer than %d bytes", maxNameBytes)
		case !namePattern.MatchString(name):
			k.addMistake(kind, name, "name", "must start with a letter or digit and hold letters, digits, '.', '_' and '-' only")
		case seen[name]:
			k.addMistake(kind, name, "name", "is there twice")
		}
		seen[name] = true
	}
	return seen
}

// nameSet returns the names of a list without checking them.
func nameSet[T Named](list []T) map[string]bool {
	names := make(map[string]bool, len(list))
	for _, e := range list {
		names[e.EntryName()] = true
	}
	return names
}

func (k *checker) checkRegions() {
	regionNames := checkNames(k, RegionKind, k.config.Regions)
	regionByDomain := map[string]string{}
	for _, r := range k.config.Regions {
		for _, domain := range r.FailureDomains {
			other, found := regionByDomain[domain]
			k.require(!found, RegionKind, r.Name, "failure_domains", "%q is already one of region %q", domain, other)
			k.require(domain != "", RegionKind, r.Name, "failure_domains", "holds an empty name")
			regionByDomain[domain] = r.Name
		}
		seen := map[string]bool{r.Name: true}
		for _, nearest := range r.Nearest {
			k.require(regionNames[nearest], RegionKind, r.Name, "nearest", "there is no region %q", nearest)
			k.require(!seen[nearest], RegionKind, r.Name, "nearest", "%q is there twice or the region itself", nearest)
			seen[nearest] = true
		}
		for _, domain := range r.Evacuated {
			k.require(slices.Contains(r.FailureDomains, domain), RegionKind, r.Name, "evacuated", "the region has no failure domain %q", domain)
		}
	}
}

func (k *checker) checkPools() {
	checkNames(k, PoolEntryKind, k.config.Pools)
	for _, p := range k.config.Pools {
		switch p.Kind {
		case PoolModel:
			k.require(p.Model != "", PoolEntryKind, p.Name, "model", "is missing")
		case PoolService:
			k.require(p.Model == "", PoolEntryKind, p.Name, "model", "must be empty for a service")
		default:
			k.addMistake(PoolEntryKind, p.Name, "kind", "%q is neither %q nor %q", p.Kind, PoolModel, PoolService)
		}
		k.require(p.MemoryTokens >= 0, PoolEntryKind, p.Name, "memory_tokens", "must not be negative")
		k.checkCold(p)
	}
}

func (k *checker) checkCold(p Pool) {
	k.require(isFiniteNonNegative(p.Cold.PerSecond) && p.Cold.PerSecond <= MaxColdRate, PoolEntryKind, p.Name, "cold.per_second", "must be from 0 to %v", float64(MaxColdRate))
	k.require(inRange(p.Cold.MaxInSecond, 0, MaxColdInSecond), PoolEntryKind, p.Name, "cold.max_in_second", "must be from 0 to %d", MaxColdInSecond)
	k.require(inRange(p.Cold.WarmUpMS, 0, MaxColdTime), PoolEntryKind, p.Name, "cold.warm_up_ms", "must be from 0 to %d", MaxColdTime)
	k.require(p.Cold.MaxInSecond == 0 || float64(p.Cold.MaxInSecond) >= p.Cold.PerSecond, PoolEntryKind, p.Name, "cold.max_in_second", "is below cold.per_second")
}

func (k *checker) checkLimits() {
	l := k.config.Limits
	requireField := func(valid bool, field, format string, args ...any) {
		k.require(valid, LimitsKind, "", field, format, args...)
	}
	requireField(inRange(l.KeyRetentionMS, 0, maxRetention), "key_retention_ms", "must be from 0 to %d", maxRetention)
	requireField(inRange(l.QuarantineMS, 0, maxRetention), "conviction_ms", "must be from 0 to %d", maxRetention)
	requireField(l.AddressLifetimeMS == 0 || inRange(l.AddressLifetimeMS, MinAddressLifetime, maxAddressLifetime),
		"address_lifetime_ms", "must be from %d to %d", MinAddressLifetime, maxAddressLifetime)
	requireField(isFiniteNonNegative(l.RetryShare) && l.RetryShare <= 1, "retry_share", "must be from 0 to 1")
	requireField(isFiniteNonNegative(l.KindFloor) && l.KindFloor < 1, "kind_floor", "must be from 0 to below 1")
	requireField(isFiniteNonNegative(l.CheapKindShare) && l.CheapKindShare < 1, "cheap_kind_share", "must be from 0 to below 1")
	requireField(isFiniteNonNegative(l.EjectShare) && l.EjectShare <= maxEjectShare, "eject_share", "must be from 0 to %v", maxEjectShare)
	requireField(l.QueuePerShard >= 0, "queue_per_shard", "must not be negative")
	requireField(l.BodyBytes >= 0, "body_bytes", "must not be negative")
	requireField(l.StoredAnswerBytes >= 0, "stored_answer_bytes", "must not be negative")
}

// checkServable adds a mistake if no request of any tier could be served. It
// accepts a configuration that still lacks tiers, routes or upstreams.
func (k *checker) checkServable() {
	c := k.config
	if len(c.Tiers) == 0 || len(c.Routes) == 0 || len(c.Upstreams) == 0 {
		return
	}
	hasUpstream := map[string]bool{}
	for _, u := range c.Upstreams {
		hasUpstream[u.Pool] = hasUpstream[u.Pool] || !u.Leaving
	}
	attainable := map[string]bool{}
	for _, t := range c.Tiers {
		attainable[t.Name] = t.DeadlineMS > 0 && t.FirstTokenMS <= t.DeadlineMS
	}
	for _, r := range c.Routes {
		if hasUpstream[r.Pool] && attainable[r.Tier] {
			return
		}
	}
	k.addMistake(TierKind, "", "", "every tier would be shed: no route leads from a tier that can meet its deadline to a pool with an upstream that stays")
}
