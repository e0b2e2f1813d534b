package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// TestAnswerThatEndsWithItsConnection guards against a stream that was broken off inside an
// event and passes for whole, where neither a length nor chunks tell its end.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		body              string
		stream, resumable bool
		// complete means that the caller gets the whole body with a proper end.
		complete bool
	}{
		"plain":                               {"the answer", false, false, true},
		"stream":                              {events, true, false, true},
		"resumable stream":                    {events, true, true, true},
		"stream inside an event":              {events + "id: 3\nda", true, false, false},
		"resumable stream inside an event":    {events + "id: 3\nda", true, true, false},
		"stream inside its first event":       {"id: 1", true, false, false},
		"stream without an event":             {"", true, false, false},
		"resumable stream that has no events": {"", true, true, false},
	} {
		address, _ := startUpstream(t, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n%s", c.body)
			_ = conn.Close()
		})
		upstreams := []inventory.Upstream{{Name: "u", Address: address}}
		f := &Forwarder{
			Source: &fixedSource{inventory.Config{Upstreams: upstreams}}, Clock: clock.System{}, Reserver: &fixedSlots{upstreams: upstreams},
			Sender: &sender.Sender{}, Protocol: plainProtocol{}, Budget: &Budget{Daemons: func() int { return 1 }},
		}
		req := &classifier.Request{
			ID: "1", Method: http.MethodPost, Path: "/", Stream: c.stream, Resumable: c.resumable, MaxAttempts: 1,
			Deadline: clock.System{}.Now() + 5*clock.Second,
		}
		recorder := httptest.NewRecorder()
		err := f.Handle(t.Context(), recorder, req)
		if whole := err == nil && recorder.Body.String() == c.body; whole != c.complete {
			t.Errorf("%s: error %v, body %q", name, err, recorder.Body.String())
		}
	}
}
