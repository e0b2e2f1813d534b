package rationer_test

import (
	"testing"

	"yuccaspread/daemon/rationer"
)

// TestLargeBodiesLeaveRoomForSmallOnes guards against a few large bodies that keep out all others,
// and against memory that is lost or handed out twice.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const large, small, bound = 1 << 20, 1 << 10, 16 << 20
	r := &rationer.Rationer{MaxBytes: bound}
	count := func(size int64) (taken int64) {
		for r.Take(size) {
			taken++
		}
		return taken
	}
	for range 2 {
		largeOnes, smallOnes := count(large), count(small)
		if largeOnes != 12 || smallOnes != 4<<10 {
			t.Errorf("%d large and %d small ones fit, want 12 and 4,096", largeOnes, smallOnes)
		}
		r.Return(largeOnes*large + smallOnes*small)
	}
	unstated := &rationer.Rationer{}
	if !unstated.Take(96<<20) || unstated.Take(1) {
		t.Error("without a stated memory, large bodies may take all of 96 MiB and no more")
	}
	var none *rationer.Rationer
	if !none.Take(1 << 40) {
		t.Error("a nil Rationer has a bound")
	}
	none.Return(1 << 40)
	if none.Held() != 0 {
		t.Error("a nil Rationer holds something")
	}
}
