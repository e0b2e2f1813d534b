package inventory_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"yuccaspread/common/inventory"
)

// Numbers of entries in the configuration of the benchmarks.
const (
	manyUpstreams = 4_500
	manyRegions   = 6
)

// organisationCounts are the numbers of organisations that each benchmark runs
// with.
var organisationCounts = []int{2_000, 6_000, 18_000}

// largeConfig returns a configuration with manyUpstreams upstreams.
func largeConfig(organisations int) (c inventory.Config) {
	c = validConfig()
	for i := range manyRegions {
		c.Regions = append(c.Regions, inventory.Region{Name: fmt.Sprintf("region-%d", i), FailureDomains: []string{fmt.Sprintf("domain-%d", i)}})
	}
	for i := range organisations {
		c.Organisations = append(c.Organisations, inventory.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), TokenSHA256: tokenHash(i + 10), Weight: 2, RatePerSecond: 5, Concurrency: 20,
		})
	}
	for i := range manyUpstreams {
		region := i % manyRegions
		c.Upstreams = append(c.Upstreams, inventory.Upstream{
			Name: fmt.Sprintf("upstream-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i>>16, i>>8&255, i&255), Pool: "m",
			Region: fmt.Sprintf("region-%d", region), FailureDomain: fmt.Sprintf("domain-%d", region), Generation: "g5", Slots: 64,
		})
	}
	return c.Sorted()
}

// weightChange returns a change of one organisation's weight.
func weightChange(c inventory.Config, i int) inventory.Delta {
	name := fmt.Sprintf("organisation-%05d", i%len(c.Organisations))
	entry, _ := inventory.Lookup(c.Organisations, name)
	entry.Weight = i%7 + 1
	value, _ := json.Marshal(entry)
	return inventory.Delta{
		Base: c.Revision, ChangeID: "0b3e4f0a-6f57-4c55-9b0e-2d1f6f7f8a11", Author: "vienna", Time: 1_800_000_000_000,
		Set: []inventory.Entry{{Key: inventory.Key{Kind: inventory.OrganisationKind, Name: name}, Value: value}},
	}
}

// BenchmarkFollow measures the work of each daemon that receives an
// accepted change: it decodes and applies it.
func BenchmarkFollow(b *testing.B) {
	for _, organisations := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { benchmarkApplyReceivedDelta(b, organisations) })
	}
}

func benchmarkApplyReceivedDelta(b *testing.B, organisations int) {
	c := largeConfig(organisations)
	rows := make([][]byte, 64)
	for i := range rows {
		rows[i], _ = json.Marshal(weightChange(c, i))
	}
	for i := 0; b.Loop(); i++ {
		var d inventory.Delta
		if err := json.Unmarshal(rows[i%len(rows)], &d); err != nil {
			b.Fatal(err)
		}
		d.Base = c.Revision
		next, err := c.Apply(d)
		if err != nil {
			b.Fatal(err)
		}
		c = next
	}
	b.ReportMetric(float64(len(rows[0])), "B/change")
}

// BenchmarkAccept measures the additional work of the daemon that
// accepts a change: it applies it and checks the result.
func BenchmarkAccept(b *testing.B) {
	for _, organisations := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { benchmarkApplyAndCheckDelta(b, organisations) })
	}
}

func benchmarkApplyAndCheckDelta(b *testing.B, organisations int) {
	c := largeConfig(organisations)
	for i := 0; b.Loop(); i++ {
		d := weightChange(c, i)
		next, err := c.Apply(d)
		if err != nil {
			b.Fatal(err)
		}
		if mistakes := next.Check(); len(mistakes) > 0 {
			b.Fatal(mistakes[0])
		}
		c = next
	}
}

// BenchmarkHeld measures the heap memory of one decoded configuration.
func BenchmarkHeld(b *testing.B) {
	for _, organisations := range organisationCounts {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { benchmarkHeapSize(b, organisations) })
	}
}

func benchmarkHeapSize(b *testing.B, organisations int) {
	encoded, _ := json.Marshal(largeConfig(organisations))
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var c inventory.Config
		if err := json.Unmarshal(encoded, &c); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&c)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B_config")
	}
	b.ReportMetric(float64(len(encoded)), "B_json")
}
