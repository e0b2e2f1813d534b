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

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/sender"
)

// refusingProtocol is taggedProtocol with refusals that state that the request has not run.
type refusingProtocol struct{ taggedProtocol }

func (refusingProtocol) ResponseInfo(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{RequestID: header.Get("Id"), Authenticated: true, NotRun: header.Get("Not-Run") != ""}
}

// refusingServer holds upstreams on raw connections that refuse some requests and write a refusal
// once more, before the answer to a request that they run.
type refusingServer struct {
	// tagged lets refusals name their request.
	tagged bool
	// refuseEvery refuses each request on a connection whose number is a multiple of it; 0
	// refuses none.
	refuseEvery int

	mu     sync.Mutex
	runs   map[string]int
	copies int
}

func (s *refusingServer) serve(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *refusingServer) refusal(id string) string {
	tag := ""
	if s.tagged {
		tag = "Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + tag + "Content-Length: 0\r\n\r\n"
}

func (s *refusingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	earlier := s.refusal("earlier")
	for number := 1; ; number++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		if s.refuseEvery > 0 && number%s.refuseEvery == 0 {
			earlier = s.refusal(id)
			_, _ = io.WriteString(conn, earlier)
			continue
		}
		s.mu.Lock()
		s.runs[id]++
		if number > 1 {
			s.copies++
			_, _ = io.WriteString(conn, earlier)
		}
		s.mu.Unlock()
		body := "answer to " + id
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
}

// TestRepeatedRefusalIsNotTakenForTheNextRequest guards against a refusal that an upstream writes once
// more on a kept connection: the caller of the next request is told that it has not run, or it
// runs on a second upstream.
func TestRepeatedRefusalIsNotTakenForTheNextRequest(t *testing.T) {
	for _, tagged := range []bool{true, false} {
		for _, refuseEvery := range []int{0, 2, 3} {
			t.Run(fmt.Sprintf("tagged %t, refuses every %d", tagged, refuseEvery), func(t *testing.T) {
				t.Parallel()
				server := &refusingServer{tagged: tagged, refuseEvery: refuseEvery, runs: map[string]int{}}
				testRepeatedRefusal(t, server)
			})
		}
	}
}

func testRepeatedRefusal(t *testing.T, server *refusingServer) {
	var upstreams []inventory.Upstream
	for i := range 3 {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = socket.Close() }()
		go server.serve(socket)
		upstreams = append(upstreams, inventory.Upstream{Name: fmt.Sprint("u", i), Address: socket.Addr().String()})
	}
	f := &Forwarder{
		Source: &fixedSource{config: inventory.Config{Upstreams: upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams},
		Sender: &sender.Sender{}, Protocol: refusingProtocol{},
		Budget: &Budget{RetriesPerRequest: 1, ExtraRetries: 1000, Daemons: func() int { return 1 }},
	}
	answered := 0
	const requests = 60
	for i := range requests {
		id := fmt.Sprint(i)
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, &classifier.Request{
			ID: id, Pool: "p", MaxAttempts: 1, Deadline: clock.System{}.Now() + 20*clock.Second,
			Method: http.MethodPost, Path: "/", Body: []byte("body of " + id),
		})
		server.mu.Lock()
		runs := server.runs[id]
		server.mu.Unlock()
		var refusal *refuser.Refusal
		if errors.As(err, &refusal) && refusal.Outcome == refuser.NotRun && runs > 0 {
			t.Errorf("request %s was refused as not run, and ran", id)
		}
		if runs > 1 {
			t.Errorf("request %s ran %d times", id, runs)
		}
		if err == nil && recorder.Body.String() == "answer to "+id {
			answered++
		}
	}
	if answered < requests/4 {
		t.Errorf("%d of %d requests got their answer", answered, requests)
	}
}
