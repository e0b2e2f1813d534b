// Package injector injects faults into the calls to the stand-in platform: latency,
// outages, lost replies, rate limits and stale reads. Faults are changed at runtime.
package injector

import "yuccaspread/common/clock"

// Faults are the faults in effect. The zero value is a healthy platform without
// limits.
type Faults struct {
	// LatencyMS is the delay added to each call, in milliseconds.
	LatencyMS clock.Millis `json:"latency_ms"`
	// SlowMS is a further delay, in milliseconds, added to a share of the calls,
	// SlowShare in [0, 1].
	SlowMS    clock.Millis `json:"slow_ms"`
	SlowShare float64      `json:"slow_share"`
	// Outage closes the connection of each call before it has any effect.
	Outage bool `json:"outage"`
	// Refuse replies to each call with status 503, which guarantees that the call
	// had no effect.
	Refuse bool `json:"refuse"`
	// LoseReplies is the share of writes, in [0, 1], that take effect and whose
	// connection is closed without a reply.
	LoseReplies float64 `json:"lose_replies"`
	// WritesPerSecond and ReadsPerSecond are rate limits. Calls above them get
	// status 429. 0 means no limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// StaleReads serves reads from the state at the time when it was switched on.
	StaleReads bool `json:"older_reads"`
	// ListLagMS is how far the list of VMs lags behind, in milliseconds.
	ListLagMS clock.Millis `json:"list_lag_ms"`
}
