package classifier

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"yuccaspread/common/clock"
	"yuccaspread/common/hasher"
	"yuccaspread/common/inventory"
	"yuccaspread/common/prompter"
	"yuccaspread/daemon/refuser"
)

// maxKeyBytes is the largest length of an Idempotency-Key.
const maxKeyBytes = 128

// Classifier classifies requests by one revision of the configuration. Create it with
// New; it is safe for concurrent use.
type Classifier struct {
	config *inventory.Config
	// organisationByTokenHash maps the hex SHA-256 of a token to the organisation's
	// name.
	organisationByTokenHash map[string]string
	tiersByName             map[string]inventory.Tier
	tierOrder               inventory.TierOrder
	// routesByHost holds the routes that name a host, sorted by falling length of
	// the path.
	routesByHost map[string][]inventory.Route
}

// New returns a classifier for the configuration.
func New(config *inventory.Config) *Classifier {
	c := &Classifier{
		config:                  config,
		organisationByTokenHash: make(map[string]string, len(config.Organisations)),
		tiersByName:             make(map[string]inventory.Tier, len(config.Tiers)),
		tierOrder:               config.TierOrder(),
		routesByHost:            groupByHost(config.Routes),
	}
	for _, o := range config.Organisations {
		c.organisationByTokenHash[o.TokenSHA256] = o.Name
		for _, hash := range o.MoreTokenSHA256 {
			c.organisationByTokenHash[hash] = o.Name
		}
	}
	for _, t := range config.Tiers {
		c.tiersByName[t.Name] = t
	}
	return c
}

// Revision returns the revision of the classifier's configuration.
func (c *Classifier) Revision() int64 {
	return c.config.Revision
}

// Classify returns the classified request of the organisation. Any error is a
// *refuser.Refusal.
func (c *Classifier) Classify(organisation string, head Head, body []byte) (req *Request, err error) {
	route, content, err := c.findRoute(head, body)
	if err != nil {
		return nil, err
	}
	pool, _ := inventory.Lookup(c.config.Pools, route.Pool)
	owner, _ := inventory.Lookup(c.config.Organisations, organisation)
	tier := c.tiersByName[route.Tier]
	req = &Request{
		Homes: inventory.HomesOf(route, owner), Revision: c.config.Revision,
		ID: head.ID, Organisation: organisation, Route: route.Name, Pool: pool.Name, Kind: pool.Kind,
		Tier: tier.Rank, TierPosition: c.tierOrder.Position(tier.Rank), Idempotent: route.Idempotent, Stream: content.Stream, Arrived: head.Arrived,
		MaxTokens: min(max(content.MaxTokens, 0), MaxCount), Method: head.Method, Path: head.target(), Header: forwardedHeader(head.Header), Body: body,
		Fingerprint: hasher.Fingerprint(organisation, route.Name, body),
	}
	if pool.Kind == inventory.PoolModel {
		text := content.Text()
		req.PromptTokens = hasher.EstimateTokens(text)
		req.PrefixHashes = hasher.PrefixHashes(text)
	}
	if req.Deadline, req.DeadlineBy, err = requestDeadline(head, tier); err != nil {
		return nil, err
	}
	if req.Key, err = requestKey(head, route); err != nil {
		return nil, err
	}
	return req, nil
}

// Organisation returns the name of the organisation whose token the header carries,
// or a *refuser.Refusal. It needs no body, so that the bodies of unauthenticated
// requests are never read.
func (c *Classifier) Organisation(header http.Header) (name string, err error) {
	token, found := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return "", refuser.New(http.StatusUnauthorized, "no token", "send the organisation's token as a bearer token")
	}
	return c.organisationOf(token)
}

// organisationOf returns the name of the organisation that has the token, or a
// *refuser.Refusal.
func (c *Classifier) organisationOf(token string) (name string, err error) {
	sum := sha256.Sum256([]byte(token))
	name, found := c.organisationByTokenHash[hex.EncodeToString(sum[:])]
	if !found {
		return "", refuser.New(http.StatusUnauthorized, "unknown token", "no organisation has this token")
	}
	return name, nil
}

// findRoute returns the first route that matches and the parsed body, which is zero
// for routes to plain services. Routes that name a host are skipped.
func (c *Classifier) findRoute(head Head, body []byte) (route inventory.Route, content prompter.Request, err error) {
	var parseErr error
	parsed := false
	for _, r := range c.config.Routes {
		if r.Host != "" || !routeMatches(r, head) {
			continue
		}
		pool, _ := inventory.Lookup(c.config.Pools, r.Pool)
		if pool.Kind == inventory.PoolService {
			return r, prompter.Request{}, nil
		}
		if !parsed {
			parseErr = json.Unmarshal(body, &content)
			parsed = true
		}
		if parseErr != nil {
			return r, content, refuser.New(http.StatusBadRequest, "bad body", "the body is no completion request: "+parseErr.Error())
		}
		if r.Model == "" || r.Model == content.Model {
			return r, content, nil
		}
	}
	return route, content, refuser.New(http.StatusNotFound, "no route", "no route takes "+head.Method+" "+head.Path)
}

// routeMatches reports whether method, class and path of the request match the
// route. A path that ends in "/" matches as a prefix; the default method is POST.
func routeMatches(r inventory.Route, head Head) bool {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	if method != head.Method || (r.Class != "" && r.Class != head.Header.Get(HeaderClass)) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(head.Path, r.Path)
	}
	return r.Path == head.Path
}

// requestDeadline returns the deadline from the caller's header, or else that of the
// tier. Any error is a *refuser.Refusal.
func requestDeadline(head Head, tier inventory.Tier) (at clock.Millis, by DeadlineSource, err error) {
	value := head.Header.Get(HeaderDeadline)
	if value == "" {
		return head.Arrived + tier.DeadlineMS, DeadlineByTier, nil
	}
	timeout, err := strconv.ParseInt(value, 10, 64)
	if err != nil || timeout <= 0 || clock.Millis(timeout) > clock.Day {
		return 0, "", refuser.New(http.StatusBadRequest, "bad deadline", HeaderDeadline+" is no number of milliseconds up to a day")
	}
	return head.Arrived + clock.Millis(timeout), DeadlineByCaller, nil
}

// requestKey returns the caller's key or a generated one. It is empty only for
// idempotent routes. Any error is a *refuser.Refusal.
func requestKey(head Head, route inventory.Route) (value string, err error) {
	value = head.Header.Get(HeaderIdempotencyKey)
	switch {
	case len(value) > maxKeyBytes:
		return "", refuser.New(http.StatusBadRequest, "bad key", HeaderIdempotencyKey+" is longer than 128 bytes")
	case value != "" || route.Idempotent:
		return value, nil
	case route.MintKey:
		return "minted-" + head.ID, nil
	default:
		return "", refuser.New(http.StatusBadRequest, "no key", "this route runs at most once and needs the header "+HeaderIdempotencyKey)
	}
}
