package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const apiKey = "key-of-the-tenant"

// request is one requester attempt and what became of it.
type request struct {
	id      string
	machine string
	route   string
	tokens  string
	limit   time.Duration
	sent    time.Time
	ended   time.Time
	// status is 0 if no head of an answer came.
	status int
	// whole reports whether a whole answer came.
	whole bool
	err   error
	size  int
}

func (q *request) String() string {
	return fmt.Sprintf("request %s (%s) to %s", q.id, q.route, q.machine)
}

var lastRequest atomic.Int64

// newRequest returns a request to a machine with a new id.
func newRequest(m *machine, route string, limit time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", 0x1c41d07be2a30000+lastRequest.Add(1)), machine: m.name, route: route, limit: limit}
}

// requester has connections of its own that it keeps open.
type requester struct {
	world  *world
	client *http.Client
}

func (w *world) newRequester() *requester {
	return &requester{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: idleTimeoutMS * time.Millisecond * 4 / 5}}}
}

// send sends the request and waits for its end.
func (c *requester) send(m *machine, q *request) {
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	q.sent = time.Now()
	c.world.note("%s is sent", q)
	q.status, q.size, q.err = c.exchange(ctx, m, q)
	q.ended = time.Now()
	q.whole = q.err == nil
	if q.whole {
		c.world.note("%s is answered %d, whole, %d bytes, after %d ms", q, q.status, q.size, q.ended.Sub(q.sent).Milliseconds())
	} else {
		c.world.note("%s ends without a whole answer (status %d, %d bytes) after %d ms: %v", q, q.status, q.size, q.ended.Sub(q.sent).Milliseconds(), q.err)
	}
}

func (c *requester) exchange(ctx context.Context, m *machine, q *request) (status, size int, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+q.route+"2f", strings.NewReader("the request's body"))
	if err != nil {
		return 0, 0, err
	}
	req.GetBody = nil
	req.Host = routeHost
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.limit.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if q.tokens != "" {
		req.Header.Set("Token-Count", q.tokens)
	}
	res, err := c.client.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	return res.StatusCode, int(n), err
}
