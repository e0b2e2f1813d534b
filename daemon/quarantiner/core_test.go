package quarantiner_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/quarantiner"
)

const crashing, harmless = 7, 8

type step struct {
	at      clock.Millis
	message quarantiner.Message
	want    []quarantiner.Effect
}

func runSteps(t *testing.T, steps []step) {
	t.Helper()
	core := &quarantiner.Core{Retention: clock.Minute}
	for i, s := range steps {
		if got := core.Step(s.at, s.message); !reflect.DeepEqual(got, s.want) {
			t.Fatalf("step %d: got %+v, want %+v", i, got, s.want)
		}
	}
}

func admit(id, fingerprint uint64, upstream string) quarantiner.Admit {
	return quarantiner.Admit{ID: id, Fingerprint: fingerprint, Upstream: upstream}
}

// TestSecondDeathQuarantinesUntilForgotten guards against a request that crashes
// upstreams being retried forever, and against a quarantine that never expires.
func TestSecondDeathQuarantinesUntilExpiry(t *testing.T) {
	first := quarantiner.Death{Fingerprint: crashing, Upstream: "a", Started: 10, Time: 20}
	second := quarantiner.Death{Fingerprint: crashing, Upstream: "b", Started: 30, Time: 40}
	runSteps(t, []step{
		{10, admit(1, crashing, "a"), []quarantiner.Effect{quarantiner.Allow{ID: 1}}},
		{20, quarantiner.Died{ID: 1}, []quarantiner.Effect{quarantiner.Broadcast{Death: first}}},
		{30, admit(2, crashing, "b"), []quarantiner.Effect{quarantiner.Allow{ID: 2}}},
		{35, admit(3, crashing, "c"), []quarantiner.Effect{quarantiner.Wait{ID: 3}}},
		{40, quarantiner.Died{ID: 2}, []quarantiner.Effect{quarantiner.Broadcast{Death: second}}},
		{50, admit(4, crashing, "c"), []quarantiner.Effect{quarantiner.Refuse{ID: 4}}},
		{41 + clock.Minute, admit(5, crashing, "c"), []quarantiner.Effect{quarantiner.Allow{ID: 5}}},
	})
}

// TestRemoteDeathsQuarantine guards against a daemon ignoring the deaths that
// other daemons observed, or counting one death twice.
func TestRemoteDeathsQuarantine(t *testing.T) {
	runSteps(t, []step{
		{10, quarantiner.RemoteDeath{Death: quarantiner.Death{Fingerprint: crashing, Upstream: "a", Started: 1, Time: 5}}, nil},
		{11, quarantiner.RemoteDeath{Death: quarantiner.Death{Fingerprint: crashing, Upstream: "a", Started: 2, Time: 6}}, nil},
		{12, admit(1, crashing, "b"), []quarantiner.Effect{quarantiner.Allow{ID: 1}}},
		{13, quarantiner.RemoteDeath{Death: quarantiner.Death{Fingerprint: crashing, Upstream: "a", Started: 8, Time: 9}}, nil},
		{14, admit(2, crashing, "b"), []quarantiner.Effect{quarantiner.Refuse{ID: 2}}},
	})
}

// TestSuspectsRunAloneUntilAWholeAnswer guards against quarantining a harmless
// request that runs beside a crashing one: suspects never share an upstream, and
// a complete answer clears the suspicion.
func TestSuspectsRunAloneUntilACompleteAnswer(t *testing.T) {
	death := func(fingerprint uint64) quarantiner.Death {
		return quarantiner.Death{Fingerprint: fingerprint, Upstream: "a", Started: 1, Time: 2}
	}
	runSteps(t, []step{
		{1, admit(1, crashing, "a"), []quarantiner.Effect{quarantiner.Allow{ID: 1}}},
		{1, admit(2, harmless, "a"), []quarantiner.Effect{quarantiner.Allow{ID: 2}}},
		{2, quarantiner.Died{ID: 1}, []quarantiner.Effect{quarantiner.Broadcast{Death: death(crashing)}}},
		{2, quarantiner.Died{ID: 2}, []quarantiner.Effect{quarantiner.Broadcast{Death: death(harmless)}}},
		{3, admit(3, crashing, "b"), []quarantiner.Effect{quarantiner.Allow{ID: 3}}},
		{3, admit(4, harmless, "b"), []quarantiner.Effect{quarantiner.Wait{ID: 4}}},
		{3, admit(5, harmless, "c"), []quarantiner.Effect{quarantiner.Allow{ID: 5}}},
		{4, quarantiner.Ended{ID: 5, Completed: true}, nil},
		{5, admit(6, harmless, "b"), []quarantiner.Effect{quarantiner.Allow{ID: 6}}},
	})
}
