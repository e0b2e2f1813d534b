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

// eight are the regions of the daemons of the benchmarks.
func eight() []string {
	return []string{"wien-a", "wien-a", "wien-a", "graz-a", "graz-a", "graz-a", "linz-a", "linz-a"}
}

// pollPause stays below the rate limit of the administration API.
const pollPause = 60 * time.Millisecond

// spread waits until the revision is in force at all daemons and returns the
// time that the slowest took.
func (f *fleet) spread(revision int64) (took time.Duration) {
	start := time.Now()
	for i := range f.regions {
		for f.revision(i) < revision {
			time.Sleep(pollPause)
		}
	}
	return time.Since(start)
}

// BenchmarkInForce tells how long a change takes from its acceptance until it
// is in force at all of eight processes, in milliseconds: with pushes, and
// with every push lost, as it is accepted outside of all daemons.
func BenchmarkInForce(b *testing.B) {
	f := newFleet(b, func(*inventory.Config) {}, eight()...)
	outside := &configurer.Configurer{
		Table: platform.NewHTTP("http://127.0.0.1:"+f.ports["PLATFORM"], nil).Table, Clock: clock.System{},
	}
	accept := map[string]func(d inventory.Delta) error{
		"pushed": func(d inventory.Delta) error { return f.call("POST", "LISTEN_0", "/v1/admin/config", d, nil) },
		"lost": func(d inventory.Delta) error {
			_, err := outside.Commit(b.Context(), d)
			return err
		},
	}
	revision := int64(1)
	for _, way := range []string{"pushed", "lost"} {
		b.Run(way, func(b *testing.B) {
			var all []time.Duration
			for b.Loop() {
				if err := accept[way](weigh(revision, fmt.Sprint(way, revision), int(revision%7))); err != nil {
					b.Fatal(err)
				}
				revision++
				all = append(all, f.spread(revision))
				time.Sleep(137 * time.Millisecond)
			}
			slices.Sort(all)
			b.ReportMetric(float64(all[len(all)/2].Milliseconds()), "median_ms")
			b.ReportMetric(float64(all[len(all)-1].Milliseconds()), "worst_ms")
		})
	}
}

// BenchmarkControl tells the share of a core that a daemon of eight spends
// while no request comes and a change is accepted each six seconds.
func BenchmarkControl(b *testing.B) {
	for _, daemons := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) { idleControl(b, daemons) })
	}
}

func idleControl(b *testing.B, daemons int) {
	f := newFleet(b, func(*inventory.Config) {}, eight()[:daemons]...)
	revision := int64(1)
	for b.Loop() {
		before, start := f.ticks(), time.Now()
		for range 5 {
			if err := f.call("POST", "LISTEN_0", "/v1/admin/config", weigh(revision, fmt.Sprint(revision), int(revision%7)), nil); err != nil {
				b.Fatal(err)
			}
			revision++
			time.Sleep(6 * time.Second)
		}
		const ticksPerSecond = 100
		spent := float64(f.ticks()-before) / ticksPerSecond / float64(len(f.regions))
		b.ReportMetric(100*spent/time.Since(start).Seconds(), "%core/daemon")
	}
}

// ticks returns the processor time of all daemons in ticks of the kernel.
func (f *fleet) ticks() (sum int64) {
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

// BenchmarkLeavingUpstream tells how long an upstream still gets new requests
// after the platform's list or the inventory says that it leaves.
func BenchmarkLeavingUpstream(b *testing.B) {
	const name, engine, quiet = "wien-a-model-1", "ENGINE1", 5 * time.Second
	f := newFleet(b, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	stop := f.load(8)
	defer stop()
	list := func(leaving bool) {
		vms := []platform.VM{{Name: name, Role: "upstream", Leaving: leaving}}
		_ = f.call("PUT", "PLATFORM", "/vms", vms, nil)
	}
	revision := int64(1)
	entry := func(leaving bool) {
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
		say  func(leaving bool)
	}{{"list", list}, {"inventory", entry}} {
		b.Run(source.name, func(b *testing.B) {
			worst := time.Duration(0)
			for b.Loop() {
				before := f.served(engine)
				for f.served(engine) == before {
					time.Sleep(20 * time.Millisecond)
				}
				source.say(true)
				start, last := time.Now(), time.Duration(0)
				for count := f.served(engine); time.Since(start) < quiet; time.Sleep(20 * time.Millisecond) {
					if now := f.served(engine); now != count {
						count, last = now, time.Since(start)
					}
				}
				worst = max(worst, last)
				source.say(false)
			}
			b.ReportMetric(float64(worst.Milliseconds()), "worst_ms")
		})
	}
}

// served returns the number of requests that the engine took.
func (f *fleet) served(engine string) (count int) {
	var report struct {
		Served int `json:"served"`
	}
	if err := f.get(engine, "/v1/load", &report); err != nil {
		f.t.Fatal(err)
	}
	return report.Served
}

// load sends streams from the given number of callers until stop is called.
func (f *fleet) load(callers int) (stop func()) {
	done := make(chan struct{})
	var wait sync.WaitGroup
	for range callers {
		wait.Go(func() {
			c := &caller{fleet: f, client: &http.Client{Transport: &http.Transport{}}, tokens: 5}
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
