package mover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// ErrNotMet means that a run's stated outcome does not hold.
var ErrNotMet = errors.New("the stated outcome does not hold")

// Knows tells whether this package has the scenario.
func Knows(name string) bool {
	return slices.Contains(Scenarios, name)
}

// Report runs the scenario and writes its outcome, as JSON or as a line for
// people. The error wraps ErrNotMet where the stated outcome does not hold.
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
