package recorder_test

import (
	"bytes"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/recorder"
	"yuccaspread/daemon/scheduler"
)

// A record that lacks the state from before the recorder was switched on would
// replay to other decisions than those of the original.
func TestReplayOfRecordsYieldsOriginalEffects(t *testing.T) {
	messages := []scheduler.Message{
		scheduler.Upstreams{List: []inventory.Upstream{{Name: "old", Slots: 1}}},
		scheduler.Upstreams{List: []inventory.Upstream{{Name: "new", Slots: 1}}},
		scheduler.Ask{ID: scheduler.AskID{Daemon: "d", Number: 1}, Deadline: 100_000, PromptTokens: 10},
		scheduler.Ask{ID: scheduler.AskID{Daemon: "d", Number: 2}, Deadline: 100_000, PromptTokens: 10},
		scheduler.Cancel{ID: scheduler.AskID{Daemon: "d", Number: 1}},
	}
	r := recorder.Recorder{Size: 3}
	original := recorder.RecordedScheduler{Recorder: &r, Shard: "s"}
	for i, m := range messages {
		// Both lists of upstreams come before the recorder is on; the newer one must
		// be in the record.
		if i == 2 {
			r.SetEnabled(true)
		}
		original.Update(clock.Millis(i), m)
	}
	var file bytes.Buffer
	if err := r.Write(&file); err != nil {
		t.Fatal(err)
	}
	records, err := recorder.Read(&file)
	if err != nil || len(records) != 4 {
		t.Fatalf("got %d records, error %v; want 4", len(records), err)
	}
	var state scheduler.State
	granted := map[uint64]string{}
	for _, record := range records {
		m, err := scheduler.Parse(record.Kind, record.Message)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range state.Update(record.AtMS, m) {
			if g, ok := e.(scheduler.Grant); ok {
				granted[g.ID.Number] = g.Upstream
			}
		}
	}
	if granted[1] != "new" || granted[2] != "new" {
		t.Fatalf("granted %v, want upstream new for both", granted)
	}
}

func TestDisabledRecorderKeepsNoRecords(t *testing.T) {
	r := recorder.Recorder{}
	original := recorder.RecordedScheduler{Recorder: &r}
	original.Update(1, scheduler.Tick{})
	if len(r.Records()) != 0 {
		t.Fatal("a recorder that is off has kept a record")
	}
}
