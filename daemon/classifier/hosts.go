package classifier

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/refuser"
)

// defaultTimeout is the time to the deadline of a request for which neither the
// caller nor the tier names one.
const defaultTimeout = 30 * clock.Second

// groupByHost groups the routes that name a host, each group sorted by falling length
// of the path.
func groupByHost(routes []inventory.Route) map[string][]inventory.Route {
	grouped := map[string][]inventory.Route{}
	for _, r := range routes {
		if r.Host != "" {
			grouped[r.Host] = append(grouped[r.Host], r)
		}
	}
	for _, list := range grouped {
		slices.SortStableFunc(list, func(a, b inventory.Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
	}
	return grouped
}

// Admission is the part of the classification that needs no body.
type Admission struct {
	Route        inventory.Route
	Organisation inventory.Organisation
}

// Admit returns the route of a request by its host and path, and the organisation of
// its credential, which is zero for anonymous routes. It needs no body. Any error is
// a *refuser.Refusal.
func (c *Classifier) Admit(head Head) (a Admission, err error) {
	if head.ID == "" {
		return a, refuser.New(http.StatusBadRequest, "no request id", "each request names an id of its own")
	}
	host := head.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	routes := c.routesByHost[host]
	index := slices.IndexFunc(routes, func(r inventory.Route) bool { return strings.HasPrefix(head.Path, r.Path) })
	if index < 0 {
		return a, refuser.New(http.StatusNotFound, "no route", "no route takes "+host+head.Path)
	}
	a.Route = routes[index]
	if a.Route.Anonymous {
		return a, nil
	}
	if head.Credential == "" {
		return a, refuser.New(http.StatusUnauthorized, "no token", "send the organisation's token as a bearer token")
	}
	name, err := c.organisationOf(head.Credential)
	if err != nil {
		return a, err
	}
	a.Organisation, _ = inventory.Lookup(c.config.Organisations, name)
	return a, checkHomes(a.Route, a.Organisation)
}

// checkHomes returns a *refuser.Refusal if the requests of an organisation on a route may run in
// no region.
func checkHomes(route inventory.Route, organisation inventory.Organisation) error {
	if !inventory.HomesOf(route, organisation).Empty() {
		return nil
	}
	return refuser.New(http.StatusServiceUnavailable, "no home region", fmt.Sprintf(
		"the homes of route %s and of organisation %s have no region in common", route.Name, organisation.Name,
	))
}

// Complete returns the classified request of an admission, with its body.
func (c *Classifier) Complete(a Admission, head Head, body []byte) *Request {
	route := a.Route
	pool, _ := inventory.Lookup(c.config.Pools, choosePool(route, head.ID))
	tier := c.tiersByName[route.Tier]
	number := min(tier.Rank+a.Organisation.TierOffset, c.tierOrder.Last())
	req := &Request{
		ID: head.ID, Revision: c.config.Revision, Organisation: a.Organisation.Name, Route: route.Name, Pool: pool.Name, Kind: pool.Kind,
		Tier: number, TierPosition: c.tierOrder.Position(number),
		Idempotent: route.Idempotent, Stream: route.Stream, Resumable: route.Resumable, MaxAttempts: route.MaxAttempts,
		LatencyObjective: route.ObjectiveMS, EventGap: route.GapMS, Patience: route.PatienceMS, Arrived: head.Arrived, PromptTokens: head.PromptTokens,
		MaxTokens: head.MaxTokens, ExpectedTokens: head.ExpectedTokens, LastEventID: head.LastEventID,
		Method: head.Method, Host: head.Host, Path: head.target(), Header: forwardedHeader(head.Header), Body: body,
		DelegatedRuns: delegatedRuns(head.Header), Fingerprint: fingerprint(a, head, body), Homes: inventory.HomesOf(route, a.Organisation),
	}
	for _, part := range head.PromptParts {
		req.PromptParts = append(req.PromptParts, xxhash.Sum64String(pool.Name+"\x00"+part.ID))
		req.PartTokens = append(req.PartTokens, part.Tokens)
	}
	var timeout clock.Millis
	timeout, req.DeadlineBy = timeoutOf(head, route, tier)
	req.Deadline = head.Arrived + timeout
	req.ChargedTokens = head.PromptTokens + head.MaxTokens
	if req.ChargedTokens == 0 {
		req.ChargedTokens = a.Organisation.PlainTokens
	}
	return req
}

// timeoutOf returns the time from the arrival of a request to its deadline, and the limit that sets it.
func timeoutOf(head Head, route inventory.Route, tier inventory.Tier) (timeout clock.Millis, by DeadlineSource) {
	switch {
	case head.Timeout > 0 && delegatedRuns(head.Header) > 0:
		timeout, by = head.Timeout, DeadlineByDaemon
	case head.Timeout > 0:
		timeout, by = head.Timeout, DeadlineByCaller
	case tier.DeadlineMS > 0:
		timeout, by = tier.DeadlineMS, DeadlineByTier
	default:
		timeout, by = defaultTimeout, DeadlineByDefault
	}
	if route.TimeoutMS > 0 && route.TimeoutMS < timeout {
		return route.TimeoutMS, DeadlineByRoute
	}
	return timeout, by
}

// choosePool returns one of the pools of a route by their weights. It hashes the id,
// so that the same request always gets the same pool.
func choosePool(route inventory.Route, id string) string {
	total := 0
	for _, s := range route.Split {
		total += s.Weight
	}
	if total == 0 {
		return route.Pool
	}
	position := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range route.Split {
		if position < s.Weight {
			return s.Pool
		}
		position -= s.Weight
	}
	return route.Pool
}

// fingerprint returns a hash of the request that is equal for repeats of it.
func fingerprint(a Admission, head Head, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{a.Organisation.Name, head.Host, head.Path, head.Query} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
