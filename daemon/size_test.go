package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
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
	f := newFleet(b, func(*inventory.Config) {}, eight()...)
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
