package clock

import (
	"context"
	"time"
)

// Sleep waits for a span and reports false when ctx ends first.
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
