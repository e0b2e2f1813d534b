package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

// slowCallerGrace is how much longer than its request may run a caller may take to read what has come
// of a stream.
const slowCallerGrace = 2 * clock.Second

// endWritesAfter bounds the writes to the caller once ctx has ended, until the returned function is
// called: a caller that reads a stream slowly would keep a slot of the upstream beyond the time of its
// request. What is written after that has no bound, as it keeps no slot.
func (r *requestState) endWritesAfter(ctx context.Context) (unbound func()) {
	controller := http.NewResponseController(r.w)
	var mu sync.Mutex
	ended := false
	stop := context.AfterFunc(ctx, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended {
			// Writers of tests that know no deadlines don't block either.
			_ = controller.SetWriteDeadline(time.Now().Add(slowCallerGrace.Duration()))
		}
	})
	return func() {
		if stop() {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ended = true
		_ = controller.SetWriteDeadline(time.Time{})
	}
}
