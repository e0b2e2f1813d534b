package inventory

import (
	"net/netip"
	"slices"
	"strings"
)

func (k *checker) upstreams() {
	names(k, UpstreamKind, k.config.Upstreams)
	pools := set(k.config.Pools)
	domains := map[string][]string{}
	for _, r := range k.config.Regions {
		domains[r.Name] = r.FailureDomains
	}
	addresses := make(map[string]string, len(k.config.Upstreams))
	for _, u := range k.config.Upstreams {
		check := func(holds bool, field, format string, args ...any) {
			k.want(holds, UpstreamKind, u.Name, field, format, args...)
		}
		_, err := netip.ParseAddrPort(u.Address)
		check(err == nil, "address", "%q is not an IP number and a port", u.Address)
		other, taken := addresses[u.Address]
		check(!taken, "address", "is already the one of upstream %q", other)
		addresses[u.Address] = u.Name
		check(pools[u.Pool], "pool", "there is no pool %q", u.Pool)
		of, found := domains[u.Region]
		check(found, "region", "there is no region %q", u.Region)
		if found && u.FailureDomain != "" {
			check(slices.Contains(of, u.FailureDomain), "failure_domain", "region %q has none called %q", u.Region, u.FailureDomain)
		}
		check(within(u.Slots, 1, maxSlots), "slots", "must be from 1 to %d", maxSlots)
	}
}

// tokens checks hashes of tokens and that no two entries share one.
type tokens map[string]Key

func (t tokens) check(k *checker, key Key, hash string) {
	k.want(hashPattern.MatchString(hash), key.Kind, key.Name, "token_sha256", "is not a SHA-256 in 64 lower-case hexadecimal digits")
	other, taken := t[hash]
	k.want(!taken, key.Kind, key.Name, "token_sha256", "is already the one of %s %q", other.Kind, other.Name)
	t[hash] = key
}

func (k *checker) organisations() {
	names(k, OrganisationKind, k.config.Organisations)
	used := tokens{}
	for _, o := range k.config.Organisations {
		used.check(k, Key{OrganisationKind, o.Name}, o.TokenSHA256)
		check := func(holds bool, field string) {
			k.want(holds, OrganisationKind, o.Name, field, "must be a number that is not negative")
		}
		check(o.Weight >= 0, "weight")
		check(finite(o.RatePerSecond), "rate_per_second")
		check(o.Burst >= 0, "burst")
		check(o.Concurrency >= 0, "concurrency")
		check(finite(o.TokensPerSecond), "tokens_per_second")
	}
}

func (k *checker) operators() {
	names(k, OperatorKind, k.config.Operators)
	organisations := set(k.config.Organisations)
	used := tokens{}
	admin := len(k.config.Operators) == 0
	for _, o := range k.config.Operators {
		used.check(k, Key{OperatorKind, o.Name}, o.TokenSHA256)
		switch o.Role {
		case RoleAdmin:
			admin = admin || len(o.Organisations) == 0
		case RoleViewer, RoleOperator:
		default:
			k.add(OperatorKind, o.Name, "role", "%q is none of %q, %q and %q", o.Role, RoleViewer, RoleOperator, RoleAdmin)
		}
		for _, name := range o.Organisations {
			k.want(organisations[name], OperatorKind, o.Name, "organisations", "there is no organisation %q", name)
		}
	}
	k.want(admin, OperatorKind, "", "role", "at least one operator must be %q for all organisations, or nobody could change anything", RoleAdmin)
}

func (k *checker) tiers() {
	names(k, TierKind, k.config.Tiers)
	ranks := map[int]string{}
	for _, t := range k.config.Tiers {
		check := func(holds bool, field, format string, args ...any) {
			k.want(holds, TierKind, t.Name, field, format, args...)
		}
		other, taken := ranks[t.Rank]
		check(!taken, "rank", "%d is already the one of tier %q", t.Rank, other)
		check(within(t.Rank, 0, len(k.config.Tiers)-1), "rank", "%d leaves a gap: ranks count from 0", t.Rank)
		ranks[t.Rank] = t.Name
		check(within(t.DeadlineMS, 1, maxDeadline), "deadline_ms", "must be from 1 to %d", maxDeadline)
		check(t.FirstTokenMS >= 0, "first_token_ms", "must not be negative")
		check(t.TokenGapMS >= 0, "token_gap_ms", "must not be negative")
		check(t.DeadlineMS < 1 || t.FirstTokenMS <= t.DeadlineMS, "first_token_ms", "comes after the deadline")
		check(t.CrossRegionBytesPerHour >= 0, "cross_region_bytes_per_hour", "must not be negative")
	}
}

// reserved are the paths that the daemon answers itself.
//
//nolint:gochecknoglobals // A list that never changes.
var reserved = []string{"/v1/admin", "/v1/addresses", "/healthz", "/readyz", "/metrics"}

func (k *checker) routes() {
	names(k, RouteKind, k.config.Routes)
	pools, tiers := set(k.config.Pools), set(k.config.Tiers)
	matches := map[[4]string]string{}
	for _, r := range k.config.Routes {
		check := func(holds bool, field, format string, args ...any) {
			k.want(holds, RouteKind, r.Name, field, format, args...)
		}
		check(strings.HasPrefix(r.Path, "/") && !strings.ContainsAny(r.Path, "?# "), "path", "%q is not the path of a URL", r.Path)
		for _, own := range reserved {
			check(r.Path != own && !strings.HasPrefix(r.Path, own+"/"), "path", "%q is answered by the daemon itself", own)
		}
		check(r.Method == "" || methodPattern.MatchString(r.Method), "method", "%q is not an HTTP method", r.Method)
		check(pools[r.Pool], "pool", "there is no pool %q", r.Pool)
		check(tiers[r.Tier], "tier", "there is no tier %q", r.Tier)
		check(!r.MintKey || !r.Idempotent, "mint_key", "has no use on an idempotent route")
		match := [4]string{r.Path, orDefault(r.Method, "POST"), r.Model, r.Class}
		other, taken := matches[match]
		check(!taken, "", "matches the same requests as route %q", other)
		matches[match] = r.Name
	}
}

func (k *checker) moves() {
	names(k, MoveKind, k.config.Moves)
	pools, regions := set(k.config.Pools), set(k.config.Regions)
	for i, m := range k.config.Moves {
		check := func(holds bool, field, format string, args ...any) {
			k.want(holds, MoveKind, m.Name, field, format, args...)
		}
		check(pools[m.Pool], "pool", "there is no pool %q", m.Pool)
		check(m.From != "", "from", "is missing")
		check(m.To != "", "to", "is missing")
		check(m.From != m.To, "to", "is the version that the move starts from")
		for _, name := range m.Regions {
			check(regions[name], "regions", "there is no region %q", name)
		}
		check(within(m.Due, minDue, maxDue), "due_ms", "%d is not a time in milliseconds since the Unix epoch", m.Due)
		check(m.FirstShare > 0 && m.FirstShare <= maxFirstShare, "first_share", "must be above 0 and at most %v", maxFirstShare)
		check(within(m.SoakMS, 0, maxSoak), "soak_ms", "must be from 0 to %d", maxSoak)
		check(m.State == MoveRun || m.State == MovePause || m.State == MoveUndo, "state", "%q is none of %q, %q and %q", m.State, MoveRun, MovePause, MoveUndo)
		for _, other := range k.config.Moves[:i] {
			check(!overlap(m, other), "", "move %q runs on the same pool and region", other.Name)
		}
	}
}

// overlap tells whether two moves that both run touch the same upstreams.
func overlap(a, b Move) bool {
	if a.Pool != b.Pool || a.State != MoveRun || b.State != MoveRun {
		return false
	}
	if len(a.Regions) == 0 || len(b.Regions) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Regions, func(r string) bool { return slices.Contains(b.Regions, r) })
}
