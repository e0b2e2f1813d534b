package administrator

import (
	"encoding/json"
	"testing"

	"yuccaspread/common/inventory"
)

// testConfig returns a configuration with the organisations "a" and "b".
func testConfig() *inventory.Config {
	return &inventory.Config{
		Organisations: []inventory.Organisation{{Name: "a", TokenSHA256: "x", Weight: 2}, {Name: "b", TokenSHA256: "y"}},
		Operators:     []inventory.Operator{{Name: "o", TokenSHA256: "z", Organisations: []string{"a"}}},
	}
}

// setDelta returns a change that sets one entry.
func setDelta(kind inventory.Kind, name string, value any) inventory.Delta {
	content, _ := json.Marshal(value)
	return inventory.Delta{Set: []inventory.Entry{{Key: inventory.Key{Kind: kind, Name: name}, Value: content}}}
}

// TestCheckChangeByRoleAndOrganisation tries each kind of change as each kind of
// operator. It guards against operators that change other organisations, the
// list of operators or the share of their own organisation.
func TestCheckChangeByRoleAndOrganisation(t *testing.T) {
	token := setDelta(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a", TokenSHA256: "new", Weight: 2})
	weight := setDelta(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a", TokenSHA256: "x", Weight: 9})
	other := setDelta(inventory.OrganisationKind, "b", inventory.Organisation{Name: "b"})
	tier := setDelta(inventory.TierKind, "t", inventory.Tier{Name: "t"})
	operator := setDelta(inventory.OperatorKind, "o", inventory.Operator{Name: "o", Role: inventory.RoleAdmin})
	removal := inventory.Delta{Remove: []inventory.Key{{Kind: inventory.OrganisationKind, Name: "a"}}}
	deltas := map[string]inventory.Delta{"token": token, "weight": weight, "other": other, "tier": tier, "operator": operator, "removal": removal}
	cases := []struct {
		operator inventory.Operator
		allowed  []string
		name     string
	}{
		{inventory.Operator{Role: inventory.RoleAdmin}, []string{"token", "weight", "other", "tier", "operator", "removal"}, "admin"},
		{inventory.Operator{Role: inventory.RoleOperator}, []string{"token", "weight", "other", "tier", "removal"}, "operator"},
		{inventory.Operator{Role: inventory.RoleAdmin, Organisations: []string{"a"}}, []string{"token", "weight", "removal"}, "admin of a"},
		{inventory.Operator{Role: inventory.RoleOperator, Organisations: []string{"a"}}, []string{"token"}, "operator of a"},
	}
	for _, c := range cases {
		expected := map[string]bool{}
		for _, name := range c.allowed {
			expected[name] = true
		}
		for name, d := range deltas {
			if got := checkChange(c.operator, testConfig(), d) == nil; got != expected[name] {
				t.Errorf("%s may change %s: %v, want the opposite", c.name, name, got)
			}
		}
	}
}

// TestVisibleConfigByRoleAndOrganisation guards against replies that show token
// hashes to viewers or other organisations' entries to operators that are limited
// to some, and against filters that modify the shared configuration.
func TestVisibleConfigByRoleAndOrganisation(t *testing.T) {
	viewer := visibleConfig(inventory.Operator{Role: inventory.RoleViewer}, *testConfig())
	if len(viewer.Organisations) != 2 || viewer.Organisations[0].TokenSHA256 != "" || viewer.Operators[0].TokenSHA256 != "" {
		t.Errorf("viewer sees %+v", viewer)
	}
	limited := visibleConfig(inventory.Operator{Name: "p", Role: inventory.RoleOperator, Organisations: []string{"b"}}, *testConfig())
	if len(limited.Organisations) != 1 || limited.Organisations[0].Name != "b" || len(limited.Operators) != 0 {
		t.Errorf("operator of b sees %+v", limited)
	}
	d := setDelta(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a"})
	d.Replaced = d.Set
	if got := visibleChange(inventory.Operator{Role: inventory.RoleAdmin, Organisations: []string{"b"}}, d); len(got.Set) != 0 || got.Replaced != nil {
		t.Errorf("admin of b sees %+v of another's change", got)
	}
	if got := visibleChange(inventory.Operator{Role: inventory.RoleViewer}, d); len(got.Set) != 1 || got.Set[0].Value != nil {
		t.Errorf("viewer sees %+v", got)
	}
	if len(d.Set[0].Value) == 0 {
		t.Error("visibleChange modified its argument")
	}
}
