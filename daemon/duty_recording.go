package main

import (
	"go.uber.org/fx"

	"yuccaspread/daemon/recorder"
)

// recordingSettings are the settings of the flight recorder.
type recordingSettings struct {
	// On starts recording with the daemon.
	On bool `toml:"on"`
	// Size is the largest number of messages that are kept; 0 means a default.
	Size int `toml:"size" validate:"gte=0"`
}

// recordingDuty provides the flight recorder, which records the messages that
// the decision packages handle.
func recordingDuty() fx.Option {
	return fx.Module("recording", fx.Provide(func(s settings) *recorder.Recorder {
		r := &recorder.Recorder{Size: s.Recorder.Size}
		r.SetEnabled(s.Recorder.On)
		return r
	}))
}
