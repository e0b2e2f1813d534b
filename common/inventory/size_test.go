package inventory_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"yuccaspread/common/inventory"
)

// Sizes of the benchmarks.
const (
	manyUpstreams = 4_500
	manyRegions   = 6
)

// sizes are the numbers of organisations.
var sizes = []int{2_000, 6_000, 18_000}

// large returns a configuration with all upstreams of the full size.
func large(organisations int) (c inventory.Config) {
	c = sound()
	for i := range manyRegions {
		c.Regions = append(c.Regions, inventory.Region{Name: fmt.Sprintf("region-%d", i), FailureDomains: []string{fmt.Sprintf("domain-%d", i)}})
	}
	for i := range organisations {
		c.Organisations = append(c.Organisations, inventory.Organisation{
			Name: fmt.Sprintf("organisation-%05d", i), TokenSHA256: hash(i + 10), Weight: 2, RatePerSecond: 5, Concurrency: 20,
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

// change returns a change of one organisation.
func change(c inventory.Config, i int) inventory.Delta {
	name := fmt.Sprintf("organisation-%05d", i%len(c.Organisations))
	entry, _ := inventory.Lookup(c.Organisations, name)
	entry.Weight = i%7 + 1
	value, _ := json.Marshal(entry)
	return inventory.Delta{
		Base: c.Revision, ChangeID: "0b3e4f0a-6f57-4c55-9b0e-2d1f6f7f8a11", Author: "vienna", Time: 1_800_000_000_000,
		Set: []inventory.Entry{{Key: inventory.Key{Kind: inventory.OrganisationKind, Name: name}, Value: value}},
	}
}

// BenchmarkFollow is what each daemon does for each change.
func BenchmarkFollow(b *testing.B) {
	for _, organisations := range sizes {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { followAt(b, organisations) })
	}
}

func followAt(b *testing.B, organisations int) {
	c := large(organisations)
	rows := make([][]byte, 64)
	for i := range rows {
		rows[i], _ = json.Marshal(change(c, i))
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

// BenchmarkAccept is what the accepting daemon does besides.
func BenchmarkAccept(b *testing.B) {
	for _, organisations := range sizes {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { acceptAt(b, organisations) })
	}
}

func acceptAt(b *testing.B, organisations int) {
	c := large(organisations)
	for i := 0; b.Loop(); i++ {
		d := change(c, i)
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

// BenchmarkHeld tells the memory that one configuration holds.
func BenchmarkHeld(b *testing.B) {
	for _, organisations := range sizes {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) { heldAt(b, organisations) })
	}
}

func heldAt(b *testing.B, organisations int) {
	whole, _ := json.Marshal(large(organisations))
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		var c inventory.Config
		if err := json.Unmarshal(whole, &c); err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(&c)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B_config")
	}
	b.ReportMetric(float64(len(whole)), "B_json")
}
