package main

import (
	"go.uber.org/fx"

	"yuccaspread/daemon/recorder"
)

// recordingSettings are the part of the settings for the flight recorder.
type recordingSettings struct {
	// On starts the recorder with the daemon.
	On bool `toml:"on"`
	// Size bounds the messages that are kept; 0 means a default.
	Size int `toml:"size" validate:"gte=0"`
}

// recordingDuty keeps the flight record of the decision packages.
func recordingDuty() fx.Option {
	return fx.Module("recording", fx.Provide(func(s settings) *recorder.Recorder {
		r := &recorder.Recorder{Size: s.Recorder.Size}
		r.Switch(s.Recorder.On)
		return r
	}))
}
