// Package injector makes the stand-in for the platform fail in the ways in
// which a platform fails. The faults are switched while it runs.
package injector

import "yuccaspread/common/clock"

// Faults are what is wrong at present. The zero value is a sound platform
// without limits.
type Faults struct {
	// LatencyMS is added to each call, in milliseconds.
	LatencyMS clock.Millis `json:"latency_ms"`
	// SlowMS is added to a share of the calls, SlowShare in [0, 1].
	SlowMS    clock.Millis `json:"slow_ms"`
	SlowShare float64      `json:"slow_share"`
	// Outage breaks off the connection of each call before any effect.
	Outage bool `json:"outage"`
	// Refuse answers each call with status 503, which promises no effect.
	Refuse bool `json:"refuse"`
	// LoseReplies is the share of writes, in [0, 1], whose connection is broken
	// off after their effect.
	LoseReplies float64 `json:"lose_replies"`
	// WritesPerSecond and ReadsPerSecond bound what is taken; what comes above
	// them gets status 429. 0 stands for no bound.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// OlderReads serves reads from the state at the moment of switching it on.
	OlderReads bool `json:"older_reads"`
	// ListLagMS is how far the list of VMs is behind, in milliseconds.
	ListLagMS clock.Millis `json:"list_lag_ms"`
}
