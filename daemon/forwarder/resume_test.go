package forwarder

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// breaksOff sends events and then closes the connection in the middle of one.
func breaksOff(sent script) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		sent.ServeHTTP(w, r)
		_, _ = w.Write([]byte("id: 99\nda"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
}

// answers sends an answer that is no stream of events.
func answers(status int, contentType, body string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	})
}

// TestErrorIsNeverWrittenIntoAStream guards against a stream that broke off and goes on with the text of
// another upstream's error, or ends as if it were complete.
func TestErrorIsNeverWrittenIntoAStream(t *testing.T) {
	begun := strings.Join(events(1, 3), "")
	whole := strings.Join(events(1, 6), "")
	large := strings.Repeat("no room\n\n", maxBufferedBytes/4)
	for _, status := range []int{
		http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusTooManyRequests,
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
		http.StatusFound, http.StatusNoContent,
	} {
		for name, body := range map[string]string{"short": "no room", "like an event": "id: 4\ndata: no room\n\n", "large": large} {
			if status == http.StatusNoContent {
				body = ""
			}
			t.Run(fmt.Sprintf("status %d, %s", status, name), func(t *testing.T) {
				t.Parallel()
				failure := answers(status, "text/plain", body)
				got, _, err := forwardTo(t, 1, breaksOff(events(1, 3)), failure)
				if err == nil || got != begun {
					t.Errorf("the stream is passed off as whole or has other bytes: %v, %.80q", err, got)
				}
				got, _, err = forwardTo(t, 1, breaksOff(events(1, 3)), failure, events(1, 6))
				if (err == nil && got != whole) || (err != nil && got != begun) {
					t.Errorf("with a third upstream: %v, %.80q", err, got)
				}
			})
		}
	}
}

// TestOtherContentIsNeverWrittenIntoAStream guards against an answer of a success that is no stream of
// events and goes into one that has begun.
func TestOtherContentIsNeverWrittenIntoAStream(t *testing.T) {
	begun := strings.Join(events(1, 3), "")
	got, _, err := forwardTo(t, 1, breaksOff(events(1, 3)), answers(http.StatusOK, "application/json", "{\"error\":\"no room\"}\n\n"))
	if err == nil || got != begun {
		t.Errorf("%v, %q", err, got)
	}
}
