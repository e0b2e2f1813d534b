package tuner_test

import (
	"testing"

	"yuccaspread/daemon/tuner"
)

// The kernel goes by UserTimeout where one is set, so a count of probes that says otherwise misleads.
func TestProbesEndWithTheUserTimeout(t *testing.T) {
	if got := tuner.KeepAliveIdle + tuner.KeepAliveCount*tuner.KeepAliveInterval; got != tuner.UserTimeout {
		t.Fatalf("by the count of probes an idle connection is closed after %d ms, by the user timeout after %d ms", got, tuner.UserTimeout)
	}
}
