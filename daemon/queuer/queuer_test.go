package queuer_test

import (
	"cmp"
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/queuer"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "12")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type entry = queuer.Entry[int]

// TestOrderMatchesReferenceList guards against a wrong order, eviction or length
// after any sequence of operations, by comparison with a plain list.
func TestOrderMatchesReferenceList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.Queue[int]{Capacity: rapid.IntRange(1, 20).Draw(t, "size")}
		var list []*entry
		drop := func(e *entry) { list = slices.DeleteFunc(list, func(o *entry) bool { return o == e }) }
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				e := drawEntry(t, i)
				list = append(list, e)
				if evicted := q.Push(e); evicted != nil {
					if want := slices.MaxFunc(list, compareEviction); want != evicted {
						t.Fatalf("evicted %+v instead of %+v", evicted, want)
					}
					drop(evicted)
				}
			case 2:
				checkHead(t, &q, list)
				if e, found := q.Head(); found {
					q.Serve(e)
					drop(e)
				}
			case 3:
				e, found := q.Overdue(10)
				if found != slices.ContainsFunc(list, func(e *entry) bool { return e.LatestStart < 10 }) {
					t.Fatalf("overdue entry found: %v", found)
				}
				if found {
					q.Remove(e)
					drop(e)
				}
			}
			if q.Len() != len(list) {
				t.Fatalf("length %d instead of %d", q.Len(), len(list))
			}
		}
	})
}

func drawEntry(t *rapid.T, value int) *entry {
	return &entry{
		Tier:         rapid.IntRange(0, 3).Draw(t, "tier"),
		Organisation: strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "organisation")),
		Deadline:     clock.Millis(rapid.IntRange(0, 50).Draw(t, "deadline")),
		LatestStart:  clock.Millis(rapid.IntRange(0, 50).Draw(t, "start")),
		Cost:         1, Value: value,
	}
}

// compareEviction orders entries so that the one to evict first is the greatest.
func compareEviction(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Value, b.Value))
}

func checkHead(t *rapid.T, q *queuer.Queue[int], list []*entry) {
	head, found := q.Head()
	if found != (len(list) > 0) {
		t.Fatalf("head found: %v, with %d entries", found, len(list))
	}
	for _, e := range list {
		if e.Tier < head.Tier {
			t.Fatalf("tier %d before tier %d", head.Tier, e.Tier)
		}
		if e.Tier == head.Tier && e.Organisation == head.Organisation && e.Deadline < head.Deadline {
			t.Fatalf("deadline %d before %d", head.Deadline, e.Deadline)
		}
	}
}

// TestOrganisationsAreServedByWeight guards against an organisation that floods the
// queue and gets more than the share of its weight.
func TestOrganisationsAreServedByWeight(t *testing.T) {
	q := queuer.Queue[int]{Weights: map[string]int{"heavy": 3}}
	for i := range 400 {
		q.Push(&entry{Organisation: "flood", Deadline: clock.Millis(i), Cost: 10})
	}
	for i := range 100 {
		q.Push(&entry{Organisation: "heavy", Deadline: clock.Millis(1000 + i), Cost: 10})
		q.Push(&entry{Organisation: "light", Deadline: clock.Millis(1000 + i), Cost: 10})
	}
	served := map[string]int{}
	for range 100 {
		e, _ := q.Head()
		q.Serve(e)
		served[e.Organisation]++
	}
	if served["heavy"] != 60 || served["light"] != 20 || served["flood"] != 20 {
		t.Fatalf("served %v", served)
	}
}

// TestSkippedEntryKeepsItsOrder guards against skipped entries that are still served,
// or lost or out of order after they are restored.
func TestSkippedEntryKeepsItsOrder(t *testing.T) {
	q := queuer.Queue[int]{}
	skipped := &entry{Organisation: "a", Deadline: 1, Cost: 1}
	other := &entry{Organisation: "b", Deadline: 1, Cost: 1}
	q.Push(skipped)
	q.Push(other)
	q.Skip(skipped)
	if e, _ := q.Head(); e != other {
		t.Fatal("the head is not the entry that was not skipped")
	}
	q.Serve(other)
	q.RestoreSkipped()
	if e, _ := q.Head(); e != skipped {
		t.Fatal("the restored entry is not the head")
	}
}

// TestLateOrganisationGetsNoCredit guards against an organisation that joins late and
// is served alone to make up for the time before.
func TestLateOrganisationGetsNoCredit(t *testing.T) {
	q := queuer.Queue[int]{}
	for i := range 40 {
		q.Push(&entry{Organisation: "early", Deadline: clock.Millis(i), Cost: 10})
	}
	for range 20 {
		e, _ := q.Head()
		q.Serve(e)
	}
	for i := range 10 {
		q.Push(&entry{Organisation: "late", Deadline: clock.Millis(i), Cost: 10})
	}
	served := map[string]int{}
	for range 10 {
		e, _ := q.Head()
		q.Serve(e)
		served[e.Organisation]++
	}
	if served["early"] != 5 || served["late"] != 5 {
		t.Fatalf("served %v", served)
	}
}
