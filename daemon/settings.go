package main

import (
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
}
