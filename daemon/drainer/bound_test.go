package drainer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/drainer"
)

// bubbleClock is a clock.Clock that follows the fake time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Millis { return clock.FromTime(time.Now()) }

// MaxAcceptTime must end the accepting of requests even if answers live longer, and
// WaitIdle must neither drop requests in progress nor wait for ever.
func TestBoundedDrainClosesInTimeAndWaitIdleWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &drainer.Drainer{
			Clock: bubbleClock{}, Leave: func(context.Context) {}, AddressLifetime: func() clock.Millis { return clock.Minute },
			PropagationTime: func() clock.Millis { return clock.Second }, MaxAcceptTime: 3 * clock.Second,
		}
		release := make(chan struct{})
		handler := d.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		go handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		synctest.Wait()
		start := time.Now()
		d.Drain(t.Context())
		if elapsed := time.Since(start); elapsed != 3*time.Second || !d.Closed() || !d.Leaving() {
			t.Errorf("Drain returned after %v, want 3s, closed and leaving", elapsed)
		}
		go func() {
			time.Sleep(2 * time.Second)
			close(release)
		}()
		d.WaitIdle(t.Context())
		if elapsed := time.Since(start); elapsed < 5*time.Second || elapsed > 6*time.Second || d.InProgress() != 0 {
			t.Errorf("WaitIdle returned after %v with %d in progress", elapsed, d.InProgress())
		}
		// A request that never ends delays WaitIdle only until its context ends.
		d = &drainer.Drainer{Clock: bubbleClock{}}
		forever := make(chan struct{})
		handler = d.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-forever }))
		go handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start = time.Now()
		d.WaitIdle(ctx)
		if elapsed := time.Since(start); elapsed > 1100*time.Millisecond {
			t.Errorf("WaitIdle returned after %v, want 1s", elapsed)
		}
		close(forever)
	})
}
