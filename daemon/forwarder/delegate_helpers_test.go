package forwarder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/listener"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sender"
)

// Headers and values of the callers and upstreams in these tests.
const (
	headerID      = "Id"
	headerSeal    = "Seal"
	headerTimeout = "Timeout-Ms"
	headerEvent   = "Last-Event-Id"
	callersToken  = "token of o"
	callersHost   = "h.example"
	// testRunTime is the expected time of a run in these tests.
	testRunTime = 200 * clock.Millisecond
)

// kinds are the paths of the routes, one a kind of request.
func kinds() []string { return []string{"/idempotent/", "/once/", "/stream/"} }

// sealedProtocol marks answers by a header, and passes all headers of requests on.
type sealedProtocol struct{}

func (sealedProtocol) Header(a Attempt) http.Header {
	header := a.Request.Header.Clone()
	header.Del("Authorization")
	if a.LastEventID != "" {
		header.Set(headerEvent, a.LastEventID)
	}
	return header
}

func (p sealedProtocol) CallerHeader(a Attempt) http.Header {
	header := p.Header(a)
	header.Set("Authorization", a.Request.Header.Get("Authorization"))
	header.Set(headerTimeout, strconv.Itoa(int(a.TimeLeft)))
	return header
}

func (sealedProtocol) ReportPath(*classifier.Request) string { return "" }

func (sealedProtocol) ResponseInfo(_ int, header http.Header) (info ResponseInfo) {
	info.RequestID, info.Authenticated = header.Get(headerID), header.Get(headerSeal) != ""
	seconds, _ := strconv.Atoi(header.Get("Retry-After"))
	info.Notice.RetryAfter = clock.Millis(seconds) * clock.Second
	return info
}

// readHead reads the head of a request as its caller, or another daemon, sent it.
func readHead(r *http.Request) classifier.Head {
	timeout, _ := strconv.Atoi(r.Header.Get(headerTimeout))
	return classifier.Head{
		ID: r.Header.Get(headerID), Method: r.Method, Host: r.Host, Path: r.URL.Path, Query: r.URL.RawQuery, Target: r.RequestURI,
		Header: r.Header, Credential: strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "),
		Timeout: clock.Millis(timeout), LastEventID: r.Header.Get(headerEvent),
	}
}

// upstreams are upstreams on which requests run.
type upstreams struct {
	t *testing.T
	// handle answers a request that runs; nil answers it whole.
	handle http.HandlerFunc

	mu sync.Mutex
	// runs counts the runs by request, and events what was sent of its stream.
	runs map[string]int
	// leaked are the headers that must not reach an upstream.
	leaked []string
}

// start returns a number of upstreams.
func (u *upstreams) start(number int) (all []inventory.Upstream) {
	u.runs = map[string]int{}
	for i := range number {
		server := httptest.NewServer(u)
		u.t.Cleanup(server.Close)
		all = append(all, inventory.Upstream{Name: fmt.Sprint("u", i), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	return all
}

func (u *upstreams) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.runs[r.Header.Get(headerID)]++
	for _, name := range []string{classifier.HeaderDelegated, classifier.HeaderAnsweredBy, "Authorization"} {
		if r.Header.Get(name) != "" {
			u.leaked = append(u.leaked, name)
		}
	}
	u.mu.Unlock()
	w.Header().Set(headerID, r.Header.Get(headerID))
	w.Header().Set(headerSeal, "1")
	// An upstream may send anything, also what daemons set for each other.
	w.Header().Set(classifier.HeaderAnsweredBy, string(refuser.NotRun))
	switch {
	case u.handle != nil:
		u.handle(w, r)
	case strings.HasPrefix(r.URL.Path, "/stream/"):
		events(1, 6).ServeHTTP(w, r)
	default:
		_, _ = fmt.Fprintf(w, "%s %s: %s", r.Method, r.RequestURI, body)
	}
}

func (u *upstreams) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// unreachable returns upstreams whose hosts refuse connections. Their ports are bound, so that no other
// server of a test gets them.
func unreachable(t *testing.T, number int) (all []inventory.Upstream) {
	t.Helper()
	for i := range number {
		socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = unix.Close(socket) })
		if err = unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
			t.Fatal(err)
		}
		bound, err := unix.Getsockname(socket)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, inventory.Upstream{Name: fmt.Sprint("u", i), Address: fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)})
	}
	return all
}

// testSurvey is a Survey that a test sets, and that keeps what it is told.
type testSurvey struct {
	cut atomic.Bool

	mu   sync.Mutex
	told []string
}

func (s *testSurvey) Reached(string)   { s.record("reached") }
func (s *testSurvey) Unreached(string) { s.record("unreached") }
func (s *testSurvey) IsCutOff() bool   { return s.cut.Load() }

func (s *testSurvey) record(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, what)
}

// fixedPeers are the daemons to pass requests on to, in order.
type fixedPeers []Peer

func (p fixedPeers) Candidates(func(string) bool) []Peer { return p }

// testDaemon is a daemon that callers and other daemons reach at its address.
type testDaemon struct {
	*Forwarder
	survey *testSurvey
	slots  *fixedSlots
	// received counts the requests that came to its address.
	received atomic.Int64
	address  string
}

func newDaemon(t *testing.T, all []inventory.Upstream, peers ...Peer) *testDaemon {
	t.Helper()
	hash := sha256.Sum256([]byte(callersToken))
	config := inventory.Config{
		Revision: 1, Upstreams: all, Organisations: []inventory.Organisation{{Name: "o", TokenSHA256: hex.EncodeToString(hash[:])}},
		Routes: []inventory.Route{
			{Name: "idempotent", Host: callersHost, Path: kinds()[0], Idempotent: true, MaxAttempts: 3},
			{Name: "once", Host: callersHost, Path: kinds()[1], MaxAttempts: 1},
			{Name: "stream", Host: callersHost, Path: kinds()[2], Stream: true, Resumable: true, MaxAttempts: 3},
		},
	}
	d := &testDaemon{survey: &testSurvey{}, slots: &fixedSlots{upstreams: all}}
	d.Forwarder = &Forwarder{
		Source: &fixedSource{config: config}, Clock: clock.System{}, Reserver: d.slots, Sender: &sender.Sender{}, Protocol: sealedProtocol{},
		Budget: &Budget{RetriesPerRequest: 1, ExtraRetries: 100, Daemons: func() int { return 1 }},
		Survey: d.survey, Peers: fixedPeers(peers), CallerProtocol: sealedProtocol{},
	}
	for range 5 {
		d.Budget.AddRequest("")
	}
	for _, kind := range kinds() {
		d.runTimes.add(strings.Trim(kind, "/"), testRunTime)
	}
	front := &listener.Listener{Source: d.Source, Clock: d.Clock, Handler: d, Head: readHead}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.received.Add(1)
		front.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	return d
}

func (d *testDaemon) peer(name string) Peer { return Peer{Name: name, Address: d.address} }

// call is what a caller of a daemon gets.
type call struct {
	recorder *httptest.ResponseRecorder
	err      error
	// refusal is nil if there is none.
	refusal *refuser.Refusal
}

func (c call) String() string {
	return fmt.Sprintf("%d %q, %v", c.recorder.Code, c.recorder.Body.String(), c.err)
}

// do sends a request of a kind to the daemon.
func (d *testDaemon) do(ctx context.Context, kind, id string) (c call) {
	now := d.Clock.Now()
	config := d.Source.Current()
	r := httptest.NewRequest(http.MethodPost, "http://"+callersHost+kind+"a?b=c", nil)
	r.Header.Set(headerID, id)
	r.Header.Set("Authorization", "Bearer "+callersToken)
	r.Header.Set(headerTimeout, "8000")
	r.RequestURI = kind + "a?b=c"
	head := readHead(r)
	head.Arrived = now
	rules := classifier.New(config)
	admission, err := rules.Admit(head)
	if err != nil {
		return call{err: err}
	}
	c.recorder = httptest.NewRecorder()
	c.err = d.Handle(ctx, c.recorder, rules.Complete(admission, head, []byte("body of "+id)))
	errors.As(c.err, &c.refusal)
	return c
}

// wholeAnswer returns the answer to a request of a kind.
func wholeAnswer(kind, id string) string {
	if kind == "/stream/" {
		return strings.Join(events(1, 6), "")
	}
	return fmt.Sprintf("POST %sa?b=c: body of %s", kind, id)
}
