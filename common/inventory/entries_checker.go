package inventory

import (
	"net/netip"
	"slices"
	"strings"
)

func (k *checker) checkUpstreams() {
	checkNames(k, UpstreamKind, k.config.Upstreams)
	pools := nameSet(k.config.Pools)
	domainsByRegion := map[string][]string{}
	for _, r := range k.config.Regions {
		domainsByRegion[r.Name] = r.FailureDomains
	}
	upstreamByAddress := make(map[string]string, len(k.config.Upstreams))
	for _, u := range k.config.Upstreams {
		requireField := func(valid bool, field, format string, args ...any) {
			k.require(valid, UpstreamKind, u.Name, field, format, args...)
		}
		_, err := netip.ParseAddrPort(u.Address)
		requireField(err == nil, "address", "%q is not an IP number and a port", u.Address)
		other, taken := upstreamByAddress[u.Address]
		requireField(!taken, "address", "is already the one of upstream %q", other)
		upstreamByAddress[u.Address] = u.Name
		requireField(pools[u.Pool], "pool", "there is no pool %q", u.Pool)
		regionDomains, found := domainsByRegion[u.Region]
		requireField(found, "region", "there is no region %q", u.Region)
		if found && u.FailureDomain != "" {
			requireField(slices.Contains(regionDomains, u.FailureDomain), "failure_domain", "region %q has none called %q", u.Region, u.FailureDomain)
		}
		requireField(inRange(u.Slots, 1, MaxSlots), "slots", "must be from 1 to %d", MaxSlots)
	}
}

// tokenOwners maps hashes of tokens to the entries that use them, so that no two
// entries share a token.
type tokenOwners map[string]Key

// check checks the form of hash and adds a mistake if another entry uses it.
func (t tokenOwners) check(k *checker, key Key, hash string) {
	k.require(hashPattern.MatchString(hash), key.Kind, key.Name, "token_sha256", "is not a SHA-256 in 64 lower-case hexadecimal digits")
	other, taken := t[hash]
	k.require(!taken, key.Kind, key.Name, "token_sha256", "is already the one of %s %q", other.Kind, other.Name)
	t[hash] = key
}

func (k *checker) checkOrganisations() {
	checkNames(k, OrganisationKind, k.config.Organisations)
	owners := tokenOwners{}
	for _, o := range k.config.Organisations {
		owners.check(k, Key{OrganisationKind, o.Name}, o.TokenSHA256)
		requireField := func(valid bool, field string) {
			k.require(valid, OrganisationKind, o.Name, field, "must be a number that is not negative")
		}
		requireField(o.Weight >= 0, "weight")
		requireField(isFiniteNonNegative(o.RatePerSecond), "rate_per_second")
		requireField(o.Burst >= 0, "burst")
		requireField(o.Concurrency >= 0, "concurrency")
		requireField(isFiniteNonNegative(o.TokensPerSecond), "tokens_per_second")
		k.checkHomes(OrganisationKind, o.Name, o.HomeRegions)
	}
	for _, pair := range k.config.DisjointHomes() {
		k.addMistake(OrganisationKind, pair.Organisation, "home_regions", "has no region in common with those of route %q", pair.Route)
	}
}

// checkHomes adds a mistake for each home that is no region.
func (k *checker) checkHomes(kind Kind, name string, homes []string) {
	regions := nameSet(k.config.Regions)
	for _, region := range homes {
		k.require(regions[region], kind, name, "home_regions", "there is no region %q", region)
	}
}

func (k *checker) checkOperators() {
	checkNames(k, OperatorKind, k.config.Operators)
	organisations := nameSet(k.config.Organisations)
	owners := tokenOwners{}
	hasAdmin := len(k.config.Operators) == 0
	for _, o := range k.config.Operators {
		owners.check(k, Key{OperatorKind, o.Name}, o.TokenSHA256)
		switch o.Role {
		case RoleAdmin:
			hasAdmin = hasAdmin || len(o.Organisations) == 0
		case RoleViewer, RoleOperator:
		default:
			k.addMistake(OperatorKind, o.Name, "role", "%q is none of %q, %q and %q", o.Role, RoleViewer, RoleOperator, RoleAdmin)
		}
		for _, name := range o.Organisations {
			k.require(organisations[name], OperatorKind, o.Name, "organisations", "there is no organisation %q", name)
		}
	}
	k.require(hasAdmin, OperatorKind, "", "role", "at least one operator must be %q for all organisations, or nobody could change anything", RoleAdmin)
}

func (k *checker) checkTiers() {
	checkNames(k, TierKind, k.config.Tiers)
	tierByRank := map[int]string{}
	for _, t := range k.config.Tiers {
		requireField := func(valid bool, field, format string, args ...any) {
			k.require(valid, TierKind, t.Name, field, format, args...)
		}
		other, taken := tierByRank[t.Rank]
		requireField(!taken, "rank", "%d is already the one of tier %q", t.Rank, other)
		requireField(inRange(t.Rank, 0, len(k.config.Tiers)-1), "rank", "%d leaves a gap: ranks count from 0", t.Rank)
		tierByRank[t.Rank] = t.Name
		requireField(inRange(t.DeadlineMS, 1, maxDeadline), "deadline_ms", "must be from 1 to %d", maxDeadline)
		requireField(t.FirstTokenMS >= 0, "first_token_ms", "must not be negative")
		requireField(t.TokenGapMS >= 0, "token_gap_ms", "must not be negative")
		requireField(t.DeadlineMS < 1 || t.FirstTokenMS <= t.DeadlineMS, "first_token_ms", "comes after the deadline")
		requireField(t.CrossRegionBytesPerHour >= 0, "cross_region_bytes_per_hour", "must not be negative")
	}
}

// reservedPaths are the paths that the daemon serves itself; the path of a route
// must not be one of them or below one.
//
//nolint:gochecknoglobals // A list that never changes.
var reservedPaths = []string{"/v1/admin", "/v1/addresses", "/healthz", "/readyz", "/metrics"}

func (k *checker) checkRoutes() {
	checkNames(k, RouteKind, k.config.Routes)
	pools, tiers := nameSet(k.config.Pools), nameSet(k.config.Tiers)
	routeByMatch := map[[4]string]string{}
	for _, r := range k.config.Routes {
		requireField := func(valid bool, field, format string, args ...any) {
			k.require(valid, RouteKind, r.Name, field, format, args...)
		}
		requireField(strings.HasPrefix(r.Path, "/") && !strings.ContainsAny(r.Path, "?# "), "path", "%q is not the path of a URL", r.Path)
		for _, reservedPath := range reservedPaths {
			requireField(r.Path != reservedPath && !strings.HasPrefix(r.Path, reservedPath+"/"), "path", "%q is answered by the daemon itself", reservedPath)
		}
		requireField(r.Method == "" || methodPattern.MatchString(r.Method), "method", "%q is not an HTTP method", r.Method)
		requireField(pools[r.Pool], "pool", "there is no pool %q", r.Pool)
		requireField(tiers[r.Tier], "tier", "there is no tier %q", r.Tier)
		requireField(!r.MintKey || !r.Idempotent, "mint_key", "has no use on an idempotent route")
		k.checkHomes(RouteKind, r.Name, r.HomeRegions)
		match := [4]string{r.Path, orDefault(r.Method, "POST"), r.Model, r.Class}
		other, taken := routeByMatch[match]
		requireField(!taken, "", "matches the same requests as route %q", other)
		routeByMatch[match] = r.Name
	}
}

func (k *checker) checkMoves() {
	checkNames(k, MoveKind, k.config.Moves)
	pools, regions := nameSet(k.config.Pools), nameSet(k.config.Regions)
	for i, m := range k.config.Moves {
		requireField := func(valid bool, field, format string, args ...any) {
			k.require(valid, MoveKind, m.Name, field, format, args...)
		}
		requireField(pools[m.Pool], "pool", "there is no pool %q", m.Pool)
		requireField(m.From != "", "from", "is missing")
		requireField(m.To != "", "to", "is missing")
		requireField(m.From != m.To, "to", "is the version that the move starts from")
		for _, name := range m.Regions {
			requireField(regions[name], "regions", "there is no region %q", name)
		}
		requireField(inRange(m.Due, minDue, maxDue), "due_ms", "%d is not a time in milliseconds since the Unix epoch", m.Due)
		requireField(m.FirstShare > 0 && m.FirstShare <= maxFirstShare, "first_share", "must be above 0 and at most %v", maxFirstShare)
		requireField(inRange(m.SoakMS, 0, maxSoak), "soak_ms", "must be from 0 to %d", maxSoak)
		requireField(m.State == MoveRun || m.State == MovePause || m.State == MoveUndo, "state", "%q is none of %q, %q and %q", m.State, MoveRun, MovePause, MoveUndo)
		for _, other := range k.config.Moves[:i] {
			requireField(!movesOverlap(m, other), "", "move %q runs on the same pool and region", other.Name)
		}
	}
}

// movesOverlap reports whether two moves both run and concern the same
// upstreams.
func movesOverlap(a, b Move) bool {
	if a.Pool != b.Pool || a.State != MoveRun || b.State != MoveRun {
		return false
	}
	if len(a.Regions) == 0 || len(b.Regions) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Regions, func(r string) bool { return slices.Contains(b.Regions, r) })
}
