package inventory_test

import (
	"reflect"
	"testing"

	"yuccaspread/common/inventory"
)

// Guards against a Diff that misses an added, changed or removed entry, and
// against an Apply that modifies the configuration in force.
func TestApplyOfDiffYieldsWantedConfiguration(t *testing.T) {
	old := inventory.Config{
		Revision: 4,
		Pools:    []inventory.Pool{{Name: "a"}, {Name: "b", Version: "v1"}},
		Limits:   inventory.Limits{RetryShare: 0.2},
	}
	wanted := inventory.Config{
		Pools: []inventory.Pool{{Name: "b", Version: "v2"}, {Name: "c"}},
		Tiers: []inventory.Tier{{Name: "t"}},
	}
	delta, err := old.Diff(wanted)
	if err != nil {
		t.Fatal(err)
	}
	got, err := old.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	wanted.Revision = 5
	if !reflect.DeepEqual(got, wanted) {
		t.Fatalf("got %+v, want %+v", got, wanted)
	}
	if old.Pools[1].Version != "v1" {
		t.Fatal("Apply modified the old configuration in place")
	}
}

// Guards against a change that is applied to a revision that its author did not
// see, which would silently overwrite a concurrent change.
func TestApplyRejectsDeltaWithDifferentBase(t *testing.T) {
	old := inventory.Config{Revision: 4}
	if _, err := old.Apply(inventory.Delta{Base: 3}); err == nil {
		t.Fatal("Apply accepted a change based on an older revision")
	}
}
