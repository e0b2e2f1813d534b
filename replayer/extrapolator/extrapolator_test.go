package extrapolator_test

import (
	"math"
	"strings"
	"testing"

	"yuccaspread/replayer/extrapolator"
)

const benchmarkOutput = `goos: linux
BenchmarkGossip/members=10-10   	 100	 2000 ns/op	 110 B/s
BenchmarkGossip/members=60-10   	 100	 2000 ns/op	 160 B/s
BenchmarkGossip/members=110-10  	 100	 2000 ns/op	 210 B/s
BenchmarkOther-10  	 100	 7 ns/op
PASS
`

// TestFitRecoversLine guards against a wrong slope or base from points on a line,
// and against a fit without measurements.
func TestFitRecoversLine(t *testing.T) {
	m, err := extrapolator.Read(strings.NewReader(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	line, err := extrapolator.Fit(m.Points("BenchmarkGossip", "members", "B/s", nil))
	if err != nil || math.Abs(line.Base-100) > 1e-6 || math.Abs(line.Slope-1) > 1e-9 {
		t.Fatalf("%+v, %v", line, err)
	}
	if _, err = extrapolator.Fit(m.Points("BenchmarkGossip", "absent", "B/s", nil)); err == nil {
		t.Fatal("a fit without measurements succeeded")
	}
}

// TestFillReplacesOnlyTables guards against lost text around the tables, tables
// that are not replaced, and rows that pass without measurements.
func TestFillReplacesOnlyTables(t *testing.T) {
	m, err := extrapolator.Read(strings.NewReader(benchmarkOutput))
	if err != nil {
		t.Fatal(err)
	}
	row := extrapolator.Row{
		Duty: "membership", Quantity: "bytes", Kind: extrapolator.Traffic, Benchmark: "BenchmarkGossip",
		Variable: "members", Metric: "B/s", At: 350, Control: true, Mechanism: "gossip",
	}
	plan := extrapolator.Plan{
		Budgets: extrapolator.Budgets{CPUPercent: 1, MemoryMB: 1, TrafficKB: 0.4},
		Rows:    []extrapolator.Row{row},
	}
	page := "a\n<!-- table: membership -->\nold\n<!-- end of table -->\nb\n<!-- table: control -->\n<!-- end of table -->\nc\n"
	filled, err := extrapolator.Fill(page, plan, m)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a\n", "100 + 1 × members, members = 350 | 0.45 KB/s", "0.45 KB/s | 0.4 KB/s, **over**", "\nc\n"} {
		if !strings.Contains(filled, want) {
			t.Errorf("%q is missing in\n%s", want, filled)
		}
	}
	if strings.Contains(filled, "old") {
		t.Error("the old table is still there")
	}
	plan.Rows[0].Metric = "absent"
	if _, err = extrapolator.Fill(page, plan, m); err == nil {
		t.Error("a row without measurements passed")
	}
}
