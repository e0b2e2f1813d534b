package forwarder

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
)

// plainAnswer makes the request of forwardWith one for an answer without events, with an objective.
func plainAnswer(objective clock.Millis) func(req *classifier.Request) {
	return func(req *classifier.Request) {
		req.Stream, req.Resumable, req.Idempotent, req.EventGap, req.LatencyObjective = false, false, true, 0, objective
	}
}

// pieces sends a body in pieces, with pauses between them.
func pieces(count int, pause time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range count {
			if i > 0 {
				time.Sleep(pause)
			}
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
		}
	})
}

// TestAnswerThatComesInPiecesIsNotGivenUp guards against an upstream that is taken for silent while
// it sends the body of an answer without events, or pauses for a second in it; the request fails
// if the other one refuses.
func TestAnswerThatComesInPiecesIsNotGivenUp(t *testing.T) {
	refuses := answers(http.StatusServiceUnavailable, "text/plain", "full")
	for name, c := range map[string]struct {
		count int
		pause time.Duration
	}{
		"pieces":        {12, 100 * time.Millisecond},
		"a pause in it": {2, soundPause},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			body, outcomes, err := forwardWith(t, plainAnswer(200), 1, pieces(c.count, c.pause), refuses)
			if want := strings.Repeat("x", c.count); err != nil || body != want || len(outcomes) != 1 || outcomes[0] != reserver.Completed {
				t.Errorf("%q, %v, outcomes %v", body, err, outcomes)
			}
		})
	}
}

// TestAnswerThatStopsInItsBodyIsTakenElsewhere guards against an answer without events that hangs in
// its body and is waited for until its deadline.
func TestAnswerThatStopsInItsBodyIsTakenElsewhere(t *testing.T) {
	hangs := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte("x"))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	body, _, err := forwardWith(t, plainAnswer(200), 1, hangs, answers(http.StatusOK, "text/plain", "whole"))
	if err != nil || body != "whole" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestSilenceIsMeasuredByWhatRunsUsuallyTake guards against sound upstreams that are given up on a
// route whose runs take longer than one and a half times its objective.
func TestSilenceIsMeasuredByWhatRunsUsuallyTake(t *testing.T) {
	for name, c := range map[string]struct {
		runs []clock.Millis
		want clock.Millis
	}{
		"no runs":              {nil, 900},
		"long runs":            {[]clock.Millis{1200, 1200, 1200, 1250}, 1800},
		"short runs, one long": {[]clock.Millis{60, 60, 5000}, 900},
	} {
		r := &requestState{Forwarder: &Forwarder{Clock: clock.System{}}, req: &classifier.Request{Route: "r", LatencyObjective: 600}}
		r.repeatable, r.maxRuns = true, 2
		for _, took := range c.runs {
			r.runTimes.add("r", took)
		}
		watch := r.watchSilence(t.Context(), inventory.Upstream{Name: "u"}, nil)
		if watch.timeout != c.want {
			t.Errorf("%s: silent after %d ms, want %d", name, watch.timeout, c.want)
		}
		watch.stop()
	}
}
