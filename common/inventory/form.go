package inventory

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
)

// maxChangeID bounds the length of a change id in bytes.
const maxChangeID = 128

// CheckForm returns every mistake in the form of a proposed change: unknown
// fields, entries named twice, a missing change id. Daemons that receive an
// accepted change do not call it, so that newer daemons may add fields.
func (d Delta) CheckForm() (mistakes []error) {
	if d.ChangeID == "" || len(d.ChangeID) > maxChangeID {
		mistakes = append(mistakes, ValidationError{Field: "change_id", Problem: "must have 1 to 128 bytes"})
	}
	if d.Empty() {
		mistakes = append(mistakes, ValidationError{Field: "set", Problem: "the change changes nothing"})
	}
	seen := map[Key]bool{}
	for _, key := range d.Keys() {
		if seen[key] {
			mistakes = append(mistakes, ValidationError{key, "", "is named twice in the change"})
		}
		if key.Kind == LimitsKind && key.Name != "" {
			mistakes = append(mistakes, ValidationError{key, "name", "must be empty"})
		}
		seen[key] = true
	}
	for _, e := range d.Set {
		if err := decodeStrictly(e); err != nil {
			mistakes = append(mistakes, ValidationError{e.Key, "", err.Error()})
		}
	}
	return mistakes
}

// decodeStrictly returns an error unless the entry's value is a single JSON
// value of the entry's type without unknown fields.
func decodeStrictly(e Entry) error {
	targets := map[Kind]any{
		RegionKind: &Region{}, PoolEntryKind: &Pool{}, UpstreamKind: &Upstream{},
		OrganisationKind: &Organisation{}, OperatorKind: &Operator{},
		TierKind: &Tier{}, RouteKind: &Route{}, MoveKind: &Move{}, LimitsKind: &Limits{},
	}
	target, found := targets[e.Kind]
	if !found {
		return errors.New("is of an unknown kind")
	}
	decoder := json.NewDecoder(bytes.NewReader(e.Value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("holds more than one value")
	}
	return nil
}
