package relayer_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/sender"
)

// TestStreamThatGoesOnElsewhereIsCancelled guards against an upstream that goes on with a stream that
// could not be resumed, while another one runs it again.
func TestStreamThatGoesOnElsewhereIsCancelled(t *testing.T) {
	var mu sync.Mutex
	cancelled := ""
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case r.URL.Path == "/v1/load":
		case r.Method == http.MethodDelete:
			mu.Lock()
			defer mu.Unlock()
			cancelled = r.URL.Path
		default:
			<-r.Context().Done()
		}
	}))
	defer upstream.Close()
	relay := &relayer.Relay{
		Sender: &sender.Sender{}, AttemptID: "a.1", Resumable: true, Stream: true, SilenceTimeout: 500 * clock.Millisecond,
		Answer: &deduplicator.Answer{},
		Call:   sender.Call{Method: http.MethodPost, Address: strings.TrimPrefix(upstream.URL, "http://"), Path: "/v1/completions", Body: []byte("{}")},
	}
	if err := relay.Run(t.Context()); err == nil || !relay.MaybeSent {
		t.Fatalf("got %v, sent %t, want an error after the request was sent", err, relay.MaybeSent)
	}
	mu.Lock()
	defer mu.Unlock()
	if cancelled != "/v1/streams/a.1" {
		t.Errorf("cancelled %q", cancelled)
	}
}

// TestConnectionOfAStrayAnswerIsNotUsedAgain guards against a connection that stays one answer behind because
// the answer to another attempt had no body.
func TestConnectionOfAStrayAnswerIsNotUsedAgain(t *testing.T) {
	var mu sync.Mutex
	connections := map[string]bool{}
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		connections[r.RemoteAddr] = true
		mu.Unlock()
		w.Header().Set("X-Request-Id", "stray")
	}))
	defer upstream.Close()
	s := &sender.Sender{}
	const attempts = 3
	for i := range attempts {
		id := string(rune('a' + i))
		relay := &relayer.Relay{
			Sender: s, AttemptID: id, Answer: &deduplicator.Answer{},
			Call: sender.Call{Method: http.MethodPost, Address: strings.TrimPrefix(upstream.URL, "http://"), Path: "/", Body: []byte("{}"), RequestID: id},
		}
		if err := relay.Run(t.Context()); !errors.Is(err, relayer.ErrWrongAttempt) {
			t.Errorf("got %v, want %v", err, relayer.ErrWrongAttempt)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(connections) != attempts {
		t.Errorf("%d connections for %d attempts", len(connections), attempts)
	}
}
