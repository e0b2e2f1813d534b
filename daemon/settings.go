package main

import (
	"cmp"

	"yuccaspread/common/clock"
	"yuccaspread/common/reloader"
	"yuccaspread/common/tracer"
)

// settings are the settings of the daemon, decoded from TOML.
type settings struct {
	// Name is the name of the VM, unique among all daemons.
	Name string `toml:"name" validate:"required"`
	// Listen is the IP address and port for callers and operators.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// PeerListen is the IP address and port for other daemons.
	PeerListen string `toml:"peer_listen" validate:"required,hostname_port"`
	// PeerAddress is the IP address and port to which other daemons connect, where address translation
	// makes it differ from PeerListen; empty stands for PeerListen.
	PeerAddress string `toml:"peer_address" validate:"omitempty,hostname_port"`
	// Region and FailureDomain are the location of the VM.
	Region        string `toml:"region" validate:"required"`
	FailureDomain string `toml:"failure_domain" validate:"required"`
	// Platform is the base URL of the platform's services.
	Platform string `toml:"platform" validate:"required,url"`
	// PlatformCallsPerSecond limits this daemon's calls to the platform; 0
	// means a default that suits eight daemons.
	PlatformCallsPerSecond float64 `toml:"platform_calls_per_second" validate:"gte=0"`
	// Seeds are the peer addresses of daemons to join in addition to those that
	// the platform lists; they may be down.
	Seeds []string `toml:"seeds" validate:"dive,hostname_port"`
	// BootstrapTokenSHA256 is the hash of a token that authenticates a first
	// operator while the configuration has none.
	BootstrapTokenSHA256 string `toml:"bootstrap_token_sha256" validate:"omitempty,sha256"`
	// Verbose enables debug messages in the log.
	Verbose bool `toml:"verbose"`
	// TLS names the certificate files for connections of callers and operators.
	TLS reloader.Files `toml:"tls"`
	// PeerTLS names the certificate files for connections between daemons.
	PeerTLS reloader.Files  `toml:"peer_tls"`
	Trace   tracer.Settings `toml:"trace"`
	// Recorder is the flight recorder.
	Recorder recordingSettings `toml:"recorder"`
	// MemoryMB is the memory that the VM gives this process, in MiB; 0 sets no
	// limit.
	MemoryMB float64 `toml:"memory_mb" validate:"gte=0"`
	// Hosted is set if the daemon uses the platform's own formats and protocols
	// instead of ours: the adapters in platform/ then handle callers, operators
	// and upstreams.
	Hosted *hostedSettings `toml:"hosted"`
}

// advertisedPeerAddress returns the address at which other daemons find this one.
func (s settings) advertisedPeerAddress() string { return cmp.Or(s.PeerAddress, s.PeerListen) }

// hostedSettings are the settings of the adapters in platform/. What the platform states is a
// decimal number.
type hostedSettings struct {
	// ReadyListen is the address for the platform's readiness checks,
	// DirectoryListen the one for callers that resolve daemon addresses.
	ReadyListen     string `toml:"ready_listen" validate:"required,hostname_port"`
	DirectoryListen string `toml:"directory_listen" validate:"required,hostname_port"`
	// MetricsListen is the address that serves the metrics; empty disables it.
	MetricsListen string `toml:"metrics_listen" validate:"omitempty,hostname_port"`
	// StopMS is the time between the stop signal and the platform's kill of the
	// process, in milliseconds.
	StopMS float64 `toml:"stop_ms" validate:"gte=1"`
	// AddressLifetimeMS is how long callers may cache a list of addresses, in
	// milliseconds.
	AddressLifetimeMS clock.Millis `toml:"address_lifetime_ms" validate:"gt=0"`
	// ConfigApplyMS is the time within which an acknowledged change of the configuration
	// has to be in force on all daemons, in milliseconds; 0 for no bound.
	ConfigApplyMS float64 `toml:"config_apply_ms" validate:"omitempty,gte=1000"`
	// RetryShare is the number of retries that the fleet may make per request,
	// RetryExtra the number that it may make in addition per window of the
	// forwarder's budget.
	RetryShare float64 `toml:"retry_share" validate:"gte=0,lte=1"`
	RetryExtra float64 `toml:"retry_extra" validate:"gte=0"`
	// LimitSlackTokens is the number of tokens by which the users' platform lets an
	// organisation exceed its limit in any of its windows.
	LimitSlackTokens float64 `toml:"limit_slack_tokens" validate:"gte=0"`
	// LimitWindowS is the length of these windows, in seconds.
	LimitWindowS float64 `toml:"limit_window_s" validate:"required_with=LimitSlackTokens,gte=0"`
	// CrossRegionBytes is the volume that each tier may send between regions per
	// hour, in bytes; 0 keeps requests in their region.
	CrossRegionBytes int64 `toml:"cross_region_bytes_per_hour" validate:"gte=0"`
	// OrderShare is the largest share of a pool's requests that a version may get before
	// the time of the order for it is over; 0 stands for a tenth.
	OrderShare float64 `toml:"order_share" validate:"gte=0,lte=1"`
	// ColdExcess and ColdSlack bound the requests that a cold upstream may get in a second: the rate
	// that its pool states, times ColdExcess, plus ColdSlack. 0 for both sets no such bound.
	ColdExcess float64 `toml:"cold_excess" validate:"gte=0"`
	ColdSlack  float64 `toml:"cold_slack" validate:"gte=0"`
	// KeptPrompts lets schedulers weigh which upstreams still hold parts of a prompt.
	KeptPrompts bool `toml:"kept_prompts"`
	// Regions maps failure domains to their regions.
	Regions map[string]string `toml:"regions" validate:"required"`
}
