package claimer_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
)

func submit(id uint64, key, value string, version int64) claimer.Submit {
	return claimer.Submit{ID: id, Op: claimer.Op{Key: key, Value: []byte(value), Version: version, Deadline: 1000}}
}

func keys(effects []claimer.Effect) (keys []string) {
	for _, e := range effects {
		if a, is := e.(claimer.Apply); is {
			for _, w := range a.Txn.Writes {
				keys = append(keys, w.Key)
			}
		}
	}
	return keys
}

func settled(effects []claimer.Effect) map[uint64]claimer.Verdict {
	all := map[uint64]claimer.Verdict{}
	for _, e := range effects {
		if s, is := e.(claimer.Settle); is {
			all[s.ID] = s.Result.Verdict
		}
	}
	return all
}

func TestGroupsWhatWaitsAndSplitsConflictsOff(t *testing.T) {
	core := &claimer.Core{}
	if got := keys(core.Step(0, submit(1, "a", "1", 0))); !reflect.DeepEqual(got, []string{"a"}) {
		t.Fatalf("first: %v", got)
	}
	for id, key := range map[uint64]string{2: "b", 3: "c", 4: "d"} {
		if got := core.Step(1, submit(id, key, "x"+key, 0)); len(got) != 0 {
			t.Fatalf("a second transaction went into flight: %v", got)
		}
	}
	if got := keys(core.Step(2, claimer.Reply{Result: platform.TxnResult{Applied: true, Version: 5}})); len(got) != 3 {
		t.Fatalf("group: %v", got)
	}
	rows := []platform.Row{{Key: "c", Value: []byte("other"), Version: 9}}
	effects := core.Step(3, claimer.Reply{Result: platform.TxnResult{Rows: rows}})
	if got := settled(effects); !reflect.DeepEqual(got, map[uint64]claimer.Verdict{3: claimer.Conflict}) {
		t.Fatalf("settled: %v", got)
	}
	if got := keys(effects); len(got) != 2 {
		t.Fatalf("tried again: %v", got)
	}
}

func TestLostReplyIsSettledByTheValue(t *testing.T) {
	core := &claimer.Core{}
	core.Step(0, submit(1, "a", "mine", 0))
	core.Step(1, claimer.Reply{Failed: true, Certainty: platform.Unknown})
	if got := keys(core.Step(100, claimer.Tick{})); len(got) != 1 {
		t.Fatalf("not tried again: %v", got)
	}
	rows := []platform.Row{{Key: "a", Value: []byte("mine"), Version: 4}}
	got := settled(core.Step(101, claimer.Reply{Result: platform.TxnResult{Rows: rows}}))
	if !reflect.DeepEqual(got, map[uint64]claimer.Verdict{1: claimer.Applied}) {
		t.Fatalf("settled: %v", got)
	}
}

func TestDeadlineTellsDoubtFromAbsence(t *testing.T) {
	for certainty, want := range map[platform.Certainty]claimer.Verdict{
		platform.NotDone: claimer.Expired, platform.Unknown: claimer.Doubtful,
	} {
		core := &claimer.Core{}
		core.Step(0, submit(1, "a", "mine", 0))
		core.Step(1, claimer.Reply{Failed: true, Certainty: certainty})
		got := settled(core.Step(1000, claimer.Tick{}))
		if !reflect.DeepEqual(got, map[uint64]claimer.Verdict{1: want}) {
			t.Fatalf("%v: settled %v", certainty, got)
		}
	}
}
