package forwarder

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
)

// TestCauseOfACutIsTold guards against cuts that logs and metrics blame on the wrong party.
func TestCauseOfACutIsTold(t *testing.T) {
	broken := fmt.Errorf("%w: unexpected EOF", errIncomplete)
	for want, c := range map[cutCause]struct {
		err     error
		timeout clock.Millis
		broke   bool
		gaveUp  error
	}{
		cutByStop:        {err: fmt.Errorf("%w: %w", errStopping, context.Canceled), timeout: clock.Second},
		cutByDeadline:    {err: context.DeadlineExceeded, gaveUp: errSilent},
		cutAfterGivingUp: {err: broken, timeout: clock.Second, broke: true, gaveUp: fmt.Errorf("%w: %w", errSilent, broken)},
		cutByUpstream:    {err: broken, timeout: clock.Second, broke: true, gaveUp: broken},
		cutOtherwise:     {err: errors.New("no upstream"), timeout: clock.Second},
	} {
		r := &requestState{Forwarder: &Forwarder{Clock: clock.System{}}, req: &classifier.Request{Deadline: clock.System{}.Now() + c.timeout}}
		r.headWritten, r.connectionBroke = true, c.broke
		r.recordGivingUp(c.gaveUp)
		if got := r.causeOfCut(c.err); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
