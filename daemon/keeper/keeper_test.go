package keeper_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/keeper"
)

func parts(hashes ...uint64) (list []keeper.Part) {
	for _, h := range hashes {
		list = append(list, keeper.Part{Hash: h, Tokens: 1000})
	}
	return list
}

// Guards against a part that counts although a part before it is gone, or that another prompt holds.
func TestOnlyLeadingPartsCount(t *testing.T) {
	k := &keeper.Keeper{}
	k.Use(0, parts(1, 2), 2500)
	for _, c := range []struct {
		parts []keeper.Part
		want  int
	}{
		{parts(1, 2), 2000}, {parts(1, 3), 1000}, {parts(3, 2), 0}, {parts(2), 1000}, {nil, 0},
	} {
		if got := k.Expected(0, c.parts, 100_000, 0); got != c.want {
			t.Errorf("%v: %d tokens, want %d", c.parts, got, c.want)
		}
	}
	k.Forget()
	if got := k.Expected(0, parts(1, 2), 100_000, 0); got != 0 {
		t.Errorf("%d tokens after its memory was lost", got)
	}
}

// Guards against a part that counts after the memory has been used up for other prompts, or that is
// given up long before.
func TestPartsYieldToWhatFollows(t *testing.T) {
	k := &keeper.Keeper{}
	k.Use(0, parts(1), 1000)
	for _, step := range []struct {
		more, running, want int
	}{
		{0, 0, 1000}, {30_000, 0, 1000}, {0, 60_000, 1000}, {0, 70_000, 500}, {20_000, 0, 1000}, {50_000, 0, 500}, {30_000, 0, 0},
	} {
		k.Use(0, nil, step.more)
		if got := k.Expected(0, parts(1), 100_000, step.running); got < step.want-1 || got > step.want+1 {
			t.Errorf("%+v: %d tokens", step, got)
		}
	}
	k.Use(0, parts(1), 1000)
	if got := k.Expected(0, parts(1), 100_000, 0); got != 1000 {
		t.Errorf("%d tokens right after another use", got)
	}
	if got := k.Expected(10*clock.Second, parts(1), 0, 0); got < 490 || got > 510 {
		t.Errorf("%d tokens after 10 s with an unknown memory", got)
	}
}

// Guards against a belief that goes on although nothing confirms it.
func TestUnconfirmedPartsCountLess(t *testing.T) {
	k := &keeper.Keeper{}
	k.Use(0, parts(1), 1000)
	for range 30 {
		k.Check(0)
	}
	if got := k.Expected(0, parts(1), 100_000, 0); got > 50 {
		t.Errorf("%d tokens after thirty checks that found nothing", got)
	}
	for range 30 {
		k.Check(1)
	}
	if got := k.Expected(0, parts(1), 100_000, 0); got < 900 {
		t.Errorf("%d tokens after thirty checks that confirmed all", got)
	}
}

// Guards against memory that grows with each part that was ever seen.
func TestRememberedPartsAreBounded(t *testing.T) {
	k := &keeper.Keeper{}
	for i := range uint64(100_000) {
		k.Use(0, parts(i), 1100)
	}
	if got := k.Expected(0, parts(99_999), 1<<20, 0); got != 1000 {
		t.Errorf("the newest part is forgotten: %d", got)
	}
	if got := k.Expected(0, parts(3), 1<<40, 0); got != 0 {
		t.Errorf("the first part is still remembered: %d", got)
	}
}
