package clock

import "context"

// Sleep waits for span, and doesn't if that is 0 or less. It returns true once span has passed, and false if ctx
// ends first.
func Sleep(ctx context.Context, span Millis) bool {
	if span <= 0 {
		return ctx.Err() == nil
	}
	elapsed, stop := startTimer(span)
	defer stop()
	select {
	case <-elapsed:
		return true
	case <-ctx.Done():
		return false
	}
}
