package main

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/reloader"
	"yuccaspread/common/tracer"
)

// settings is the file of the program.
type settings struct {
	// Name is the name of the VM, unique among all daemons.
	Name string `toml:"name" validate:"required"`
	// Listen is the IP number and port for callers and operators.
	Listen string `toml:"listen" validate:"required,hostname_port"`
	// PeerListen is the IP number and port for other daemons.
	PeerListen string `toml:"peer_listen" validate:"required,hostname_port"`
	// Region and FailureDomain say where the VM stands.
	Region        string `toml:"region" validate:"required"`
	FailureDomain string `toml:"failure_domain" validate:"required"`
	// Platform is the base URL of the platform's services.
	Platform string `toml:"platform" validate:"required,url"`
	// PlatformCallsPerSecond bounds this daemon's calls to the platform; 0
	// stands for a default that suits eight daemons.
	PlatformCallsPerSecond float64 `toml:"platform_calls_per_second" validate:"gte=0"`
	// Seeds are the peer addresses of daemons to join besides those that the
	// platform lists; they may be down.
	Seeds []string `toml:"seeds" validate:"dive,hostname_port"`
	// BootstrapTokenSHA256 admits a first operator while there is none.
	BootstrapTokenSHA256 string `toml:"bootstrap_token_sha256" validate:"omitempty,sha256"`
	// Verbose adds debug lines to the log.
	Verbose bool `toml:"verbose"`
	// TLS holds the key files towards callers and operators.
	TLS reloader.Files `toml:"tls"`
	// PeerTLS holds the key files towards other daemons.
	PeerTLS reloader.Files  `toml:"peer_tls"`
	Trace   tracer.Settings `toml:"trace"`
	// Recorder is the flight recorder.
	Recorder recordingSettings `toml:"recorder"`
	// MemoryMB is the memory that the VM gives this process; 0 is no bound.
	MemoryMB int `toml:"memory_mb" validate:"gte=0"`
	// Hosted is set where the platform's own forms are spoken instead of ours:
	// callers, operators and upstreams are met through the adapters in platform/.
	Hosted *hostedSettings `toml:"hosted"`
}

// hostedSettings are the part of the settings for the adapters.
type hostedSettings struct {
	// ReadyListen answers the platform's checks of readiness, DirectoryListen
	// the callers that ask for addresses.
	ReadyListen     string `toml:"ready_listen" validate:"required,hostname_port"`
	DirectoryListen string `toml:"directory_listen" validate:"required,hostname_port"`
	// MetricsListen serves the metrics; empty serves none.
	MetricsListen string `toml:"metrics_listen" validate:"omitempty,hostname_port"`
	// StopMS is the time from the signal to stop until the process is killed, in
	// milliseconds.
	StopMS clock.Millis `toml:"stop_ms" validate:"gt=0"`
	// AddressLifetimeMS is how long callers may keep a list of addresses, in
	// milliseconds.
	AddressLifetimeMS clock.Millis `toml:"address_lifetime_ms" validate:"gt=0"`
	// RetryShare is the number of retries that the fleet may make for each
	// request, and RetryExtra the number that it may make besides.
	RetryShare float64 `toml:"retry_share" validate:"gte=0,lte=1"`
	RetryExtra float64 `toml:"retry_extra" validate:"gte=0"`
	// CrossRegionBytes is the volume between regions that each tier may use in an
	// hour, in bytes; 0 keeps requests in their region.
	CrossRegionBytes int64 `toml:"cross_region_bytes_per_hour" validate:"gte=0"`
	// Regions maps failure domains to their regions.
	Regions map[string]string `toml:"regions" validate:"required"`
}
