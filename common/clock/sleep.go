package clock

import (
	"context"
	"time"
)

// Sleep waits for span. It returns true once span has passed, and false if ctx
// ends first.
func Sleep(ctx context.Context, span Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
