// Package reporter writes replay results as text tables and as plots.
package reporter

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"yuccaspread/common/clock"
	"yuccaspread/replayer/runner"
)

// Sizes of the plots.
const (
	width    = 18 * vg.Centimeter
	height   = 11 * vg.Centimeter
	barWidth = vg.Length(14)
	// goodputInterval is the time that each point of the goodput plot covers.
	goodputInterval = 10 * clock.Second
)

// percent converts a share to percent.
const percent = 100

// WriteTable writes the results as text tables.
func WriteTable(w io.Writer, results []runner.Result) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write table: %w", err)
		}
	}()
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "policy\ttier\toffered\ton_time\tlate\tshed\t")
	for _, r := range results {
		for _, t := range r.Tiers {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t\n", r.Policy, t.Tier, t.Offered, t.OnTime, t.Late, t.Shed)
		}
	}
	_, _ = fmt.Fprintln(table, "policy\ton_time\twasted_prefill_tokens\ttier_inversions\tfirst_token_p95_ms\ttoken_gap_p95_ms\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.0f\t%.0f\t\n", r.Policy, r.OnTime(), r.WastedPrefillTokens,
			r.TierInversions, r.FirstTokenP95MS, r.TokenGapP95MS)
	}
	return table.Flush()
}

// WritePlots writes the plots as PNG files into a directory, which it creates if
// missing.
func WritePlots(directory string, results []runner.Result) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write report: %w", err)
		}
	}()
	if err = os.MkdirAll(directory, 0o750); err != nil {
		return err
	}
	if err = writeOnTime(filepath.Join(directory, "on_time.png"), results); err != nil {
		return err
	}
	if err = writeWastedPrefill(filepath.Join(directory, "wasted_prefill.png"), results); err != nil {
		return err
	}
	return writeGoodput(filepath.Join(directory, "goodput.png"), results)
}

// writeOnTime plots the share of requests on time by tier and policy.
func writeOnTime(path string, results []runner.Result) error {
	p := plot.New()
	p.Title.Text = "Requests on time"
	p.X.Label.Text = "tier"
	p.Y.Label.Text = "percent"
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for i, r := range results {
		names = names[:0]
		var values plotter.Values
		for _, t := range r.Tiers {
			values = append(values, percent*float64(t.OnTime)/float64(max(t.Offered, 1)))
			names = append(names, strconv.Itoa(t.Tier))
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(results)-1)/2)
		p.Add(bars)
		p.Legend.Add(r.Policy, bars)
	}
	p.NominalX(names...)
	return p.Save(width, height, path)
}

// writeWastedPrefill plots the wasted prefill by policy.
func writeWastedPrefill(path string, results []runner.Result) error {
	p := plot.New()
	p.Title.Text = "Wasted prefill"
	p.Y.Label.Text = "tokens"
	p.Y.Min = 0
	var names []string
	var values plotter.Values
	for _, r := range results {
		names = append(names, r.Policy)
		values = append(values, float64(r.WastedPrefillTokens))
	}
	bars, err := plotter.NewBarChart(values, 2*barWidth)
	if err != nil {
		return err
	}
	bars.Color = plotutil.Color(0)
	p.Add(bars)
	p.NominalX(names...)
	return p.Save(width, height, path)
}

// writeGoodput plots the rate of requests on time, by arrival time.
func writeGoodput(path string, results []runner.Result) error {
	p := plot.New()
	p.Title.Text = "Requests on time by arrival"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, r := range results {
		line, err := plotter.NewLine(goodput(r))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return p.Save(width, height, path)
}

func goodput(r runner.Result) plotter.XYs {
	var counts []float64
	for _, arrivals := range r.OnTimeAt {
		for _, at := range arrivals {
			for len(counts) <= int(at/goodputInterval) {
				counts = append(counts, 0)
			}
			counts[at/goodputInterval]++
		}
	}
	points := make(plotter.XYs, max(len(counts), 1))
	for i, count := range counts {
		points[i].X = float64(clock.Millis(i)*goodputInterval) / float64(clock.Second)
		points[i].Y = count * float64(clock.Second) / float64(goodputInterval)
	}
	return points
}
