package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

// TestRequestsOfADaemonThatIsCutOffAreServed guards against requests that fail because they came to a
// daemon that reaches no upstream, while others do.
func TestRequestsOfADaemonThatIsCutOffAreServed(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, kind := range kinds() {
			t.Run(fmt.Sprintf("%s, cut is known %t", kind, known), func(t *testing.T) {
				workers := &upstreams{t: t}
				sound := newDaemon(t, workers.start(2))
				cut := newDaemon(t, unreachable(t, 3), sound.peer("b"))
				cut.survey.cut.Store(known)
				c := cut.do(t.Context(), kind, "1")
				if c.err != nil || c.recorder.Code != http.StatusOK || c.recorder.Body.String() != wholeAnswer(kind, "1") {
					t.Errorf("the caller got %v", c)
				}
				if runs := workers.ran("1"); runs != 1 || len(workers.leaked) > 0 {
					t.Errorf("%d runs, headers that reached an upstream: %v", runs, workers.leaked)
				}
				header := c.recorder.Header()
				if header.Get(headerSeal) == "" || header.Get(classifier.HeaderAnsweredBy) != "" {
					t.Errorf("headers of the answer: %v", header)
				}
				if known && len(cut.slots.ended) > 0 {
					t.Errorf("the daemon took %d slots", len(cut.slots.ended))
				}
			})
		}
	}
}

// TestOneUnreachableUpstreamIsNoCut guards against requests that are passed on because one upstream is
// down.
func TestOneUnreachableUpstreamIsNoCut(t *testing.T) {
	workers, other := &upstreams{t: t}, newDaemon(t, nil)
	all := append(unreachable(t, 1), workers.start(2)[1])
	d := newDaemon(t, all, other.peer("b"))
	for i, kind := range kinds() {
		if c := d.do(t.Context(), kind, fmt.Sprint(i)); c.err != nil || other.received.Load() != 0 {
			t.Errorf("%s: %v, %d requests passed on", kind, c, other.received.Load())
		}
	}
}

// failingDaemon is a daemon that fails at a place in the handling of a request that was passed on.
func failingDaemon(t *testing.T, all []inventory.Upstream, place string) Peer {
	t.Helper()
	if place == "before the connection" {
		return Peer{Name: "failing", Address: unreachable(t, 1)[0].Address}
	}
	sound := newDaemon(t, all)
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if place == "before the request was read" {
			_, _ = reader.Peek(1)
			return
		}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		if place == "before the run" {
			return
		}
		req.Body, req.RequestURI = io.NopCloser(strings.NewReader(string(body))), ""
		req.URL.Scheme, req.URL.Host = "http", sound.address
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			return
		}
		defer func() { _ = res.Body.Close() }()
		if place == "before the answer" {
			return
		}
		var whole strings.Builder
		_ = res.Write(&whole)
		head := strings.Index(whole.String(), "\r\n\r\n")
		cutAt := map[string]int{"in the head": head / 2, "after the head": head + 4, "in the body": (head + whole.Len()) / 2, "before the end": whole.Len() - 1}[place]
		_, _ = io.WriteString(conn, whole.String()[:cutAt])
	}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return Peer{Name: "failing", Address: socket.Addr().String()}
}

// TestRequestRunsOnceWhicheverDaemonFails guards against a request that may run once and runs again, is
// called not run although it ran, or whole although its answer broke off, as the daemon that handles it
// fails.
func TestRequestRunsOnceWhicheverDaemonFails(t *testing.T) {
	for _, place := range []string{
		"before the connection", "before the request was read", "before the run", "before the answer", "in the head", "after the head", "in the body", "before the end",
	} {
		for _, kind := range kinds() {
			t.Run(place+" "+kind, func(t *testing.T) {
				t.Parallel()
				workers := &upstreams{t: t}
				all := workers.start(2)
				sound := newDaemon(t, all)
				cut := newDaemon(t, nil, failingDaemon(t, all, place), sound.peer("sound"))
				cut.survey.cut.Store(true)
				c := cut.do(t.Context(), kind, "1")
				whole, runs := c.err == nil && c.recorder.Body.String() == wholeAnswer(kind, "1"), workers.ran("1")
				switch {
				case kind != "/once/":
					if !whole || runs > 3 {
						t.Errorf("%d runs, the caller got %v", runs, c)
					}
				case runs > 1, runs > 0 && c.refusal != nil && c.refusal.Outcome != refuser.Unknown, c.err == nil && !whole:
					t.Errorf("%d runs, the caller got %v", runs, c)
				case place == "before the connection" && !whole:
					t.Errorf("the caller got %v", c)
				}
			})
		}
	}
}

// TestRequestRunsOnceIfItsOwnDaemonFails guards against a run that is started anew after the daemon that passed
// the request on is gone.
func TestRequestRunsOnceIfItsOwnDaemonFails(t *testing.T) {
	began := make(chan struct{}, 8)
	workers := &upstreams{t: t, handle: func(_ http.ResponseWriter, r *http.Request) {
		began <- struct{}{}
		<-r.Context().Done()
	}}
	sound := newDaemon(t, workers.start(3))
	cut := newDaemon(t, nil, sound.peer("b"))
	cut.survey.cut.Store(true)
	for i, kind := range kinds() {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			select {
			case <-began:
			case <-ctx.Done():
			}
			cancel()
		}()
		cut.do(ctx, kind, fmt.Sprint(i))
		cancel()
		sound.awaitSlotsEnded(i + 1)
		if runs := workers.ran(fmt.Sprint(i)); runs != 1 {
			t.Errorf("%s: %d runs", kind, runs)
		}
	}
}

// awaitSlotsEnded waits until a number of slots has ended, which a test that fails may never see.
func (d *testDaemon) awaitSlotsEnded(number int) {
	for waited := 0; d.slotsEnded() < number && waited < 5000; waited++ {
		time.Sleep(time.Millisecond)
	}
}

func (d *testDaemon) slotsEnded() int {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	return len(d.slots.ended)
}

// TestPassedOnRequestGoesNoFurther guards against a request that goes from daemon to daemon.
func TestPassedOnRequestGoesNoFurther(t *testing.T) {
	for _, known := range []bool{true, false} {
		for _, kind := range kinds() {
			third := newDaemon(t, nil)
			second := newDaemon(t, unreachable(t, 3), third.peer("c"))
			second.survey.cut.Store(known)
			first := newDaemon(t, nil, second.peer("b"))
			first.survey.cut.Store(true)
			c := first.do(t.Context(), kind, "1")
			if third.received.Load() != 0 || second.received.Load() != 1 {
				t.Errorf("%s: %d and %d requests came", kind, second.received.Load(), third.received.Load())
			}
			if c.refusal == nil || c.refusal.Outcome != refuser.NotRun || c.refusal.Status != http.StatusServiceUnavailable {
				t.Errorf("%s: %v", kind, c)
			}
			if known && c.refusal.RetryAfter < cutOffRetryAfter {
				t.Errorf("%s: Retry-After %d ms", kind, c.refusal.RetryAfter)
			}
		}
	}
}

// TestThirdDaemonServesWhatASecondOneCannot guards against a request that fails because the first other
// daemon that is asked is cut off as well.
func TestThirdDaemonServesWhatASecondOneCannot(t *testing.T) {
	for _, kind := range kinds() {
		workers := &upstreams{t: t}
		second, third := newDaemon(t, nil), newDaemon(t, workers.start(1))
		first := newDaemon(t, nil, second.peer("b"), third.peer("c"))
		first.survey.cut.Store(true)
		second.survey.cut.Store(true)
		if c := first.do(t.Context(), kind, "1"); c.err != nil || c.recorder.Body.String() != wholeAnswer(kind, "1") || workers.ran("1") != 1 {
			t.Errorf("%s: %v", kind, c)
		}
	}
}

// TestPassedOnRequestIsNotRefusedByAnOlderConfiguration guards against a request that is admitted by
// a configuration and then refused for good as an older one says, by a daemon that it is passed on to.
func TestPassedOnRequestIsNotRefusedByAnOlderConfiguration(t *testing.T) {
	for name, older := range map[string]func(c *inventory.Config){
		"route": func(c *inventory.Config) { c.Routes = nil },
		"key":   func(c *inventory.Config) { c.Organisations = nil },
	} {
		for _, kind := range kinds() {
			workers := &upstreams{t: t}
			second, third := newDaemon(t, workers.start(1)), newDaemon(t, workers.start(1))
			older(&second.Source.(*fixedSource).config)
			alone := newDaemon(t, nil, second.peer("b"))
			alone.survey.cut.Store(true)
			if c := alone.do(t.Context(), kind, "1"); c.refusal == nil || c.refusal.Status != http.StatusServiceUnavailable || c.refusal.RetryAfter <= 0 {
				t.Errorf("%s, %s, no third daemon: %v", name, kind, c)
			}
			first := newDaemon(t, nil, second.peer("b"), third.peer("c"))
			first.survey.cut.Store(true)
			if c := first.do(t.Context(), kind, "2"); c.err != nil || c.recorder.Body.String() != wholeAnswer(kind, "2") || workers.ran("2") != 1 {
				t.Errorf("%s, %s: %v", name, kind, c)
			}
		}
	}
}

// TestRefusalsOfOtherDaemonsAreTrue guards against a caller who is told that a request has not run without the
// word of the daemon that had it, and against refusals that lose their Retry-After.
func TestRefusalsOfOtherDaemonsAreTrue(t *testing.T) {
	for _, c := range []struct {
		status      int
		mark        string
		wantOutcome refuser.Outcome
		wantRetry   clock.Millis
	}{
		{http.StatusTooManyRequests, string(refuser.NotRun), refuser.NotRun, 2 * clock.Second},
		{http.StatusServiceUnavailable, string(refuser.NotRun), refuser.NotRun, 2 * clock.Second},
		{http.StatusRequestTimeout, string(refuser.NotRun), refuser.NotRun, 2 * clock.Second},
		{http.StatusBadGateway, string(refuser.Unknown), refuser.Unknown, 2 * clock.Second},
		{http.StatusGatewayTimeout, string(refuser.Unknown), refuser.Unknown, 2 * clock.Second},
		{http.StatusServiceUnavailable, "", refuser.Unknown, 0},
		{http.StatusTooManyRequests, "", refuser.Unknown, 0},
		{http.StatusMisdirectedRequest, "", refuser.Unknown, 0},
		{http.StatusRequestTimeout, "", refuser.Unknown, 0},
		{http.StatusServiceUnavailable, "not_run?", refuser.Unknown, 0},
		{http.StatusOK, "", refuser.Unknown, 0},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if c.mark != "" {
				w.Header().Set(classifier.HeaderAnsweredBy, c.mark)
			}
			w.Header().Set(headerSeal, "1")
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, "the reason\nmore")
		}))
		cut := newDaemon(t, nil, Peer{Name: "b", Address: strings.TrimPrefix(server.URL, "http://")})
		cut.survey.cut.Store(true)
		got := cut.do(t.Context(), "/once/", "1")
		server.Close()
		if got.refusal == nil || got.refusal.Outcome != c.wantOutcome || got.refusal.RetryAfter != c.wantRetry ||
			(c.mark == string(c.wantOutcome) && (got.refusal.Status != c.status || got.refusal.Title != "the reason")) {
			t.Errorf("%d marked %q: %v", c.status, c.mark, got)
		}
	}
}

// TestStreamGoesOnAtAnotherDaemonWhenTheCutComes guards against streams that end with the path to their
// upstream, or repeat events.
func TestStreamGoesOnAtAnotherDaemonWhenTheCutComes(t *testing.T) {
	workers := &upstreams{t: t}
	sound := newDaemon(t, workers.start(1))
	var cut *testDaemon
	lost := &upstreams{t: t, handle: func(w http.ResponseWriter, r *http.Request) {
		events(1, 3).ServeHTTP(w, r)
		cut.survey.cut.Store(true)
		<-r.Context().Done()
	}}
	cut = newDaemon(t, lost.start(1), sound.peer("b"))
	c := cut.do(t.Context(), "/stream/", "1")
	if c.err != nil || c.recorder.Body.String() != wholeAnswer("/stream/", "1") {
		t.Errorf("the caller got %v", c)
	}
	if lost.ran("1") != 1 || workers.ran("1") != 1 || cut.slotsEnded() != 1 {
		t.Errorf("%d and %d runs, %d slots ended", lost.ran("1"), workers.ran("1"), cut.slotsEnded())
	}
}

// TestWaitingRequestIsPassedOnWhenTheCutComes guards against requests that wait for slots that this
// daemon can't use.
func TestWaitingRequestIsPassedOnWhenTheCutComes(t *testing.T) {
	for _, kind := range kinds() {
		workers := &upstreams{t: t}
		sound := newDaemon(t, workers.start(1))
		cut := newDaemon(t, nil, sound.peer("b"))
		cut.Reserver = noSlots{}
		time.AfterFunc(50*time.Millisecond, func() { cut.survey.cut.Store(true) })
		if c := cut.do(t.Context(), kind, "1"); c.err != nil || c.recorder.Body.String() != wholeAnswer(kind, "1") {
			t.Errorf("%s: %v", kind, c)
		}
	}
}

// TestSentRequestThatMayRunOnceKeepsNoSlotInACut guards against slots that are held until the deadline for
// answers that can't come, and against an answer that is lost as it comes after all.
func TestSentRequestThatMayRunOnceKeepsNoSlotInACut(t *testing.T) {
	sound := newDaemon(t, nil)
	var cut *testDaemon
	workers := &upstreams{t: t, handle: func(w http.ResponseWriter, _ *http.Request) {
		cut.survey.cut.Store(true)
		cut.awaitSlotsEnded(1)
		cut.survey.cut.Store(false)
		_, _ = io.WriteString(w, "late")
	}}
	cut = newDaemon(t, workers.start(2), sound.peer("b"))
	c := cut.do(t.Context(), "/once/", "1")
	if c.err != nil || c.recorder.Body.String() != "late" || workers.ran("1") != 1 || sound.received.Load() != 0 {
		t.Errorf("%v, %d runs, %d requests passed on", c, workers.ran("1"), sound.received.Load())
	}
	if first := cut.slots.ended[0].Outcome; first != reserver.Cancelled {
		t.Errorf("the slot ended with %v", first)
	}
}

// TestStreamWithoutARetryLeftIsNotEndedInACut guards against streams that are cut though their connection
// may live on, as the retries of the fleet are used up.
func TestStreamWithoutARetryLeftIsNotEndedInACut(t *testing.T) {
	sound := newDaemon(t, nil)
	var cut *testDaemon
	workers := &upstreams{t: t, handle: func(w http.ResponseWriter, r *http.Request) {
		events(1, 3).ServeHTTP(w, r)
		cut.survey.cut.Store(true)
		cut.awaitSlotsEnded(1)
		for _, event := range events(4, 6) {
			_, _ = io.WriteString(w, event)
		}
	}}
	cut = newDaemon(t, workers.start(1), sound.peer("b"))
	cut.Budget = &Budget{Daemons: func() int { return 1 }}
	if c := cut.do(t.Context(), "/stream/", "1"); c.err != nil || c.recorder.Body.String() != wholeAnswer("/stream/", "1") || sound.received.Load() != 0 {
		t.Errorf("%v, %d requests passed on", c, sound.received.Load())
	}
}

// TestAttemptsTellWhatTheyReached guards against a daemon that takes itself for cut off by callers who
// leave, or by its own decisions.
func TestAttemptsTellWhatTheyReached(t *testing.T) {
	hangs := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	breaks := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for name, c := range map[string]struct {
		handle http.HandlerFunc
		kind   string
		// leaveAfter is when the caller leaves, deadline the time limit; 0 is none.
		leaveAfter, deadline time.Duration
		down                 bool
		want                 []string
	}{
		"whole":                {kind: "/once/", want: []string{"reached"}},
		"events":               {kind: "/stream/", want: []string{"reached"}},
		"refused connection":   {kind: "/once/", down: true, want: []string{"unreached"}},
		"caller leaves":        {kind: "/once/", handle: hangs, leaveAfter: 30 * time.Millisecond},
		"silent until the end": {kind: "/once/", handle: hangs, deadline: 30 * time.Millisecond, want: []string{"unreached"}},
		"breaks without answer": {
			kind: "/once/", handle: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, want: []string{"unreached"},
		},
		"breaks in the answer": {kind: "/once/", handle: breaks, want: []string{"reached", "unreached"}},
	} {
		workers := &upstreams{t: t, handle: c.handle}
		all := workers.start(1)
		if c.down {
			all = unreachable(t, 1)
		}
		d := newDaemon(t, all)
		ctx, cancel := context.WithCancel(t.Context())
		if c.leaveAfter > 0 {
			time.AfterFunc(c.leaveAfter, cancel)
		}
		if c.deadline > 0 {
			ctx, cancel = context.WithTimeout(t.Context(), c.deadline)
		}
		d.do(ctx, c.kind, "1")
		cancel()
		if got := slices.Compact(d.survey.told); !slices.Equal(got, c.want) {
			t.Errorf("%s: told %v, want %v", name, got, c.want)
		}
	}
}

// TestPassedOnRequestsAreBounded guards against a daemon that holds any number of requests for which
// others do the work.
func TestPassedOnRequestsAreBounded(t *testing.T) {
	workers := &upstreams{t: t}
	sound := newDaemon(t, workers.start(1))
	cut := newDaemon(t, nil, sound.peer("b"))
	cut.survey.cut.Store(true)
	cut.delegating.Store(maxDelegating)
	c := cut.do(t.Context(), "/once/", "1")
	if c.refusal == nil || c.refusal.Outcome != refuser.NotRun || c.refusal.RetryAfter <= 0 || sound.received.Load() != 0 {
		t.Errorf("%v, %d requests passed on", c, sound.received.Load())
	}
	cut.delegating.Store(0)
	if c = cut.do(t.Context(), "/once/", "2"); c.err != nil || cut.delegating.Load() != 0 {
		t.Errorf("%v, %d counted", c, cut.delegating.Load())
	}
}

// TestRunsOfAllDaemonsStayWithinTheBound guards against a request that runs more often than its route
// allows because several daemons try it.
func TestRunsOfAllDaemonsStayWithinTheBound(t *testing.T) {
	workers := &upstreams{t: t, handle: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }}
	all := workers.start(4)
	second, third, fourth := newDaemon(t, all), newDaemon(t, all), newDaemon(t, all)
	cut := newDaemon(t, nil, second.peer("b"), third.peer("c"), fourth.peer("d"))
	cut.survey.cut.Store(true)
	c := cut.do(t.Context(), "/idempotent/", "1")
	if runs := workers.ran("1"); runs != 3 || c.recorder.Code != http.StatusInternalServerError {
		t.Errorf("%d runs, want 3; the caller got %v", runs, c)
	}
}

type fixedView struct {
	self    gossiper.Member
	members []gossiper.Member
}

func (v fixedView) Self() gossiper.Member      { return v.self }
func (v fixedView) Members() []gossiper.Member { return v.members }

// TestRequestsGoToTheNearestSoundDaemon guards against requests that go to daemons that can't take them,
// or further away than need be.
func TestRequestsGoToTheNearestSoundDaemon(t *testing.T) {
	member := func(name, region, domain string, state gossiper.State, revision int64) gossiper.Member {
		return gossiper.Member{Name: name, Region: region, FailureDomain: domain, Listen: "address of " + name, State: state, Revision: revision, TakesRequests: true}
	}
	self := member("self", "r", "r1", gossiper.Alive, 1)
	cutOff := member("cut off", "r", "r1", gossiper.Alive, 1)
	cutOff.CutOff = true
	older := member("older", "r", "r1", gossiper.Alive, 1)
	older.TakesRequests = false
	peers := &MemberPeers{Source: &fixedSource{}, View: fixedView{self: self, members: []gossiper.Member{
		cutOff, older,
		member("far", "s", "s1", gossiper.Alive, 1), member("region", "r", "r2", gossiper.Alive, 1), member("near", "r", "r1", gossiper.Alive, 1),
		self, member("leaving", "r", "r1", gossiper.Leaving, 1), member("suspect", "r", "r1", gossiper.Suspect, 1), member("starting", "r", "r1", gossiper.Alive, 0),
	}}}
	want := []Peer{{"near", "address of near"}, {"region", "address of region"}, {"far", "address of far"}}
	if got := peers.Candidates(func(string) bool { return true }); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// regionPeers are daemons to pass requests on to, by region.
type regionPeers map[string]Peer

func (p regionPeers) Candidates(allows func(region string) bool) (candidates []Peer) {
	for region, peer := range p {
		if allows(region) {
			candidates = append(candidates, peer)
		}
	}
	return candidates
}

// TestRequestIsPassedOnWithinItsHomesOnly guards against a request that leaves its home regions with its body
// because its daemon is cut off.
func TestRequestIsPassedOnWithinItsHomesOnly(t *testing.T) {
	for home, want := range map[string]int{"": 1, "abroad": 1, "home": 0} {
		u := &upstreams{t: t}
		abroad := newDaemon(t, u.start(2))
		d := newDaemon(t, unreachable(t, 2))
		d.Peers = regionPeers{"abroad": abroad.peer("abroad")}
		d.survey.cut.Store(true)
		if home != "" {
			config := d.Source.Current()
			for i := range config.Routes {
				config.Routes[i].HomeRegions = []string{home}
			}
		}
		d.do(t.Context(), kinds()[0], "id")
		if got := u.ran("id"); got != want || int(abroad.received.Load()) != want {
			t.Errorf("home %q: ran %d times abroad, which got %d requests; want %d", home, got, abroad.received.Load(), want)
		}
	}
}
