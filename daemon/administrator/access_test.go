package administrator

import (
	"encoding/json"
	"testing"

	"yuccaspread/common/inventory"
)

func config() *inventory.Config {
	return &inventory.Config{
		Organisations: []inventory.Organisation{{Name: "a", TokenSHA256: "x", Weight: 2}, {Name: "b", TokenSHA256: "y"}},
		Operators:     []inventory.Operator{{Name: "o", TokenSHA256: "z", Organisations: []string{"a"}}},
	}
}

func set(kind inventory.Kind, name string, value any) inventory.Delta {
	content, _ := json.Marshal(value)
	return inventory.Delta{Set: []inventory.Entry{{Key: inventory.Key{Kind: kind, Name: name}, Value: content}}}
}

func TestWhoMayChangeWhat(t *testing.T) {
	token := set(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a", TokenSHA256: "new", Weight: 2})
	weight := set(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a", TokenSHA256: "x", Weight: 9})
	other := set(inventory.OrganisationKind, "b", inventory.Organisation{Name: "b"})
	tier := set(inventory.TierKind, "t", inventory.Tier{Name: "t"})
	operator := set(inventory.OperatorKind, "o", inventory.Operator{Name: "o", Role: inventory.RoleAdmin})
	removal := inventory.Delta{Remove: []inventory.Key{{Kind: inventory.OrganisationKind, Name: "a"}}}
	deltas := map[string]inventory.Delta{"token": token, "weight": weight, "other": other, "tier": tier, "operator": operator, "removal": removal}
	cases := []struct {
		who  inventory.Operator
		may  []string
		name string
	}{
		{inventory.Operator{Role: inventory.RoleAdmin}, []string{"token", "weight", "other", "tier", "operator", "removal"}, "admin"},
		{inventory.Operator{Role: inventory.RoleOperator}, []string{"token", "weight", "other", "tier", "removal"}, "operator"},
		{inventory.Operator{Role: inventory.RoleAdmin, Organisations: []string{"a"}}, []string{"token", "weight", "removal"}, "admin of a"},
		{inventory.Operator{Role: inventory.RoleOperator, Organisations: []string{"a"}}, []string{"token"}, "operator of a"},
	}
	for _, c := range cases {
		expected := map[string]bool{}
		for _, name := range c.may {
			expected[name] = true
		}
		for name, d := range deltas {
			if got := allowed(c.who, config(), d) == nil; got != expected[name] {
				t.Errorf("%s changes %s: %v", c.name, name, got)
			}
		}
	}
}

func TestWhoSeesWhat(t *testing.T) {
	viewer := visible(inventory.Operator{Role: inventory.RoleViewer}, *config())
	if len(viewer.Organisations) != 2 || viewer.Organisations[0].TokenSHA256 != "" || viewer.Operators[0].TokenSHA256 != "" {
		t.Errorf("viewer sees %+v", viewer)
	}
	limited := visible(inventory.Operator{Name: "p", Role: inventory.RoleOperator, Organisations: []string{"b"}}, *config())
	if len(limited.Organisations) != 1 || limited.Organisations[0].Name != "b" || len(limited.Operators) != 0 {
		t.Errorf("operator of b sees %+v", limited)
	}
	d := set(inventory.OrganisationKind, "a", inventory.Organisation{Name: "a"})
	d.Replaced = d.Set
	if got := visibleChange(inventory.Operator{Role: inventory.RoleAdmin, Organisations: []string{"b"}}, d); len(got.Set) != 0 || got.Replaced != nil {
		t.Errorf("admin of b sees %+v of another's change", got)
	}
	if got := visibleChange(inventory.Operator{Role: inventory.RoleViewer}, d); len(got.Set) != 1 || got.Set[0].Value != nil {
		t.Errorf("viewer sees %+v", got)
	}
	if len(d.Set[0].Value) == 0 {
		t.Error("the change itself was changed")
	}
}
