package administrator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"yuccaspread/common/inventory"
)

// bootstrapName is the author of changes that are made with the bootstrap token.
const bootstrapName = "bootstrap"

// identify returns the operator to whom the token belongs. The configuration
// stores only hashes of tokens. The bootstrap token identifies an admin while no
// operator is configured.
func identify(config *inventory.Config, bootstrapHash, token string) (operator inventory.Operator, found bool) {
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	for _, o := range config.Operators {
		if o.TokenSHA256 == hash {
			return o, true
		}
	}
	if len(config.Operators) == 0 && bootstrapHash == hash {
		return inventory.Operator{Name: bootstrapName, Role: inventory.RoleAdmin}, true
	}
	return operator, false
}

// rolesByRank lists the roles in ascending order. Each role includes the
// permissions of the ones before it.
//
//nolint:gochecknoglobals // A list that never changes.
var rolesByRank = []inventory.Role{inventory.RoleViewer, inventory.RoleOperator, inventory.RoleAdmin}

// hasRole reports whether the operator has the role or a higher one.
func hasRole(o inventory.Operator, role inventory.Role) bool {
	return slices.Index(rolesByRank, o.Role) >= slices.Index(rolesByRank, role)
}

// isScoped reports whether the operator is limited to some organisations.
func isScoped(o inventory.Operator) bool {
	return len(o.Organisations) > 0
}

// checkChange returns an error that names the first entry of the change for which
// the operator lacks permission:
//   - only an admin of all organisations may change operators;
//   - an operator that is limited to organisations may change only these;
//   - such an operator may change only their tokens unless it is an admin, so that
//     no team can raise its own share.
func checkChange(o inventory.Operator, config *inventory.Config, d inventory.Delta) error {
	for _, key := range d.Keys() {
		if key.Kind == inventory.OperatorKind && (isScoped(o) || !hasRole(o, inventory.RoleAdmin)) {
			return fmt.Errorf("operator %q may not change operators", o.Name)
		}
		if !isScoped(o) {
			continue
		}
		if key.Kind != inventory.OrganisationKind || !slices.Contains(o.Organisations, key.Name) {
			return fmt.Errorf("operator %q may not change %s %q", o.Name, key.Kind, key.Name)
		}
	}
	if !isScoped(o) || hasRole(o, inventory.RoleAdmin) {
		return nil
	}
	if len(d.Remove) > 0 {
		return fmt.Errorf("operator %q may not remove organisations", o.Name)
	}
	return checkTokensOnly(o, config, d.Set)
}

// checkTokensOnly returns an error if an entry changes anything but the tokens of
// its organisation.
func checkTokensOnly(o inventory.Operator, config *inventory.Config, entries []inventory.Entry) error {
	for _, e := range entries {
		var wanted inventory.Organisation
		if err := json.Unmarshal(e.Value, &wanted); err != nil {
			return err
		}
		current, _ := inventory.Lookup(config.Organisations, e.Name)
		wanted.TokenSHA256 = current.TokenSHA256
		wanted.MoreTokenSHA256 = current.MoreTokenSHA256
		if !reflect.DeepEqual(wanted, current) {
			return fmt.Errorf("operator %q may change the token of organisation %q only", o.Name, e.Name)
		}
	}
	return nil
}

// visibleConfig returns the part of the configuration that the operator may read:
// other organisations and operators are removed for operators that are limited to
// organisations, and TokenSHA256 is cleared for viewers.
func visibleConfig(o inventory.Operator, config inventory.Config) inventory.Config {
	if isScoped(o) {
		config.Organisations = slices.DeleteFunc(slices.Clone(config.Organisations), func(e inventory.Organisation) bool {
			return !slices.Contains(o.Organisations, e.Name)
		})
		config.Operators = slices.DeleteFunc(slices.Clone(config.Operators), func(e inventory.Operator) bool {
			return e.Name != o.Name
		})
	}
	if hasRole(o, inventory.RoleOperator) {
		return config
	}
	config.Organisations = slices.Clone(config.Organisations)
	for i := range config.Organisations {
		config.Organisations[i].TokenSHA256 = ""
	}
	config.Operators = slices.Clone(config.Operators)
	for i := range config.Operators {
		config.Operators[i].TokenSHA256 = ""
	}
	return config
}

// visibleChange returns the part of an accepted change that the operator may
// read. Viewers and operators that are limited to organisations get only the keys
// of entries, the latter only those of their organisations.
func visibleChange(o inventory.Operator, d inventory.Delta) inventory.Delta {
	if hasRole(o, inventory.RoleOperator) && !isScoped(o) {
		return d
	}
	isHidden := func(key inventory.Key) bool {
		inScope := key.Kind == inventory.OrganisationKind && slices.Contains(o.Organisations, key.Name)
		return isScoped(o) && !inScope
	}
	d.Replaced = nil
	d.Set = slices.DeleteFunc(slices.Clone(d.Set), func(e inventory.Entry) bool { return isHidden(e.Key) })
	for i := range d.Set {
		d.Set[i].Value = nil
	}
	d.Remove = slices.DeleteFunc(slices.Clone(d.Remove), isHidden)
	return d
}
