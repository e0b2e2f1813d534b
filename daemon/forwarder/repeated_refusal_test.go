package forwarder

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sender"
)

// copyingServer holds upstreams on raw connections that refuse each id a number of times, and write
// the refusal once more on its connection while they run the request with that id there.
type copyingServer struct {
	// status is that of refusals.
	status int
	// refusals is how often an id is refused before it runs.
	refusals int
	// copies is how often a refusal is written once more, copyAfter after the request came.
	copies    int
	copyAfter time.Duration
	// answerAfter is the time between the copies and the answer.
	answerAfter time.Duration

	mu      sync.Mutex
	refused map[string]int
	runs    map[string]int
}

func (s *copyingServer) serve(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *copyingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusedHere := map[string]bool{}
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\nNot-Run: 1\r\nId: %s\r\nContent-Length: 0\r\n\r\n", s.status, id)
		s.mu.Lock()
		refuses := s.refused[id] < s.refusals
		if refuses {
			s.refused[id]++
		} else {
			s.runs[id]++
		}
		s.mu.Unlock()
		if refuses {
			refusedHere[id] = true
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		time.Sleep(s.copyAfter)
		for range s.copies {
			if refusedHere[id] {
				_, _ = io.WriteString(conn, refusal)
			}
		}
		time.Sleep(s.answerAfter)
		body := "answer to " + id
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// TestCopyOfRefusalIsNotTakenForTheSameRequest guards against the copy of a refusal that an upstream writes while
// the request that it had refused is under way again: it ran, and is said not to have run or runs again.
func TestCopyOfRefusalIsNotTakenForTheSameRequest(t *testing.T) {
	for _, names := range []int{1, 3} {
		for _, status := range []int{
			http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusRequestTimeout,
		} {
			for _, refusals := range []int{1, 2} {
				server := &copyingServer{
					status: status, refusals: refusals, copies: refusals, copyAfter: time.Duration(refusals-1) * 10 * time.Millisecond,
					answerAfter: 20 * time.Millisecond, refused: map[string]int{}, runs: map[string]int{},
				}
				t.Run(fmt.Sprintf("%d names, status %d, refused %d times", names, status, refusals), func(t *testing.T) {
					t.Parallel()
					testCopyOfRefusal(t, names, server)
				})
			}
		}
	}
}

// TestCopyOfRefusalIsNotTakenUnderAnotherName guards against the same where the request comes back to a
// connection because an upstream that was restarted is listed under its old and its new name.
func TestCopyOfRefusalIsNotTakenUnderAnotherName(t *testing.T) {
	for _, names := range []int{2, 3, 4} {
		t.Run(fmt.Sprintf("%d names", names), func(t *testing.T) {
			t.Parallel()
			server := &copyingServer{status: http.StatusMisdirectedRequest, refusals: 1, copies: 1, refused: map[string]int{}, runs: map[string]int{}}
			f := server.forwarder(t, names)
			for i := range 20 {
				server.call(t, f, fmt.Sprint(i))
			}
			server.checkRuns(t)
		})
	}
}

// forwarder returns a forwarder for upstreams that all have the server's address.
func (s *copyingServer) forwarder(t *testing.T, names int) *Forwarder {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go s.serve(socket)
	var upstreams []inventory.Upstream
	for i := range names {
		upstreams = append(upstreams, inventory.Upstream{Name: fmt.Sprint("u", i), Address: socket.Addr().String()})
	}
	budget := &Budget{RetriesPerRequest: 1, ExtraRetries: 1000, Daemons: func() int { return 1 }}
	for range 200 {
		budget.AddRequest("p")
	}
	return &Forwarder{
		Source: &fixedSource{config: inventory.Config{Upstreams: upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams},
		Sender: &sender.Sender{}, Protocol: refusingProtocol{},
		Budget: budget,
	}
}

// call sends a request that may run once, and reports whether it got its answer. It fails the test if the
// request is said not to have run although it has.
func (s *copyingServer) call(t *testing.T, f *Forwarder, id string) (answered bool) {
	t.Helper()
	recorder := httptest.NewRecorder()
	err := f.Handle(t.Context(), recorder, &classifier.Request{
		ID: id, Pool: "p", MaxAttempts: 1, Deadline: clock.System{}.Now() + 20*clock.Second,
		Method: http.MethodPost, Path: "/", Body: []byte("body of " + id),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && refusal.Outcome == refuser.NotRun && s.runs[id] > 0 {
		t.Errorf("request %s was refused as not run, and ran", id)
	}
	return err == nil && recorder.Body.String() == "answer to "+id
}

// checkRuns fails the test if a request ran more than once.
func (s *copyingServer) checkRuns(t *testing.T) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, runs := range s.runs {
		if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
	}
}

func testCopyOfRefusal(t *testing.T, names int, server *copyingServer) {
	f := server.forwarder(t, names)
	const requests = 20
	answered := 0
	for i := range requests {
		// A caller that was refused comes again with the same id.
		for range server.refusals + 1 {
			if server.call(t, f, fmt.Sprint(i)) {
				answered++
				break
			}
		}
	}
	server.checkRuns(t)
	if answered < requests {
		t.Errorf("%d of %d requests got their answer", answered, requests)
	}
}
