package queuer_test

import (
	"slices"
	"testing"

	"yuccaspread/daemon/queuer"
)

// TestTiersKeepTheirOrderWhateverTheirRanks guards against tiers that are served as one because
// their ranks are large or many, and against memory that grows with the size of a rank.
func TestTiersKeepTheirOrderWhateverTheirRanks(t *testing.T) {
	ranks := []int{0, 7, 1 << 61, 1 << 40, 2_000_000_000, 1000}
	for rank := range 100 {
		ranks = append(ranks, 20+rank)
	}
	var q queuer.Queue[int]
	for _, rank := range ranks {
		q.Push(&queuer.Entry[int]{Tier: rank, Organisation: "o", Cost: 1, Value: rank})
	}
	slices.Sort(ranks)
	if upTo := q.WaitingUpTo(1000); upTo != len(ranks)-3 {
		t.Errorf("%d entries up to rank 1000", upTo)
	}
	for _, rank := range ranks {
		e, found := q.Head()
		if !found || e.Value != rank || q.Waiting(rank) != 1 {
			t.Fatalf("%+v is served instead of rank %d", e, rank)
		}
		q.Serve(e)
	}
}
