package mover_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"yuccaspread/replayer/mover"
)

// TestScenarios guards against moves that miss their due date, are not undone
// where they should be, or exceed the first share before there is evidence. It
// runs one seed of each scenario; "yuccareplay run" runs any.
func TestScenarios(t *testing.T) {
	for _, name := range mover.Scenarios {
		for _, seed := range []uint64{1} {
			out, err := mover.Run(name, seed)
			if err != nil {
				t.Fatal(err)
			}
			if out.Expected == "finished" && !out.FinishedOnTime {
				t.Errorf("%s seed %d: not finished by the date: %+v", name, seed, out)
			}
			if out.Expected == "taken_back" && !out.TakenBack {
				t.Errorf("%s seed %d: not taken back: %+v", name, seed, out)
			}
			if out.ShareBeforeEvidence > out.FirstShare {
				t.Errorf("%s seed %d: share %g before evidence, first share %g", name, seed, out.ShareBeforeEvidence, out.FirstShare)
			}
			if out.BadGrantsAfter1s > 0 || out.OrdersDoubled > 0 {
				t.Errorf("%s seed %d: %d late grants, %d doubled orders", name, seed, out.BadGrantsAfter1s, out.OrdersDoubled)
			}
		}
	}
}

// TestShortAnswersAtLowLoadAreDetected guards against finishing a move to a
// version that cuts nine answers in ten short. Short answers left its upstreams
// nearly idle, and the old version had no history at that load to compare with.
func TestShortAnswersAtLowLoadAreDetected(t *testing.T) {
	out, err := mover.Run("move_bad_at_once", 60103)
	if err != nil || !out.TakenBack || !out.Met {
		t.Errorf("%+v %v", out, err)
	}
}

// TestReportIsDeterministic guards against runs of one seed that differ, which
// could not be reproduced.
func TestReportIsDeterministic(t *testing.T) {
	var first, second bytes.Buffer
	for _, buffer := range []*bytes.Buffer{&first, &second} {
		if err := mover.Report(buffer, "move_bad_one_route", 3, true); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatalf("two runs of one seed differ:\n%s%s", first.Bytes(), second.Bytes())
	}
	var out mover.Outcome
	if err := json.Unmarshal(first.Bytes(), &out); err != nil || !out.TakenBack {
		t.Fatalf("%v: %s", err, first.Bytes())
	}
}
