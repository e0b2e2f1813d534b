package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// taggedProtocol carries the id of a request in a header of requests and answers.
type taggedProtocol struct{}

func (taggedProtocol) Header(a Attempt) http.Header { return http.Header{"Id": {a.Request.ID}} }

func (taggedProtocol) ReportPath(*classifier.Request) string { return "" }

func (taggedProtocol) ResponseInfo(_ int, header http.Header) ResponseInfo {
	return ResponseInfo{RequestID: header.Get("Id"), Authenticated: true}
}

// repeatingServer is an upstream on raw connections that sends a second copy of the answer
// before, at a place that place names.
type repeatingServer struct {
	t      *testing.T
	place  string
	stream bool
	// copies counts the second copies that were sent.
	copies atomic.Int64
}

func (s *repeatingServer) serve(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *repeatingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	previous := ""
	sendCopy := func(place string) {
		if place == s.place && previous != "" {
			s.copies.Add(1)
			_, _ = io.WriteString(conn, previous)
		}
	}
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sendCopy("before the body was read")
		_, _ = io.Copy(io.Discard, req.Body)
		sendCopy("before the answer")
		answer := s.answerTo(req.Header.Get("Id"))
		if _, err = io.WriteString(conn, answer); err != nil {
			return
		}
		previous = answer
		sendCopy("with the answer")
		if s.place == "on the idle connection" {
			time.Sleep(20 * time.Millisecond)
			sendCopy("on the idle connection")
		}
	}
}

// answerTo returns a whole answer whose body names the request.
func (s *repeatingServer) answerTo(id string) string {
	if !s.stream {
		body := "answer to " + id
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	event := fmt.Sprintf("id: 1\ndata: answer to %s\n\n", id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(event), event)
}

// TestSecondCopyReachesNoOtherCaller guards against an answer that an upstream sends twice:
// the copy arrives on a connection that carries the next request, whose caller must not
// get it. A request that may run again has to get its own answer.
func TestSecondCopyReachesNoOtherCaller(t *testing.T) {
	for _, place := range []string{"with the answer", "on the idle connection", "before the body was read", "before the answer"} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %t", place, stream), func(t *testing.T) {
				t.Parallel()
				testSecondCopy(t, place, stream)
			})
		}
	}
}

func testSecondCopy(t *testing.T, place string, stream bool) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	server := &repeatingServer{t: t, place: place, stream: stream}
	go server.serve(socket)
	slots := &fixedSlots{}
	for i := range 3 {
		// The names differ, so that a request may try the same server again.
		slots.upstreams = append(slots.upstreams, inventory.Upstream{Name: fmt.Sprintf("u%d", i), Address: socket.Addr().String()})
	}
	f := &Forwarder{
		Source: &fixedSource{config: inventory.Config{Upstreams: slots.upstreams}}, Clock: clock.System{}, Reserver: slots,
		Sender: &sender.Sender{}, Protocol: taggedProtocol{},
		Budget: &Budget{RetriesPerRequest: 1, ExtraRetries: 1000, Daemons: func() int { return 1 }},
	}
	own := 0
	const requests = 30
	for i := range requests {
		id, repeatable := fmt.Sprint(i), i%2 == 0
		now := clock.System{}.Now()
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, &classifier.Request{
			ID: id, Pool: "p", Stream: stream, Idempotent: repeatable, MaxAttempts: 3, Arrived: now, Deadline: now + 20*clock.Second,
			Method: http.MethodPost, Path: "/", Body: []byte("body of " + id),
		})
		if body := recorder.Body.String(); err == nil && strings.Contains(body, "answer to ") {
			if !strings.Contains(body, "answer to "+id) || strings.Count(body, "answer to") != 1 {
				t.Fatalf("request %s got %q", id, body)
			}
			own++
		}
		if i%3 == 0 {
			time.Sleep(30 * time.Millisecond)
		}
	}
	if server.copies.Load() == 0 && place != "on the idle connection" {
		t.Error("no second copy was sent")
	}
	if own < requests/2 {
		t.Errorf("%d of %d requests got their answer", own, requests)
	}
}
