package convictor_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/convictor"
)

const killer, innocent = 7, 8

type step struct {
	at      clock.Millis
	message convictor.Message
	want    []convictor.Effect
}

func run(t *testing.T, steps []step) {
	t.Helper()
	core := &convictor.Core{Memory: clock.Minute}
	for i, s := range steps {
		if got := core.Step(s.at, s.message); !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d: got %+v, want %+v", i, got, s.want)
		}
	}
}

func admit(id, fingerprint uint64, upstream string) convictor.Admit {
	return convictor.Admit{ID: id, Fingerprint: fingerprint, Upstream: upstream}
}

func TestSecondDeathConvictsUntilForgotten(t *testing.T) {
	first := convictor.Death{Fingerprint: killer, Upstream: "a", Started: 10, Time: 20}
	second := convictor.Death{Fingerprint: killer, Upstream: "b", Started: 30, Time: 40}
	run(t, []step{
		{10, admit(1, killer, "a"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{20, convictor.Died{ID: 1}, []convictor.Effect{convictor.Tell{Death: first}}},
		{30, admit(2, killer, "b"), []convictor.Effect{convictor.Allow{ID: 2}}},
		{35, admit(3, killer, "c"), []convictor.Effect{convictor.Wait{ID: 3}}},
		{40, convictor.Died{ID: 2}, []convictor.Effect{convictor.Tell{Death: second}}},
		{50, admit(4, killer, "c"), []convictor.Effect{convictor.Refuse{ID: 4}}},
		{41 + clock.Minute, admit(5, killer, "c"), []convictor.Effect{convictor.Allow{ID: 5}}},
	})
}

func TestNewsConvicts(t *testing.T) {
	run(t, []step{
		{10, convictor.News{Death: convictor.Death{Fingerprint: killer, Upstream: "a", Started: 1, Time: 5}}, nil},
		{11, convictor.News{Death: convictor.Death{Fingerprint: killer, Upstream: "a", Started: 2, Time: 6}}, nil},
		{12, admit(1, killer, "b"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{13, convictor.News{Death: convictor.Death{Fingerprint: killer, Upstream: "a", Started: 8, Time: 9}}, nil},
		{14, admit(2, killer, "b"), []convictor.Effect{convictor.Refuse{ID: 2}}},
	})
}

func TestSuspectsRunApartAndWholeAnswersClear(t *testing.T) {
	death := func(fingerprint uint64) convictor.Death {
		return convictor.Death{Fingerprint: fingerprint, Upstream: "a", Started: 1, Time: 2}
	}
	run(t, []step{
		{1, admit(1, killer, "a"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{1, admit(2, innocent, "a"), []convictor.Effect{convictor.Allow{ID: 2}}},
		{2, convictor.Died{ID: 1}, []convictor.Effect{convictor.Tell{Death: death(killer)}}},
		{2, convictor.Died{ID: 2}, []convictor.Effect{convictor.Tell{Death: death(innocent)}}},
		{3, admit(3, killer, "b"), []convictor.Effect{convictor.Allow{ID: 3}}},
		{3, admit(4, innocent, "b"), []convictor.Effect{convictor.Wait{ID: 4}}},
		{3, admit(5, innocent, "c"), []convictor.Effect{convictor.Allow{ID: 5}}},
		{4, convictor.Ended{ID: 5, Whole: true}, nil},
		{5, admit(6, innocent, "b"), []convictor.Effect{convictor.Allow{ID: 6}}},
	})
}
