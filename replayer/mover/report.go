package mover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrNotMet is returned if a run does not have its expected outcome.
var ErrNotMet = errors.New("expected outcome not met")

// Knows reports whether the scenario is one of this package.
func Knows(name string) bool {
	return slices.Contains(Scenarios, name)
}

// Report runs the scenario and writes its outcome as JSON or as a line of text.
// The error wraps ErrNotMet if the expected outcome is not met.
func Report(w io.Writer, name string, seed uint64, asJSON bool) (err error) {
	out, err := Run(name, seed)
	if err != nil {
		return err
	}
	if asJSON {
		err = json.NewEncoder(w).Encode(out)
	} else {
		_, err = fmt.Fprintf(w, "%s seed %d: expected %s, met %t, phase %s (%s)\n", name, seed, out.Expected, out.Met, out.Phase, out.Why)
	}
	if err == nil && !out.Met {
		err = fmt.Errorf("scenario %s, seed %d: %w", name, seed, ErrNotMet)
	}
	return err
}
