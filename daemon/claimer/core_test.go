package claimer_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
)

// submit returns the message that queues an Op with the deadline 1000.
func submit(id uint64, key, value string, version int64) claimer.Submit {
	return claimer.Submit{ID: id, Op: claimer.Op{Key: key, Value: []byte(value), Version: version, Deadline: 1000}}
}

// writtenKeys returns the keys that the Apply effects write.
func writtenKeys(effects []claimer.Effect) (keys []string) {
	for _, e := range effects {
		if a, ok := e.(claimer.Apply); ok {
			for _, w := range a.Txn.Writes {
				keys = append(keys, w.Key)
			}
		}
	}
	return keys
}

// completedVerdicts returns the verdicts of the Complete effects by ID.
func completedVerdicts(effects []claimer.Effect) map[uint64]claimer.Verdict {
	verdicts := map[uint64]claimer.Verdict{}
	for _, e := range effects {
		if c, ok := e.(claimer.Complete); ok {
			verdicts[c.ID] = c.Result.Verdict
		}
	}
	return verdicts
}

// TestQueuedOpsShareTransactionAndConflictEndsOnlyItsOp guards against one
// transaction per Op: those that arrive while one is in flight must share the
// next. If one of its rows conflicts, only that Op may end; the others are tried
// again.
func TestQueuedOpsShareTransactionAndConflictEndsOnlyItsOp(t *testing.T) {
	core := &claimer.Core{}
	if got := writtenKeys(core.Step(0, submit(1, "a", "1", 0))); !reflect.DeepEqual(got, []string{"a"}) {
		t.Fatalf("first transaction writes %v, want [a]", got)
	}
	for id, key := range map[uint64]string{2: "b", 3: "c", 4: "d"} {
		if got := core.Step(1, submit(id, key, "x"+key, 0)); len(got) != 0 {
			t.Fatalf("started a second transaction while one is in flight: %v", got)
		}
	}
	if got := writtenKeys(core.Step(2, claimer.Reply{Result: platform.TxnResult{Applied: true, Version: 5}})); len(got) != 3 {
		t.Fatalf("second transaction writes %v, want 3 keys", got)
	}
	rows := []platform.Row{{Key: "c", Value: []byte("other"), Version: 9}}
	effects := core.Step(3, claimer.Reply{Result: platform.TxnResult{Rows: rows}})
	if got := completedVerdicts(effects); !reflect.DeepEqual(got, map[uint64]claimer.Verdict{3: claimer.Conflict}) {
		t.Fatalf("verdicts %v, want Conflict for ID 3 alone", got)
	}
	if got := writtenKeys(effects); len(got) != 2 {
		t.Fatalf("retry writes %v, want 2 keys", got)
	}
}

// TestLostReplyIsResolvedByRowValue guards against a claim that counts as a conflict
// although it was written: the reply to a write that took effect is lost, so the
// retry finds the Op's own value. That must count as applied.
func TestLostReplyIsResolvedByRowValue(t *testing.T) {
	core := &claimer.Core{}
	core.Step(0, submit(1, "a", "mine", 0))
	core.Step(1, claimer.Reply{Failed: true, Effect: platform.EffectUnknown})
	if got := writtenKeys(core.Step(100, claimer.Tick{})); len(got) != 1 {
		t.Fatalf("retry after the lost reply writes %v, want 1 key", got)
	}
	rows := []platform.Row{{Key: "a", Value: []byte("mine"), Version: 4}}
	got := completedVerdicts(core.Step(101, claimer.Reply{Result: platform.TxnResult{Rows: rows}}))
	if !reflect.DeepEqual(got, map[uint64]claimer.Verdict{1: claimer.Applied}) {
		t.Fatalf("verdicts %v, want Applied for ID 1", got)
	}
}

// TestDeadlineVerdictFollowsEffect guards against an Op that ends as Expired although
// its call may have taken effect, which would let the caller say that the request
// did not run.
func TestDeadlineVerdictFollowsEffect(t *testing.T) {
	for effect, want := range map[platform.Effect]claimer.Verdict{
		platform.NoEffect: claimer.Expired, platform.EffectUnknown: claimer.Doubtful,
	} {
		core := &claimer.Core{}
		core.Step(0, submit(1, "a", "mine", 0))
		core.Step(1, claimer.Reply{Failed: true, Effect: effect})
		got := completedVerdicts(core.Step(1000, claimer.Tick{}))
		if !reflect.DeepEqual(got, map[uint64]claimer.Verdict{1: want}) {
			t.Fatalf("effect %v: verdicts %v", effect, got)
		}
	}
}
