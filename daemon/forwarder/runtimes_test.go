package forwarder

import (
	"fmt"
	"testing"
)

// Guards against an expected time that one slow run sets for ever, and against memory that
// grows with each route that ever was.
func TestRunTimesFollowTheLatestRunsOfARoute(t *testing.T) {
	var times runTimes
	if _, known := times.expect("a"); known {
		t.Error("a route without runs is known")
	}
	times.add("a", 9000)
	if took, known := times.expect("a"); !known || took != 9000 {
		t.Errorf("after one run: %d, %t", took, known)
	}
	times.add("a", 10)
	if took, _ := times.expect("a"); took != 9000 {
		t.Errorf("after a long and a short run: %d", took)
	}
	for range keptRuns {
		times.add("a", 100)
	}
	if took, _ := times.expect("a"); took != 100 {
		t.Errorf("after %d short runs: %d", keptRuns, took)
	}
	for i := range 3 * maxRoutes {
		times.add(fmt.Sprint(i), 1)
	}
	if len(times.byRoute) > maxRoutes {
		t.Errorf("%d routes are remembered", len(times.byRoute))
	}
}
