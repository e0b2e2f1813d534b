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

// TestMain fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "12")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type entry = queuer.Entry[int]

// TestOrderAgainstList drives the queue with random operations and compares
// what it says with a plain list.
func TestOrderAgainstList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queuer.Queue[int]{Size: rapid.IntRange(1, 20).Draw(t, "size")}
		var list []*entry
		drop := func(e *entry) { list = slices.DeleteFunc(list, func(o *entry) bool { return o == e }) }
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				e := draw(t, i)
				list = append(list, e)
				if evicted := q.Push(e); evicted != nil {
					if want := slices.MaxFunc(list, byWorth); want != evicted {
						t.Fatalf("evicted %+v instead of %+v", evicted, want)
					}
					drop(evicted)
				}
			case 2:
				checkHead(t, &q, list)
				if e, found := q.Head(); found {
					q.Take(e)
					drop(e)
				}
			case 3:
				e, found := q.Overdue(10)
				if found != slices.ContainsFunc(list, func(e *entry) bool { return e.LatestStart < 10 }) {
					t.Fatalf("overdue %v", found)
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

func draw(t *rapid.T, value int) *entry {
	return &entry{
		Tier:         rapid.IntRange(0, 3).Draw(t, "tier"),
		Organisation: strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "organisation")),
		Deadline:     clock.Millis(rapid.IntRange(0, 50).Draw(t, "deadline")),
		LatestStart:  clock.Millis(rapid.IntRange(0, 50).Draw(t, "start")),
		Cost:         1, Value: value,
	}
}

// byWorth orders the entry that is evicted first to the end.
func byWorth(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Deadline, b.Deadline), cmp.Compare(a.Value, b.Value))
}

func checkHead(t *rapid.T, q *queuer.Queue[int], list []*entry) {
	head, found := q.Head()
	if found != (len(list) > 0) {
		t.Fatalf("head %v with %d waiting", found, len(list))
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

// TestShareOfOrganisations floods one organisation and looks at who is served.
func TestShareOfOrganisations(t *testing.T) {
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
		q.Take(e)
		served[e.Organisation]++
	}
	if served["heavy"] != 60 || served["light"] != 20 || served["flood"] != 20 {
		t.Fatalf("served %v", served)
	}
}

// TestSkip passes over entries and finds them again in their old order.
func TestSkip(t *testing.T) {
	q := queuer.Queue[int]{}
	first := &entry{Organisation: "a", Deadline: 1, Cost: 1}
	second := &entry{Organisation: "b", Deadline: 1, Cost: 1}
	q.Push(first)
	q.Push(second)
	q.Skip(first)
	if e, _ := q.Head(); e != second {
		t.Fatal("the second one does not follow the skipped one")
	}
	q.Take(second)
	q.Restore()
	if e, _ := q.Head(); e != first {
		t.Fatal("the skipped one is lost")
	}
}

// TestNewcomerHasNoCredit lets an organisation come late: it gets its share
// from then on, not what it could have had before.
func TestNewcomerHasNoCredit(t *testing.T) {
	q := queuer.Queue[int]{}
	for i := range 40 {
		q.Push(&entry{Organisation: "early", Deadline: clock.Millis(i), Cost: 10})
	}
	for range 20 {
		e, _ := q.Head()
		q.Take(e)
	}
	for i := range 10 {
		q.Push(&entry{Organisation: "late", Deadline: clock.Millis(i), Cost: 10})
	}
	served := map[string]int{}
	for range 10 {
		e, _ := q.Head()
		q.Take(e)
		served[e.Organisation]++
	}
	if served["early"] != 5 || served["late"] != 5 {
		t.Fatalf("served %v", served)
	}
}
