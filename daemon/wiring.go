package main

import (
	"context"

	"go.uber.org/fx"
)

// duties returns the fx modules of the daemon, one per duty, in the order in
// which data passes through them.
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

// runDuty runs a function in a goroutine from the start to the stop of the
// process. On stop it cancels run's context and waits until run returns or the
// stop's context ends.
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
		OnStop: func(stopCtx context.Context) error {
			cancel()
			select {
			case <-done:
				return nil
			case <-stopCtx.Done():
				return stopCtx.Err()
			}
		},
	})
}
