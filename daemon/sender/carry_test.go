package sender_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"yuccaspread/daemon/sender"
)

// TestConnectionCarriesNoIDTwice guards against the answer to a request that passes for the answer to a later
// one with the same id, because both used one connection.
func TestConnectionCarriesNoIDTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, body := range []string{"", "body"} {
			remote := ""
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				remote = r.RemoteAddr
				requests++
			}))
			s := &sender.Sender{}
			send := func(id string) (connection string) {
				call := newCall(server, body, false)
				call.Method, call.RequestID = method, id
				if err := sendError(t.Context(), s, call); err != nil {
					t.Fatalf("%s %q: %v", method, body, err)
				}
				return remote
			}
			first, other, again := send("a"), send("b"), send("a")
			if first != other || again == first || requests != 3 {
				t.Errorf("%s %q: connections %s, %s and %s for %d requests, want a new one for the repeated id only", method, body, first, other, again, requests)
			}
			server.Close()
		}
	}
}

// TestConnectionCarriesBoundedRequests guards against the ids of a connection that is never replaced.
func TestConnectionCarriesBoundedRequests(t *testing.T) {
	const requests = 3000
	connections := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { connections[r.RemoteAddr]++ }))
	defer server.Close()
	s := &sender.Sender{}
	for i := range requests {
		call := newCall(server, "", false)
		call.RequestID = strconv.Itoa(i)
		if err := sendError(t.Context(), s, call); err != nil {
			t.Fatal(err)
		}
	}
	for connection, carried := range connections {
		if carried > sender.MaxCarriedRequests {
			t.Errorf("%s carried %d requests, at most %d allowed", connection, carried, sender.MaxCarriedRequests)
		}
	}
	if most := requests/sender.MaxCarriedRequests + 1; len(connections) > most {
		t.Errorf("%d connections for %d requests, want at most %d", len(connections), requests, most)
	}
}

// TestWornConnectionIsNotClosedUnderTheNextRequest guards against a connection that is replaced while the pool has
// given it to another request already.
func TestWornConnectionIsNotClosedUnderTheNextRequest(t *testing.T) {
	for _, answer := range []string{"", "body"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(w, answer)
		}))
		s := &sender.Sender{}
		var group sync.WaitGroup
		for g := range 8 {
			group.Go(func() {
				for i := range 6000 {
					call := newCall(server, "x", false)
					call.RequestID = strconv.Itoa(g) + "-" + strconv.Itoa(i)
					res, err := s.Send(t.Context(), call)
					if err == nil {
						_, err = io.Copy(io.Discard, res.Body)
						_ = res.Body.Close()
					}
					if err != nil {
						t.Errorf("answer %q: %v", answer, err)
					}
				}
			})
		}
		group.Wait()
		server.Close()
	}
}

// TestCopyOnAConnectionThatMustNotCarryTheRequest guards against a copy that comes just when the same id is about to
// be sent on the connection again, and is taken for the answer though nothing was sent.
func TestCopyOnAConnectionThatMustNotCarryTheRequest(t *testing.T) {
	server := newCopyingServer(t)
	s := &sender.Sender{}
	for i := range 5000 {
		for try := 1; try <= 2; try++ {
			id := strconv.Itoa(i)
			res, err := s.Send(t.Context(), sender.Call{
				Method: http.MethodPost, Address: server.address, Path: "/", Header: http.Header{"Id": {id}}, Body: []byte("x"), RequestID: id,
			})
			if err != nil {
				continue
			}
			if try == 2 && res.StatusCode != http.StatusOK && server.arrivals(id) < 2 {
				t.Errorf("%s got the copy of its refusal and was not sent", id)
			}
			_ = res.Body.Close()
		}
	}
}

// copyingServer refuses the first request of each id, and writes the refusal once more shortly after.
type copyingServer struct {
	address string

	mu      sync.Mutex
	arrived map[string]int
}

func newCopyingServer(t *testing.T) *copyingServer {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	s := &copyingServer{address: socket.Addr().String(), arrived: map[string]int{}}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn)
		}
	}()
	return s
}

func (s *copyingServer) arrivals(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived[id]
}

func (s *copyingServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Id")
		s.mu.Lock()
		s.arrived[id]++
		first := s.arrived[id] == 1
		s.mu.Unlock()
		if !first {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		refusal := fmt.Sprintf("HTTP/1.1 503 Refused\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		_, _ = io.WriteString(conn, refusal)
		// A sleep would be longer than the time until the next request.
		for end := time.Now().Add(time.Duration(number%200) * time.Microsecond); time.Now().Before(end); {
		}
		_, _ = io.WriteString(conn, refusal)
	}
}
