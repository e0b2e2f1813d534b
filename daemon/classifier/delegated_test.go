package classifier_test

import (
	"net/http"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
)

// Guards against a delegation header that goes on to an upstream or changes the caller's own, and against
// one that a caller forged and that allows more than nothing.
func TestDelegationHeaderIsReadAndRemoved(t *testing.T) {
	route := inventory.Route{Host: "h", Path: "/"}
	for value, want := range map[string]int{"": 0, "1": 1, "2": 2, "0": 1, "-3": 1, "many": 1, "99999999999999999999": 1} {
		header := http.Header{"X": {"1"}, classifier.HeaderAnsweredBy: {"upstream"}}
		if value != "" {
			header.Set(classifier.HeaderDelegated, value)
		}
		before := len(header)
		req := classifier.New(&inventory.Config{}).Complete(classifier.Admission{Route: route}, classifier.Head{ID: "1", Header: header}, nil)
		if req.DelegatedRuns != want || len(req.Header) != 1 || req.Header.Get("X") != "1" || len(header) != before {
			t.Errorf("%q: %d runs, %v", value, req.DelegatedRuns, req.Header)
		}
	}
}
