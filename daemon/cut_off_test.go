package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"yuccaspread/common/allocator"
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/drainer"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
	"yuccaspread/daemon/surveyor"
)

// readyConfig is a configuration that is in force.
type readyConfig inventory.Config

func (c *readyConfig) Current() *inventory.Config { return (*inventory.Config)(c) }
func (*readyConfig) Ready() bool                  { return true }

// surveyedDaemon is the part of a daemon that finds out that it is cut off and tells others.
type surveyedDaemon struct {
	gossiper *gossiper.Gossiper
	surveyor *surveyor.Surveyor
	resolver *resolver.Resolver
	// cutOff lets its dials to upstreams hang.
	cutOff atomic.Bool
}

var errLinkDown = errors.New("the link is down")

func (d *surveyedDaemon) dial(ctx context.Context, _ string) error {
	if !d.cutOff.Load() {
		return nil
	}
	<-ctx.Done()
	return errLinkDown
}

// cut cuts the daemon off. Requests fail until it is over, as they do at a daemon in use: one that stood
// still for a while forgets what it knew before.
func (d *surveyedDaemon) cut(t *testing.T) {
	d.cutOff.Store(true)
	go func() {
		for d.cutOff.Load() && t.Context().Err() == nil {
			d.surveyor.Unreached("u1")
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// startSurveyed starts as many daemons, wired as in the program, that know nine upstreams.
func startSurveyed(t *testing.T, count int) (daemons []*surveyedDaemon) {
	t.Helper()
	var free allocator.Allocator
	t.Cleanup(free.Close)
	var addresses []string
	for range count {
		port, err := free.Port()
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, fmt.Sprintf("127.0.0.1:%d", port))
	}
	config := &readyConfig{Revision: 1}
	for i := range 9 {
		config.Upstreams = append(config.Upstreams, inventory.Upstream{
			Name: fmt.Sprintf("u%d", i), Address: fmt.Sprintf("192.0.2.%d:80", i), Region: "r", FailureDomain: fmt.Sprintf("d%d", i%3),
		})
	}
	for i, address := range addresses {
		d := &surveyedDaemon{}
		registry := prometheus.NewRegistry()
		app := fx.New(fx.NopLogger, peerDuty(), membershipDuty(), surveyingDuty(),
			fx.Supply(settings{Name: fmt.Sprintf("entry-%d", i), Region: "r", Listen: fmt.Sprintf("entry-%d", i), PeerListen: address}, &drainer.Drainer{}),
			fx.Provide(
				func() clock.Clock { return clock.System{} }, func() prometheus.Registerer { return registry },
				func() (configSource, inventory.Source, seedLister) {
					return config, config, func() []string { return addresses }
				},
			),
			fx.Populate(&d.gossiper, &d.surveyor),
			// It is set before the surveyor runs.
			fx.Invoke(func(s *surveyor.Surveyor) { s.Dial = d.dial }),
		)
		if err := app.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
			defer cancel()
			if err := app.Stop(ctx); err != nil {
				t.Error(err)
			}
		})
		d.resolver = &resolver.Resolver{Source: config, Members: d.gossiper, OwnRegionOnly: true}
		daemons = append(daemons, d)
	}
	return daemons
}

// awaitAnswers waits until each daemon answers with the daemons of these numbers, and returns how
// long that took.
func awaitAnswers(t *testing.T, daemons []*surveyedDaemon, numbers ...int) time.Duration {
	t.Helper()
	var want []string
	for _, i := range numbers {
		want = append(want, fmt.Sprintf("entry-%d", i))
	}
	start := time.Now()
	for i, d := range daemons {
		for {
			var got []string
			for _, a := range d.resolver.Answer("r", "").Addresses {
				got = append(got, a.Address)
			}
			if slices.Sort(got); slices.Equal(got, want) {
				break
			}
			if time.Since(start) > fleetTimeout {
				t.Fatalf("daemon %d answers with %v, want %v", i, got, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// Callers of a fleet of nine were handed the five that had lost their links to all upstreams.
func TestFleetLeavesDaemonsThatAreCutOffOutOfAnswers(t *testing.T) {
	t.Parallel()
	daemons := startSurveyed(t, 9)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	awaitAnswers(t, daemons, all...)
	for _, d := range daemons[:5] {
		d.surveyor.Reached("u0")
		d.cut(t)
	}
	took := awaitAnswers(t, daemons, 5, 6, 7, 8)
	// One dead upstream at the others is no cut.
	daemons[8].surveyor.Unreached("u1")
	for _, d := range daemons[:5] {
		d.cutOff.Store(false)
	}
	back := awaitAnswers(t, daemons, all...)
	for _, d := range daemons {
		d.cut(t)
	}
	for i, d := range daemons {
		for start := time.Now(); !d.surveyor.IsCutOff(); time.Sleep(time.Millisecond) {
			if time.Since(start) > fleetTimeout {
				t.Fatalf("daemon %d does not know that it is cut off", i)
			}
		}
	}
	awaitAnswers(t, daemons, all...)
	t.Logf("left out after %s, back after %s", took.Round(time.Millisecond), back.Round(time.Millisecond))
}
