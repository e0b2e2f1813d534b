// Package meter measures the overhead of a daemon: the latency and processor time of
// requests through it, against the same requests sent directly to the upstream in
// the same run.
package meter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	minMicros         = 1
	maxMicros         = 60_000_000
	significantDigits = 3
)

// Meter sends each request twice, directly and through the daemon. Its exported
// fields are set before Run.
type Meter struct {
	// Direct is the base URL of the upstream, Through that of the daemon.
	Direct  string
	Through string
	Path    string
	Body    string
	Token   string
	// Requests is the number of request pairs, Parallel how many are sent at once.
	Requests int
	Parallel int
}

// Result holds the measurements. Times are in microseconds.
type Result struct {
	Requests      int   `json:"requests"`
	DirectMedian  int64 `json:"direct_median_us"`
	DirectP99     int64 `json:"direct_p99_us"`
	ThroughMedian int64 `json:"through_median_us"`
	ThroughP99    int64 `json:"through_p99_us"`
	AddedMedian   int64 `json:"added_median_us"`
	AddedP99      int64 `json:"added_p99_us"`
	// CPUPerRequest is the daemon's processor time for each request.
	CPUPerRequest int64 `json:"daemon_cpu_per_request_us"`
	// RequestsPerCore is the number of requests per second of processor time.
	RequestsPerCore float64 `json:"requests_per_core"`
}

// Run sends all request pairs and returns the measurements. It returns an error if any
// request fails.
func (m *Meter) Run(ctx context.Context) (result Result, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(m.Parallel, 1)}}
	defer client.CloseIdleConnections()
	if _, _, err = m.sendPair(ctx, client); err != nil {
		return result, err
	}
	cpuBefore, err := readCPUSeconds(ctx, client, m.Through)
	if err != nil {
		return result, err
	}
	direct, through, err := m.sendAll(ctx, client)
	if err != nil {
		return result, err
	}
	cpuAfter, err := readCPUSeconds(ctx, client, m.Through)
	if err != nil {
		return result, err
	}
	cpuSeconds := cpuAfter - cpuBefore
	result = Result{
		Requests:     m.Requests,
		DirectMedian: direct.ValueAtQuantile(50), DirectP99: direct.ValueAtQuantile(99),
		ThroughMedian: through.ValueAtQuantile(50), ThroughP99: through.ValueAtQuantile(99),
		CPUPerRequest: int64(cpuSeconds * 1e6 / float64(m.Requests)),
	}
	result.AddedMedian = result.ThroughMedian - result.DirectMedian
	result.AddedP99 = result.ThroughP99 - result.DirectP99
	if cpuSeconds > 0 {
		result.RequestsPerCore = float64(m.Requests) / cpuSeconds
	}
	return result, nil
}

// sendAll sends all request pairs and returns the latencies of both paths.
func (m *Meter) sendAll(ctx context.Context, client *http.Client) (direct, through *hdrhistogram.Histogram, err error) {
	direct = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	through = hdrhistogram.New(minMicros, maxMicros, significantDigits)
	var mu sync.Mutex
	var workers sync.WaitGroup
	var errs error
	jobs := make(chan struct{})
	for range max(m.Parallel, 1) {
		workers.Go(func() {
			for range jobs {
				directTime, throughTime, err := m.sendPair(ctx, client)
				mu.Lock()
				errs = errors.Join(errs, err, direct.RecordValue(directTime.Microseconds()), through.RecordValue(throughTime.Microseconds()))
				mu.Unlock()
			}
		})
	}
	for range m.Requests {
		jobs <- struct{}{}
	}
	close(jobs)
	workers.Wait()
	return direct, through, errs
}

// sendPair sends the request directly and through the daemon, and returns the times to
// the last byte.
func (m *Meter) sendPair(ctx context.Context, client *http.Client) (direct, through time.Duration, err error) {
	direct, err = m.send(ctx, client, m.Direct)
	if err != nil {
		return 0, 0, err
	}
	through, err = m.send(ctx, client, m.Through)
	return direct, through, err
}

func (m *Meter) send(ctx context.Context, client *http.Client, base string) (elapsed time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+m.Path, strings.NewReader(m.Body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+m.Token)
	start := time.Now()
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err = io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("%s%s: %s", base, m.Path, res.Status)
	}
	return time.Since(start), nil
}

// readCPUSeconds reads the daemon's total processor time from its metrics.
func readCPUSeconds(ctx context.Context, client *http.Client, base string) (seconds float64, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/metrics", nil)
	if err != nil {
		return 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "process_cpu_seconds_total "); found {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, errors.New("metrics of the daemon: process_cpu_seconds_total is missing")
}
