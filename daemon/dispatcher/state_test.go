package dispatcher

import (
	"errors"
	"testing"

	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/relayer"
)

func TestOnlyNotSentPermitsAnotherAttemptOfANonIdempotentRequest(t *testing.T) {
	for s := NotSent; s <= Unknown; s++ {
		if s.another(false) != (s == NotSent) {
			t.Errorf("%v: another attempt %v", s, s.another(false))
		}
	}
	for _, s := range []State{Answering, Whole, Unknown} {
		if s.another(true) {
			t.Errorf("%v: an idempotent request is tried again after a part of the answer went on", s)
		}
	}
}

func TestStateThatAnAttemptReached(t *testing.T) {
	fresh := (&keeper.Keeper{}).Lone().Answer
	begun := (&keeper.Keeper{}).Lone().Answer
	begun.Begin(keeper.Head{})
	broken := errors.New("broken")
	for i, c := range []struct {
		err    error
		began  bool
		answer *keeper.Answer
		want   State
	}{
		{broken, false, fresh, NotSent},
		{broken, true, fresh, PartlySent},
		{relayer.ErrCrossed, true, fresh, Sent},
		{&relayer.StatusError{Status: 500}, true, fresh, Sent},
		{relayer.ErrCut, true, begun, Answering},
		{nil, true, begun, Whole},
	} {
		if got := reached(c.err, c.began, c.answer); got != c.want {
			t.Errorf("case %d: got %v, want %v", i, got, c.want)
		}
	}
}
