package sender_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

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
