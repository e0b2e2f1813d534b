package surveyor_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/surveyor"
)

type staticSource inventory.Config

func (s *staticSource) Current() *inventory.Config { return (*inventory.Config)(s) }

// elapsed is a clock that counts from its start.
type elapsed time.Time

func (e elapsed) Now() clock.Millis { return clock.Hour + clock.FromDuration(time.Since(time.Time(e))) }

var errHung = errors.New("hung")

// The other daemons hear of a cut and of its end through OnChange, once each, and the metric shows it.
func TestChangesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var open atomic.Bool
		var told []bool
		registry := prometheus.NewRegistry()
		s := &surveyor.Surveyor{
			Source: &staticSource{Upstreams: newWorld(5).upstreams}, Clock: elapsed(time.Now()), Region: "r0", Registerer: registry,
			Dial: func(ctx context.Context, _ string) error {
				if open.Load() {
					return nil
				}
				<-ctx.Done()
				return errHung
			},
		}
		s.OnChange = func(context.Context) { told = append(told, s.IsCutOff()) }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		requireMetric := func(want float64) {
			t.Helper()
			families, err := registry.Gather()
			if err != nil || families[0].GetName() != "yuccaspread_surveyor_cut_off" || families[0].GetMetric()[0].GetGauge().GetValue() != want {
				t.Fatalf("want %v, got %v, %v", want, families, err)
			}
		}
		s.Reached("u0")
		time.Sleep(time.Second)
		requireMetric(0)
		s.Unreached("u1")
		s.Unreached("u2")
		time.Sleep(surveyor.VerdictTime.Duration())
		requireMetric(1)
		time.Sleep(10 * time.Second)
		open.Store(true)
		time.Sleep(surveyor.RecoveryTime.Duration())
		requireMetric(0)
		cancel()
		<-done
		if len(told) != 2 || !told[0] || told[1] {
			t.Fatalf("told %v", told)
		}
	})
}
