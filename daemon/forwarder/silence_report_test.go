package forwarder

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"yuccaspread/common/clock"
)

// TestSilentUpstreamIsReportedBeforeTheAttemptEnds guards against a cut that stays unknown until callers leave,
// because all requests wait on kept connections.
func TestSilentUpstreamIsReportedBeforeTheAttemptEnds(t *testing.T) {
	u := &upstreams{t: t, handle: func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep((silentReportTime + 200*clock.Millisecond).Duration())
		_, _ = w.Write([]byte("late"))
	}}
	d := newDaemon(t, u.start(1))
	if c := d.do(t.Context(), kinds()[1], "late"); c.err != nil {
		t.Fatal(c)
	}
	if told := d.survey.told; len(told) < 2 || told[0] != "unreached" || !slices.Contains(told, "reached") {
		t.Errorf("the survey was told %v", told)
	}
}
