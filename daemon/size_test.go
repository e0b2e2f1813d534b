package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
)

// eightRegions returns the regions of the eight daemons of the benchmarks.
func eightRegions() []string {
	return []string{"wien-a", "wien-a", "wien-a", "graz-a", "graz-a", "graz-a", "linz-a", "linz-a"}
}

// pollPause is the time between two calls, which keeps them below the rate limit
// of the administration API.
const pollPause = 60 * time.Millisecond

// awaitRevision waits until the revision is in force at all daemons and returns
// how long that took.
func (f *fleet) awaitRevision(revision int64) (took time.Duration) {
	start := time.Now()
	for i := range f.regions {
		for f.revision(i) < revision {
			time.Sleep(pollPause)
		}
	}
	return time.Since(start)
}

// BenchmarkInForce measures how long a change takes from its acceptance until it
// is in force at eight daemon processes, in milliseconds: with pushes between
// the daemons, and without them, because the change is committed by a process
// that is no daemon.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, func(*inventory.Config) {}, eightRegions()...)
	outsideConfigurer := &configurer.Configurer{
		Table: platform.NewHTTP("http://127.0.0.1:"+f.ports["PLATFORM"], nil).Table, Clock: clock.System{},
	}
	commit := map[string]func(d inventory.Delta) error{
		"pushed": func(d inventory.Delta) error { return f.call("POST", "LISTEN_0", "/v1/admin/config", d, nil) },
		"lost": func(d inventory.Delta) error {
			_, err := outsideConfigurer.Commit(b.Context(), d)
			return err
		},
	}
	revision := int64(1)
	for _, variant := range []string{"pushed", "lost"} {
		b.Run(variant, func(b *testing.B) {
			var durations []time.Duration
			for b.Loop() {
				if err := commit[variant](weightChange(revision, fmt.Sprint(variant, revision), int(revision%7))); err != nil {
					b.Fatal(err)
				}
				revision++
				durations = append(durations, f.awaitRevision(revision))
				time.Sleep(137 * time.Millisecond)
			}
			slices.Sort(durations)
			b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "median_ms")
			b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "worst_ms")
		})
	}
}

// BenchmarkControl measures the share of a core that a daemon of a fleet of two,
// four or eight uses while no requests arrive and a change is accepted every six
// seconds.
func BenchmarkControl(b *testing.B) {
	for _, daemons := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) { benchmarkIdleControl(b, daemons) })
	}
}

func benchmarkIdleControl(b *testing.B, daemons int) {
	f := newFleet(b, func(*inventory.Config) {}, eightRegions()[:daemons]...)
	revision := int64(1)
	for b.Loop() {
		before, start := f.cpuTicks(), time.Now()
		for range 5 {
			if err := f.call("POST", "LISTEN_0", "/v1/admin/config", weightChange(revision, fmt.Sprint(revision), int(revision%7)), nil); err != nil {
				b.Fatal(err)
			}
			revision++
			time.Sleep(6 * time.Second)
		}
		const ticksPerSecond = 100
		cpuSeconds := float64(f.cpuTicks()-before) / ticksPerSecond / float64(len(f.regions))
		b.ReportMetric(100*cpuSeconds/time.Since(start).Seconds(), "%core/daemon")
	}
}

// cpuTicks returns the CPU time of all daemons in clock ticks of the kernel.
func (f *fleet) cpuTicks() (sum int64) {
	for _, daemon := range f.daemons {
		content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", daemon.Process.Pid))
		if err != nil {
			f.t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(content), ") ")
		fields := strings.Fields(rest)
		for _, field := range fields[11:13] {
			ticks, _ := strconv.ParseInt(field, 10, 64)
			sum += ticks
		}
	}
	return sum
}

// BenchmarkLeavingUpstream measures how long an upstream still gets new requests
// after the platform's VM list or the inventory marks it as leaving.
func BenchmarkLeavingUpstream(b *testing.B) {
	const name, engine, quietPeriod = "wien-a-model-1", "ENGINE1", 5 * time.Second
	f := newFleet(b, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	stop := f.startLoad(8)
	defer stop()
	setListLeaving := func(leaving bool) {
		vms := []platform.VM{{Name: name, Role: "upstream", Leaving: leaving}}
		_ = f.call("PUT", "PLATFORM", "/vms", vms, nil)
	}
	revision := int64(1)
	setInventoryLeaving := func(leaving bool) {
		var config inventory.Config
		if err := f.get("LISTEN_0", "/v1/admin/config", &config); err != nil {
			b.Fatal(err)
		}
		u, _ := inventory.Lookup(config.Upstreams, name)
		u.Leaving = leaving
		value, _ := json.Marshal(u)
		d := inventory.Delta{Base: revision, ChangeID: fmt.Sprint(revision), Set: []inventory.Entry{{
			Key: inventory.Key{Kind: inventory.UpstreamKind, Name: name}, Value: value,
		}}}
		if err := f.call("POST", "LISTEN_0", "/v1/admin/config", d, nil); err != nil {
			b.Fatal(err)
		}
		revision++
	}
	for _, source := range []struct {
		name string
		set  func(leaving bool)
	}{{"list", setListLeaving}, {"inventory", setInventoryLeaving}} {
		b.Run(source.name, func(b *testing.B) {
			worst := time.Duration(0)
			for b.Loop() {
				before := f.servedRequests(engine)
				for f.servedRequests(engine) == before {
					time.Sleep(20 * time.Millisecond)
				}
				source.set(true)
				start, lastRequest := time.Now(), time.Duration(0)
				for count := f.servedRequests(engine); time.Since(start) < quietPeriod; time.Sleep(20 * time.Millisecond) {
					if now := f.servedRequests(engine); now != count {
						count, lastRequest = now, time.Since(start)
					}
				}
				worst = max(worst, lastRequest)
				source.set(false)
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst_ms")
		})
	}
}

// servedRequests returns the number of requests that the engine has served.
func (f *fleet) servedRequests(engine string) (count int) {
	var report struct {
		Served int `json:"served"`
	}
	if err := f.get(engine, "/v1/load", &report); err != nil {
		f.t.Fatal(err)
	}
	return report.Served
}

// startLoad sends streams from the given number of callers until stop is called.
func (f *fleet) startLoad(callers int) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			c := &caller{fleet: f, client: &http.Client{Transport: &http.Transport{}}, streamTokens: 5}
			for {
				select {
				case <-done:
					return
				default:
					_ = c.send(true)
				}
			}
		})
	}
	return func() {
		close(done)
		wait.Wait()
	}
}
