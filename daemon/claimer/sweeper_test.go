package claimer_test

import (
	"context"
	"encoding/json"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/gossiper"
)

// scannableTable is a table that returns its rows to each scan and records the
// deleted keys.
type scannableTable struct {
	faultyTable
	deleted []string
}

func (s *scannableTable) Scan(context.Context, string, string, int) (rows []platform.Row, err error) {
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	return rows, nil
}

func (s *scannableTable) Apply(_ context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	for i, w := range txn.Writes {
		if w.Delete && txn.Conditions[i].Version == s.rows[w.Key].Version {
			s.deleted = append(s.deleted, w.Key)
		}
	}
	return platform.TxnResult{Applied: true}, nil
}

// objectStore records the names of deleted objects.
type objectStore struct {
	platform.ObjectStore
	deleted []string
}

func (o *objectStore) Delete(_ context.Context, name string) error {
	o.deleted = append(o.deleted, name)
	return nil
}

type fixedSource struct{ config *inventory.Config }

func (f fixedSource) Current() *inventory.Config { return f.config }

// TestSweepDeletesOnlyExpiredRowsAndTheirObjects guards against a sweep that keeps a
// row or its stored answer beyond the retention time, or deletes those that are
// exactly as old as it.
func TestSweepDeletesOnlyExpiredRowsAndTheirObjects(t *testing.T) {
	now := &clock.Manual{}
	now.Set(10 * clock.Hour)
	row := func(key string, time clock.Millis) platform.Row {
		content, _ := json.Marshal(claimer.Record{State: claimer.Answered, Time: time, Answer: &claimer.Answer{Object: "object-" + key}})
		return platform.Row{Key: claimer.RowKey("org", key), Value: content, Version: 3}
	}
	old, young := row("old", 8*clock.Hour-1), row("young", 8*clock.Hour)
	table := &scannableTable{faultyTable: faultyTable{rows: map[string]platform.Row{old.Key: old, young.Key: young}}}
	store := &objectStore{}
	config := &inventory.Config{Limits: inventory.Limits{KeyRetentionMS: 2 * clock.Hour}}
	s := &claimer.Sweeper{Table: table, Objects: store, Clock: now, Source: fixedSource{config}, View: gossiper.SingleMember{Name: "a"}}
	if err := s.Sweep(t.Context(), "org"); err != nil {
		t.Fatal(err)
	}
	if len(table.deleted) != 1 || table.deleted[0] != old.Key || len(store.deleted) != 1 || store.deleted[0] != "object-old" {
		t.Fatalf("deleted rows %v, objects %v", table.deleted, store.deleted)
	}
}

// TestWritersOfSixRegionsStayBelowThreeHundredWritesPerSecond guards against a
// spacing with which the writers of six regions together reach 300 table writes a
// second.
func TestWritersOfSixRegionsStayBelowThreeHundredWritesPerSecond(t *testing.T) {
	const regions, bound = 6, 300
	perWriter := float64(clock.Second) / float64(claimer.Spacing(regions))
	if sum := perWriter * regions * claimer.WritersPerRegion; sum >= bound {
		t.Fatalf("writers make %.0f table writes a second, want fewer than 300", sum)
	}
}
