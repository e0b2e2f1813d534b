package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// soundPause is a silence of a sound upstream.
const soundPause = 1200 * time.Millisecond

// pausing sends six events and pauses after those whose numbers are given.
func pausing(pause time.Duration, after ...int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i, event := range events(1, 6) {
			_, _ = w.Write([]byte(event))
			_ = http.NewResponseController(w).Flush()
			for _, number := range after {
				if number == i+1 {
					time.Sleep(pause)
				}
			}
		}
	})
}

// TestStreamIsNotGivenUpForASecondOfSilence guards against a stream that is cut because its upstream was silent for
// a moment, and the one that should have taken over did not.
func TestStreamIsNotGivenUpForASecondOfSilence(t *testing.T) {
	want := strings.Join(events(1, 6), "")
	for name, other := range map[string]http.Handler{
		"fails":      answers(http.StatusInternalServerError, "text/plain", "failed"),
		"refuses":    answers(http.StatusServiceUnavailable, "text/plain", "full"),
		"breaks off": breaksOff(script{}),
		"hangs":      script{"hang"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body, _, err := forwardTo(t, 1, pausing(soundPause, 3), other)
			if err != nil || body != want {
				t.Errorf("%v, %q", err, body)
			}
		})
	}
}

// TestStreamThatStallsAgainGoesOnElsewhere guards against a stream that stays with an upstream which is silent again
// and again.
func TestStreamThatStallsAgainGoesOnElsewhere(t *testing.T) {
	begun := time.Now()
	body, _, err := forwardTo(t, 1, pausing(soundPause, 1, 2, 3, 4, 5), events(1, 6))
	if want := strings.Join(events(1, 6), ""); err != nil || body != want {
		t.Errorf("%v, %q", err, body)
	}
	if took := time.Since(begun); took > 3*soundPause {
		t.Errorf("the stream took %v, the whole of it takes %v at the first upstream", took, 5*soundPause)
	}
}

// TestStreamIsNotGivenUpWhenItsCallerIsAboutToLeave guards against an upstream that is given up though no other one
// could go on before the caller leaves.
func TestStreamIsNotGivenUpWhenItsCallerIsAboutToLeave(t *testing.T) {
	patience := func(req *classifier.Request) { req.Patience = soundSilence + sender.MaxEndTimeout/2 }
	body, _, err := forwardWith(t, patience, 1, pausing(soundSilence.Duration()+200*time.Millisecond, 3), breaksOff(script{}))
	if want := strings.Join(events(1, 6), ""); err != nil || body != want {
		t.Errorf("%v, %q", err, body)
	}
}
