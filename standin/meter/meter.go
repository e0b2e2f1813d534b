// Package meter measures what the way through a daemon adds to a request,
// against the same request sent straight to the upstream in the same run.
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

// Bounds of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 60_000_000
	digits  = 3
)

// Meter sends each request twice. Its exported fields are set before Run.
type Meter struct {
	// Direct is the base URL of the upstream, Through the one of the daemon.
	Direct  string
	Through string
	Path    string
	Body    string
	Token   string
	// Requests is the number of pairs, Parallel how many run at once.
	Requests int
	Parallel int
}

// Result is what was measured, times in microseconds.
type Result struct {
	Requests      int   `json:"requests"`
	DirectMedian  int64 `json:"direct_median_us"`
	DirectP99     int64 `json:"direct_p99_us"`
	ThroughMedian int64 `json:"through_median_us"`
	ThroughP99    int64 `json:"through_p99_us"`
	AddedMedian   int64 `json:"added_median_us"`
	AddedP99      int64 `json:"added_p99_us"`
	// CPUPerRequest is the daemon's processor time.
	CPUPerRequest int64 `json:"daemon_cpu_per_request_us"`
	// RequestsPerCore is what one core of the daemon carries in a second.
	RequestsPerCore float64 `json:"requests_per_core"`
}

// Run measures; it fails when any request fails.
func (m *Meter) Run(ctx context.Context) (result Result, err error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: max(m.Parallel, 1)}}
	defer client.CloseIdleConnections()
	if _, _, err = m.pair(ctx, client); err != nil {
		return result, err
	}
	before, err := cpuSeconds(ctx, client, m.Through)
	if err != nil {
		return result, err
	}
	direct, through, err := m.sendAll(ctx, client)
	if err != nil {
		return result, err
	}
	after, err := cpuSeconds(ctx, client, m.Through)
	if err != nil {
		return result, err
	}
	seconds := after - before
	result = Result{
		Requests:     m.Requests,
		DirectMedian: direct.ValueAtQuantile(50), DirectP99: direct.ValueAtQuantile(99),
		ThroughMedian: through.ValueAtQuantile(50), ThroughP99: through.ValueAtQuantile(99),
		CPUPerRequest: int64(seconds * 1e6 / float64(m.Requests)),
	}
	result.AddedMedian = result.ThroughMedian - result.DirectMedian
	result.AddedP99 = result.ThroughP99 - result.DirectP99
	if seconds > 0 {
		result.RequestsPerCore = float64(m.Requests) / seconds
	}
	return result, nil
}

// sendAll sends all pairs and returns the times of both ways.
func (m *Meter) sendAll(ctx context.Context, client *http.Client) (direct, through *hdrhistogram.Histogram, err error) {
	direct = hdrhistogram.New(lowest, highest, digits)
	through = hdrhistogram.New(lowest, highest, digits)
	var mu sync.Mutex
	var wait sync.WaitGroup
	var failed error
	work := make(chan struct{})
	for range max(m.Parallel, 1) {
		wait.Go(func() {
			for range work {
				a, b, err := m.pair(ctx, client)
				mu.Lock()
				failed = errors.Join(failed, err, direct.RecordValue(a.Microseconds()), through.RecordValue(b.Microseconds()))
				mu.Unlock()
			}
		})
	}
	for range m.Requests {
		work <- struct{}{}
	}
	close(work)
	wait.Wait()
	return direct, through, failed
}

// pair sends the request both ways and returns the times to the last byte.
func (m *Meter) pair(ctx context.Context, client *http.Client) (direct, through time.Duration, err error) {
	direct, err = m.send(ctx, client, m.Direct)
	if err != nil {
		return 0, 0, err
	}
	through, err = m.send(ctx, client, m.Through)
	return direct, through, err
}

func (m *Meter) send(ctx context.Context, client *http.Client, base string) (took time.Duration, err error) {
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

// cpuSeconds reads the processor time of the daemon from its metrics.
func cpuSeconds(ctx context.Context, client *http.Client, base string) (seconds float64, err error) {
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
	return 0, errors.New("the daemon tells no processor time")
}
