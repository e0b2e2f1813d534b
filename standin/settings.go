package main

import (
	"yuccaspread/common/clock"
	"yuccaspread/standin/caller"
	"yuccaspread/standin/generator"
)

// settings holds the program's settings, loaded from the TOML file, the environment
// and flags.
type settings struct {
	Platform platformSettings  `toml:"platform"`
	Engines  []engineSettings  `toml:"engines" validate:"dive"`
	Services []serviceSettings `toml:"services" validate:"dive"`
	// Register is the metadata store of the users' platform, Workers its workers.
	Register registerSettings `toml:"register"`
	Workers  []workerSettings `toml:"workers" validate:"dive"`
	Callers  callerSettings   `toml:"callers"`
	Meter    meterSettings    `toml:"meter"`
}

// meterSettings apply to the measure subcommand only.
type meterSettings struct {
	// Direct and Through are the base URLs of an upstream and of a daemon.
	Direct   string `toml:"direct" validate:"omitempty,url"`
	Through  string `toml:"through" validate:"omitempty,url"`
	Path     string `toml:"path"`
	Body     string `toml:"body"`
	Token    string `toml:"token"`
	Requests int    `toml:"requests" validate:"gte=0"`
	Parallel int    `toml:"parallel" validate:"gte=0"`
}

// callerSettings apply to the call subcommand only.
type callerSettings struct {
	// Daemons are the base URLs of daemons.
	Daemons  []string      `toml:"daemons" validate:"dive,url"`
	Requests int           `toml:"requests" validate:"gte=0"`
	Parallel int           `toml:"parallel" validate:"gte=0"`
	Kinds    []caller.Kind `toml:"kinds"`
}

type platformSettings struct {
	// Listen is an IP address and a port. If empty, no platform is started.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
	// WeightBytesPerSecond is the throughput of the weight store, 0 for no limit.
	// WeightBytes is the size of each model version.
	WeightBytesPerSecond float64 `toml:"weight_bytes_per_second" validate:"gte=0"`
	WeightBytes          float64 `toml:"weight_bytes" validate:"gte=0"`
}

type engineSettings struct {
	Name                   string       `toml:"name" validate:"required"`
	Listen                 string       `toml:"listen" validate:"required,hostname_port"`
	Version                string       `toml:"version"`
	Slots                  int          `toml:"slots" validate:"gt=0"`
	PrefillTokensPerSecond float64      `toml:"prefill_tokens_per_second" validate:"gte=0"`
	TokenGapMS             clock.Millis `toml:"token_gap_ms" validate:"gte=0"`
	GapPerRequestMS        clock.Millis `toml:"gap_per_request_ms" validate:"gte=0"`
	CacheBlocks            int          `toml:"cache_blocks" validate:"gte=0"`
	// ReportEveryMS is the age at which a load report is replaced by a new one.
	ReportEveryMS clock.Millis `toml:"report_every_ms" validate:"gte=0"`
	// LoseEvery drops each cache event whose sequence number is a multiple of it;
	// 0 drops none.
	LoseEvery int64 `toml:"lose_every" validate:"gte=0"`
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool                     `toml:"checks_fencing"`
	Behaviours    []generator.VersionFault `toml:"behaviours"`
}

type registerSettings struct {
	// Listen is an IP address and a port. If empty, no store is started.
	Listen string `toml:"listen" validate:"omitempty,hostname_port"`
}

type workerSettings struct {
	ID     string       `toml:"id" validate:"required"`
	Listen string       `toml:"listen" validate:"required,hostname_port"`
	Slots  int          `toml:"slots" validate:"gt=0"`
	Queue  int          `toml:"queue" validate:"gte=0"`
	WorkMS clock.Millis `toml:"work_ms" validate:"gte=0"`
	// Events is the number of events of each response; 0 sends a plain response.
	Events int          `toml:"events" validate:"gte=0"`
	GapMS  clock.Millis `toml:"gap_ms" validate:"gte=0"`
}

type serviceSettings struct {
	Name    string       `toml:"name" validate:"required"`
	Listen  string       `toml:"listen" validate:"required,hostname_port"`
	DelayMS clock.Millis `toml:"delay_ms" validate:"gte=0"`
}
