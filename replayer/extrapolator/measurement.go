// Package extrapolator estimates what each duty of a daemon costs at a size that
// does not fit on one machine. It reads benchmark results at several smaller
// sizes, fits a line to each and writes the tables of the capacity page.
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
	// Size is the value of the variable in the benchmark's name.
	Size float64
	// Value is in the unit of the metric.
	Value float64
}

// Measurements holds benchmark results as printed by "go test -bench".
type Measurements struct {
	results []benchmarkResult
}

// benchmarkResult is the result of one benchmark.
type benchmarkResult struct {
	// name is the benchmark's name without its sizes and the processor count.
	name  string
	sizes map[string]float64
	// metrics holds the values by unit, such as "ns/op".
	metrics map[string]float64
}

// Read reads the output of "go test -bench" and ignores lines that are no
// results.
func Read(output io.Reader) (m Measurements, err error) {
	scanner := bufio.NewScanner(output)
	for scanner.Scan() {
		parsed, found := parseLine(scanner.Text())
		if found {
			m.results = append(m.results, parsed)
		}
	}
	return m, scanner.Err()
}

// parseLine parses a line such as "BenchmarkX/a=1/b=2-10  100  12 ns/op  3 B/s".
func parseLine(text string) (parsed benchmarkResult, found bool) {
	fields := strings.Fields(text)
	if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
		return parsed, false
	}
	parts := strings.Split(trimProcessorCount(fields[0]), "/")
	parsed = benchmarkResult{name: parts[0], sizes: map[string]float64{}, metrics: map[string]float64{}}
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

// trimProcessorCount removes the suffix with the number of processors, such as
// "-10".
func trimProcessorCount(name string) string {
	at := strings.LastIndexByte(name, '-')
	if at < 0 {
		return name
	}
	if _, err := strconv.Atoi(name[at+1:]); err != nil {
		return name
	}
	return name[:at]
}

// Points returns the measurements of a metric against a variable. Results are
// limited to those with the sizes in where.
func (m Measurements) Points(benchmark, variable, metric string, where map[string]float64) (points []Point) {
	for _, result := range m.results {
		size, hasSize := result.sizes[variable]
		value, hasValue := result.metrics[metric]
		if result.name == benchmark && hasSize && hasValue && result.matches(where) {
			points = append(points, Point{Size: size, Value: value})
		}
	}
	return points
}

func (l benchmarkResult) matches(sizes map[string]float64) bool {
	for name, size := range sizes {
		if l.sizes[name] != size {
			return false
		}
	}
	return true
}

// Line is a linear function of the size.
type Line struct {
	// Base is the value at size 0, Slope the increase per unit of size.
	Base  float64
	Slope float64
}

// At returns the value at a size.
func (l Line) At(size float64) float64 {
	return l.Base + l.Slope*size
}

// minPoints is the number of measurements that a fit needs.
const minPoints = 3

// errTooFewPoints is returned if a line cannot be fitted to the measurements.
var errTooFewPoints = errors.New("a line fit needs three measurements at different sizes")

// Fit returns the least-squares line of the relative errors, so that small sizes
// count as much as large ones.
func Fit(points []Point) (l Line, err error) {
	if len(points) < minPoints {
		return l, fmt.Errorf("%w, got %d", errTooFewPoints, len(points))
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
	determinant := n*xx - x*x
	if determinant == 0 {
		return l, fmt.Errorf("%w, all have the same size", errTooFewPoints)
	}
	l.Slope = (n*xy - x*y) / determinant
	l.Base = (y - l.Slope*x) / n
	return l, nil
}
