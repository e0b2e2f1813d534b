package reserver_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
)

type fixedSource inventory.Config

func (s *fixedSource) Current() *inventory.Config { return (*inventory.Config)(s) }

type standingClock struct{}

func (standingClock) Now() clock.Millis { return 1000 }

// TestLocalShareLeavesHeldUpstreamsAlone guards against requests to a version under order while no
// scheduler counts them.
func TestLocalShareLeavesHeldUpstreamsAlone(t *testing.T) {
	source := &fixedSource{Upstreams: []inventory.Upstream{
		{Name: "new", Pool: "p", Version: "v2", Slots: 10}, {Name: "old", Pool: "p", Version: "v1", Slots: 10},
	}}
	local := &reserver.Local{Source: source, Clock: standingClock{}, Holds: func(u inventory.Upstream) bool { return u.Version == "v2" }}
	for range 5 {
		slot, err := local.Reserve(t.Context(), &classifier.Request{Pool: "p", Deadline: 2000}, nil)
		if err != nil || slot.Upstream().Name != "old" {
			t.Fatalf("slot on %v, %v", slot, err)
		}
	}
}
