package forwarder

import (
	"context"
	"net/http"
	"testing"

	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
)

// noPath refuses all slots as a scheduler does that takes the daemon for cut off.
type noPath struct{}

func (noPath) Reserve(context.Context, *classifier.Request, []string) (reserver.Slot, error) {
	return nil, refuser.New(http.StatusServiceUnavailable, "no path", "this daemon is taken to have no path")
}

// TestRequestIsPassedOnWhereItsDaemonGetsNoSlots guards against requests that are refused because a scheduler takes
// their daemon for cut off, while the daemon itself does not and other daemons could serve them.
func TestRequestIsPassedOnWhereItsDaemonGetsNoSlots(t *testing.T) {
	u := &upstreams{t: t}
	other := newDaemon(t, u.start(2))
	d := newDaemon(t, unreachable(t, 2), other.peer("other"))
	d.Reserver = noPath{}
	for _, kind := range kinds() {
		if c := d.do(t.Context(), kind, "id"+kind); c.err != nil || c.recorder.Code != http.StatusOK || u.ran("id"+kind) != 1 {
			t.Errorf("%s: %v, ran %d times", kind, c, u.ran("id"+kind))
		}
	}
	alone := newDaemon(t, unreachable(t, 2))
	alone.Reserver = noPath{}
	if c := alone.do(t.Context(), kinds()[0], "alone"); c.refusal == nil || c.refusal.Outcome != refuser.NotRun {
		t.Errorf("without other daemons: %v", c)
	}
}
