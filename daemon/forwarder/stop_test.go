package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// plannedStop is a Stop that has begun.
type plannedStop struct{ cutoff clock.Millis }

func (plannedStop) Begun() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (s plannedStop) Cutoff() clock.Millis { return s.cutoff }

// noSlots lets every request wait until its context ends.
type noSlots struct{}

func (noSlots) Reserve(ctx context.Context, _ *classifier.Request, _ []string) (reserver.Slot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// handleInStop forwards a request that must not be repeated while a planned stop is under way.
// Of the time until the cutoff, earlier runs of its route have taken all but the spare time.
func handleInStop(t *testing.T, slots reserver.Reserver, config inventory.Config, untilCutoff, spare clock.Millis) (refusal *refuser.Refusal) {
	t.Helper()
	const route = "route"
	now := clock.System{}.Now()
	f := &Forwarder{
		Source: &fixedSource{config: config}, Clock: clock.System{}, Reserver: slots, Sender: &sender.Sender{}, Protocol: plainProtocol{},
		Budget: &Budget{Daemons: func() int { return 1 }}, Stop: plannedStop{cutoff: now + untilCutoff},
	}
	f.runTimes.add(route, untilCutoff-spare)
	err := f.Handle(t.Context(), httptest.NewRecorder(), &classifier.Request{
		ID: "1", Pool: "p", Route: route, MaxAttempts: 1, Arrived: now, Deadline: now + clock.Day, Method: http.MethodPost, Path: "/",
	})
	if !errors.As(err, &refusal) {
		t.Fatalf("handled with %v, want a refusal", err)
	}
	return refusal
}

// TestPlannedStopRefusesRequestsThatWait guards against requests that wait for a slot until a
// planned stop closes their connections, and are never told that they have not run.
func TestPlannedStopRefusesRequestsThatWait(t *testing.T) {
	for _, untilCutoff := range []clock.Millis{200, clock.Hour} {
		refusal := handleInStop(t, noSlots{}, inventory.Config{}, untilCutoff, 100)
		if refusal.Status != http.StatusServiceUnavailable || refusal.Outcome != refuser.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("%d ms before the cutoff: %+v", untilCutoff, refusal)
		}
	}
}

// TestPlannedStopStartsNoRunThatItWouldCut guards against requests that are sent to an upstream
// although the planned stop leaves no time for their answer.
func TestPlannedStopStartsNoRunThatItWouldCut(t *testing.T) {
	arrivals := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrivals <- struct{}{} }))
	defer server.Close()
	u := inventory.Upstream{Name: "u", Address: strings.TrimPrefix(server.URL, "http://")}
	refusal := handleInStop(t, &fixedSlots{upstreams: []inventory.Upstream{u}}, inventory.Config{Upstreams: []inventory.Upstream{u}}, clock.Hour, -1)
	if refusal.Status != http.StatusServiceUnavailable || refusal.Outcome != refuser.NotRun || len(arrivals) > 0 {
		t.Errorf("%+v, %d arrivals", refusal, len(arrivals))
	}
}

// TestPlannedStopAnswersRequestsThatRun guards against a connection that a planned stop closes
// without an answer, and against an answer that calls a request not run while it runs.
func TestPlannedStopAnswersRequestsThatRun(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer server.Close()
	u := inventory.Upstream{Name: "u", Address: strings.TrimPrefix(server.URL, "http://")}
	refusal := handleInStop(t, &fixedSlots{upstreams: []inventory.Upstream{u}}, inventory.Config{Upstreams: []inventory.Upstream{u}}, 2000, 1950)
	if refusal.Status != http.StatusBadGateway || refusal.Outcome != refuser.Unknown {
		t.Errorf("%+v", refusal)
	}
}
