package dispatcher

import (
	"errors"
	"testing"

	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/relayer"
)

// TestNonIdempotentRequestIsRetriedOnlyIfNotSent guards against a second run of a
// request that must not repeat, and against a retry of any request after a part of
// its answer was forwarded.
func TestNonIdempotentRequestIsRetriedOnlyIfNotSent(t *testing.T) {
	for s := NotSent; s <= Unknown; s++ {
		if s.allowsRetry(false) != (s == NotSent) {
			t.Errorf("%v: another attempt %v", s, s.allowsRetry(false))
		}
	}
	for _, s := range []State{Answering, Completed, Unknown} {
		if s.allowsRetry(true) {
			t.Errorf("%v: an idempotent request is retried after a part of the answer was forwarded", s)
		}
	}
}

// TestStateAfterAttempt guards against an attempt that counts as not sent although
// a byte may have gone out: its request would run twice.
func TestStateAfterAttempt(t *testing.T) {
	fresh := (&deduplicator.Deduplicator{}).NewUnkeyedEntry().Answer
	begun := (&deduplicator.Deduplicator{}).NewUnkeyedEntry().Answer
	begun.SetHead(deduplicator.Head{})
	broken := errors.New("broken")
	for i, c := range []struct {
		err       error
		maybeSent bool
		answer    *deduplicator.Answer
		want      State
	}{
		{broken, false, fresh, NotSent},
		{broken, true, fresh, PartlySent},
		{relayer.ErrWrongAttempt, true, fresh, Sent},
		{&relayer.StatusError{Status: 500}, true, fresh, Sent},
		{relayer.ErrIncomplete, true, begun, Answering},
		{nil, true, begun, Completed},
	} {
		if got := stateAfter(c.err, c.maybeSent, c.answer); got != c.want {
			t.Errorf("case %d: got %v, want %v", i, got, c.want)
		}
	}
}
