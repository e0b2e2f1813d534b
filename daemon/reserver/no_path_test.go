package reserver

import (
	"context"
	"errors"
	"testing"

	"yuccaspread/common/wire"
)

// TestRefusalForWantOfAPathIsTold guards against a request that is refused for another shard's reason, and so not
// passed on, although a scheduler takes its daemon for cut off.
func TestRefusalForWantOfAPathIsTold(t *testing.T) {
	refusal := func(reason wire.RefusalReason) error { return toRefusal(&wire.Refusal{Reason: reason}, "p") }
	noPath, deadline := refusal(wire.RefusalReason_REFUSAL_REASON_NO_PATH), refusal(wire.RefusalReason_REFUSAL_REASON_DEADLINE)
	noUpstream := refusal(wire.RefusalReason_REFUSAL_REASON_NO_UPSTREAM)
	if !IsNoPath(noPath) || IsNoPath(deadline) || IsNoPath(noUpstream) || IsNoPath(context.Canceled) || IsNoPath(nil) {
		t.Error("the refusal for want of a path is not told from others")
	}
	for _, c := range []struct{ first, later, want error }{
		{nil, deadline, deadline}, {deadline, noUpstream, deadline}, {deadline, noPath, noPath}, {noUpstream, noPath, noPath}, {noPath, deadline, noPath},
	} {
		if got := tellingRefusal(c.first, c.later); !errors.Is(got, c.want) {
			t.Errorf("%v, then %v: told %v, want %v", c.first, c.later, got, c.want)
		}
	}
}
