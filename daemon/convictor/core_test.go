package convictor_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/convictor"
)

const crashing, harmless = 7, 8

type step struct {
	at      clock.Millis
	message convictor.Message
	want    []convictor.Effect
}

func runSteps(t *testing.T, steps []step) {
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

// TestSecondDeathConvictsUntilForgotten guards against a request that crashes
// upstreams being retried forever, and against a conviction that never expires.
func TestSecondDeathConvictsUntilForgotten(t *testing.T) {
	first := convictor.Death{Fingerprint: crashing, Upstream: "a", Started: 10, Time: 20}
	second := convictor.Death{Fingerprint: crashing, Upstream: "b", Started: 30, Time: 40}
	runSteps(t, []step{
		{10, admit(1, crashing, "a"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{20, convictor.Died{ID: 1}, []convictor.Effect{convictor.Broadcast{Death: first}}},
		{30, admit(2, crashing, "b"), []convictor.Effect{convictor.Allow{ID: 2}}},
		{35, admit(3, crashing, "c"), []convictor.Effect{convictor.Wait{ID: 3}}},
		{40, convictor.Died{ID: 2}, []convictor.Effect{convictor.Broadcast{Death: second}}},
		{50, admit(4, crashing, "c"), []convictor.Effect{convictor.Refuse{ID: 4}}},
		{41 + clock.Minute, admit(5, crashing, "c"), []convictor.Effect{convictor.Allow{ID: 5}}},
	})
}

// TestRemoteDeathsConvict guards against a daemon ignoring the deaths that other
// daemons observed, or counting one death twice.
func TestRemoteDeathsConvict(t *testing.T) {
	runSteps(t, []step{
		{10, convictor.RemoteDeath{Death: convictor.Death{Fingerprint: crashing, Upstream: "a", Started: 1, Time: 5}}, nil},
		{11, convictor.RemoteDeath{Death: convictor.Death{Fingerprint: crashing, Upstream: "a", Started: 2, Time: 6}}, nil},
		{12, admit(1, crashing, "b"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{13, convictor.RemoteDeath{Death: convictor.Death{Fingerprint: crashing, Upstream: "a", Started: 8, Time: 9}}, nil},
		{14, admit(2, crashing, "b"), []convictor.Effect{convictor.Refuse{ID: 2}}},
	})
}

// TestSuspectsRunAloneUntilAWholeAnswer guards against convicting a harmless
// request that runs beside a crashing one: suspects never share an upstream, and a
// complete answer clears the suspicion.
func TestSuspectsRunAloneUntilAWholeAnswer(t *testing.T) {
	death := func(fingerprint uint64) convictor.Death {
		return convictor.Death{Fingerprint: fingerprint, Upstream: "a", Started: 1, Time: 2}
	}
	runSteps(t, []step{
		{1, admit(1, crashing, "a"), []convictor.Effect{convictor.Allow{ID: 1}}},
		{1, admit(2, harmless, "a"), []convictor.Effect{convictor.Allow{ID: 2}}},
		{2, convictor.Died{ID: 1}, []convictor.Effect{convictor.Broadcast{Death: death(crashing)}}},
		{2, convictor.Died{ID: 2}, []convictor.Effect{convictor.Broadcast{Death: death(harmless)}}},
		{3, admit(3, crashing, "b"), []convictor.Effect{convictor.Allow{ID: 3}}},
		{3, admit(4, harmless, "b"), []convictor.Effect{convictor.Wait{ID: 4}}},
		{3, admit(5, harmless, "c"), []convictor.Effect{convictor.Allow{ID: 5}}},
		{4, convictor.Ended{ID: 5, Whole: true}, nil},
		{5, admit(6, harmless, "b"), []convictor.Effect{convictor.Allow{ID: 6}}},
	})
}
