package reserver_test

import (
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
)

// TestLocalShareKeepsPlaces guards against requests that leave their homes, or go to an evacuated
// failure domain, while no scheduler can be reached, and against slots that outlive a change.
func TestLocalShareKeepsPlaces(t *testing.T) {
	source := &fixedSource{
		Regions: []inventory.Region{{Name: "a", FailureDomains: []string{"a1", "a2"}, Evacuated: []string{"a1"}}, {Name: "b", FailureDomains: []string{"b1"}}},
		Routes:  []inventory.Route{{Name: "r", HomeRegions: []string{"a"}}},
		Upstreams: []inventory.Upstream{
			{Name: "u1", Pool: "p", Region: "a", FailureDomain: "a1", Slots: 10},
			{Name: "u2", Pool: "p", Region: "a", FailureDomain: "a2", Slots: 10},
			{Name: "u3", Pool: "p", Region: "b", FailureDomain: "b1", Slots: 10},
		},
	}
	local := &reserver.Local{Source: source, Clock: standingClock{}}
	req := &classifier.Request{Pool: "p", Route: "r", Deadline: 2000}
	var slot reserver.Slot
	for range 5 {
		var err error
		if slot, err = local.Reserve(t.Context(), req, nil); err != nil || slot.Upstream().Name != "u2" || !slot.Confirm() {
			t.Fatalf("slot on %v, %v", slot, err)
		}
	}
	source.Regions[0].Evacuated = []string{"a1", "a2"}
	if slot.Confirm() {
		t.Error("a slot was confirmed after its failure domain was evacuated")
	}
	source.Regions[0].Evacuated = nil
	source.Routes[0].HomeRegions = []string{"b"}
	if slot.Confirm() {
		t.Error("a slot was confirmed outside of the homes in force")
	}
	source.Routes[0].HomeRegions = []string{"c"}
	if _, err := local.Reserve(t.Context(), req, nil); err == nil {
		t.Error("a request whose home has no upstream got a slot")
	}
}
