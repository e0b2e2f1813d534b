// Package extrapolator works out what each duty costs at a size that one
// machine cannot hold: it reads benchmarks that ran at several smaller sizes,
// fits a line through each and writes the tables of the capacity page.
package extrapolator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Point is one measurement.
type Point struct {
	// Size is the value of the variable that the benchmark's name tells.
	Size float64
	// Value is in the unit of the metric.
	Value float64
}

// Measurements are the metrics of benchmarks, as "go test -bench" prints them.
type Measurements struct {
	lines []line
}

// line is the result of one benchmark.
type line struct {
	// name is the benchmark without its sizes.
	name  string
	sizes map[string]float64
	// metrics are the values by unit, such as "ns/op".
	metrics map[string]float64
}

// Read reads the output of "go test -bench"; what is no result is passed over.
func Read(output io.Reader) (m Measurements, err error) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		parsed, found := parseLine(scanner.Text())
		if found {
			m.lines = append(m.lines, parsed)
		}
	}
	return m, scanner.Err()
}

// parseLine understands "BenchmarkX/a=1/b=2-10  100  12 ns/op  3 B/s".
func parseLine(text string) (parsed line, found bool) {
	fields := strings.Fields(text)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return parsed, false
	}
	parts := strings.Split(withoutProcessors(fields[0]), "/")
	parsed = line{name: parts[0], sizes: map[string]float64{}, metrics: map[string]float64{}}
	for _, part := range parts[1:] {
		name, text, assigned := strings.Cut(part, "=")
		size, err := strconv.ParseFloat(text, 64)
		if !assigned || err != nil {
			parsed.name += "/" + part
			continue
		}
		parsed.sizes[name] = size
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return parsed, false
		}
		parsed.metrics[fields[i+1]] = value
	}
	return parsed, true
}

// withoutProcessors drops the "-10" that names the number of processors.
func withoutProcessors(name string) string {
	at := strings.LastIndexByte(name, '-')
	if at < 0 {
		return name
	}
	if _, err := strconv.Atoi(name[at+1:]); err != nil {
		return name
	}
	return name[:at]
}

// Points returns the measurements of a metric against a variable, among those
// that have the given sizes besides.
func (m Measurements) Points(benchmark, variable, metric string, where map[string]float64) (points []Point) {
	for _, l := range m.lines {
		size, sized := l.sizes[variable]
		value, measured := l.metrics[metric]
		if l.name == benchmark && sized && measured && l.has(where) {
			points = append(points, Point{Size: size, Value: value})
		}
	}
	return points
}

func (l line) has(sizes map[string]float64) bool {
	for name, size := range sizes {
		if l.sizes[name] != size {
			return false
		}
	}
	return true
}

// Line is a straight line.
type Line struct {
	// Base is the value at size 0, Slope what each unit of the size adds.
	Base  float64
	Slope float64
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// minPoints is the number of sizes that a slope needs.
const minPoints = 3

// errPoints tells that too few sizes were measured.
var errPoints = errors.New("a slope needs three sizes")

// Fit returns the line with the least squares of relative errors, so that
// small sizes count as much as large ones.
func Fit(points []Point) (l Line, err error) {
	if len(points) < minPoints {
		return l, fmt.Errorf("%w, got %d", errPoints, len(points))
	}
	var n, x, y, xx, xy float64
	for _, p := range points {
		weight := 1.0
		if p.Value != 0 {
			weight = 1 / (p.Value * p.Value)
		}
		n += weight
		x += weight * p.Size
		y += weight * p.Value
		xx += weight * p.Size * p.Size
		xy += weight * p.Size * p.Value
	}
	spread := n*xx - x*x
	if spread == 0 {
		return l, fmt.Errorf("%w: all have the same size", errPoints)
	}
	l.Slope = (n*xy - x*y) / spread
	l.Base = (y - l.Slope*x) / n
	return l, nil
}
