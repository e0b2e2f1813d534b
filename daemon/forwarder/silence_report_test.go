package forwarder

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
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

// leavingCaller grants a slot, and lets the caller leave then.
type leavingCaller struct {
	*fixedSlots
	leave context.CancelFunc
}

func (c leavingCaller) Reserve(ctx context.Context, req *classifier.Request, excluded []string) (reserver.Slot, error) {
	defer c.leave()
	return c.fixedSlots.Reserve(ctx, req, excluded)
}

// TestCallerWhoLeavesDuringADialBlamesNoUpstream guards against a sound upstream that is paused for all daemons
// because a caller left before the connection to it was open.
func TestCallerWhoLeavesDuringADialBlamesNoUpstream(t *testing.T) {
	d := newDaemon(t, unreachable(t, 1))
	ctx, cancel := context.WithCancel(t.Context())
	d.Reserver = leavingCaller{d.slots, cancel}
	d.do(ctx, kinds()[1], "left")
	if len(d.slots.ended) != 1 || d.slots.ended[0].Outcome != reserver.NotSent || len(d.survey.told) > 0 {
		t.Errorf("slots ended with %v, the survey was told %v", d.slots.ended, d.survey.told)
	}
}
