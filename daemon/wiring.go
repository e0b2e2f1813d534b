package main

import (
	"context"

	"go.uber.org/fx"
)

// duties is the table of contents: one module a duty, in the order in which
// data passes.
func duties(s settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		observationDuty(),
		platformDuty(),
		peerDuty(),
		membershipDuty(),
		configurationDuty(),
		recordingDuty(),
		reservationDuty(),
		dispatchDuty(),
		movesDuty(),
		ingressDuty(),
	)
}

// runDuty runs a goroutine from the start to the stop of the process.
func runDuty(l fx.Lifecycle, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				run(ctx)
			}()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stop.Done():
				return stop.Err()
			}
		},
	})
}
