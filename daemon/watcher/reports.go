package watcher

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
)

const (
	// reportBytes bounds one answer.
	reportBytes = 1 << 20
	// clockError bounds how far an upstream's clock may be trusted.
	clockError = 1 * clock.Minute
	// farBehind is how many events may be missing before they are given up.
	farBehind = 512
	// hashMask keeps the half of a block's hash by which asks name it.
	hashMask = 1<<32 - 1
)

// askLoad asks for the load. The error is nil where the upstream answered,
// even if it has no such report.
func (one *watch) askLoad(ctx context.Context) (err error) {
	var report struct {
		TimeMS  clock.Millis `json:"time_ms"`
		Running int          `json:"running"`
		Waiting int          `json:"waiting"`
		Version string       `json:"version"`
		Leaving bool         `json:"leaving"`
	}
	found, err := one.get(ctx, "/v1/load", &report)
	if err != nil || !found {
		return err
	}
	now := one.watcher.Clock.Now()
	if report.TimeMS > now || report.TimeMS < now-clockError {
		report.TimeMS = now
	}
	one.tell(scheduler.Load{
		Upstream: one.upstream.Name, Time: report.TimeMS, Running: report.Running, Waiting: report.Waiting,
		Version: report.Version, Leaving: report.Leaving,
	})
	return nil
}

// askEvents asks for the cache events since the last ones. Events that were
// lost, and a restarted upstream, show as a gap in the numbers.
func (one *watch) askEvents(ctx context.Context) {
	var report struct {
		Last   int64 `json:"last"`
		Events []struct {
			Sequence int64    `json:"sequence"`
			Stored   []uint64 `json:"stored"`
			Removed  []uint64 `json:"removed"`
		} `json:"events"`
	}
	found, err := one.get(ctx, "/v1/cache_events?after="+strconv.FormatInt(one.sequence, 10), &report)
	if err != nil || !found {
		return
	}
	change := scheduler.CacheChange{Upstream: one.upstream.Name}
	if report.Last < one.sequence || report.Last > one.sequence+farBehind {
		one.sequence = restart(report.Last, one.sequence)
		one.tell(scheduler.CacheChange{Upstream: one.upstream.Name, Gap: true})
		return
	}
	for _, e := range report.Events {
		change.Gap = change.Gap || e.Sequence != one.sequence+1
		one.sequence = e.Sequence
		change.Stored = append(change.Stored, halves(e.Stored)...)
		change.Removed = append(change.Removed, halves(e.Removed)...)
	}
	if change.Gap || len(change.Stored) > 0 || len(change.Removed) > 0 {
		one.tell(change)
	}
}

// restart returns the number to go on from: the beginning after a restart of
// the upstream, and the newest events where too many were missed.
func restart(last, sequence int64) int64 {
	if last < sequence {
		return 0
	}
	return last
}

func halves(hashes []uint64) []uint64 {
	out := make([]uint64, len(hashes))
	for i, h := range hashes {
		out[i] = h & hashMask
	}
	return out
}

// get reads a report. found is false where the upstream has none.
func (one *watch) get(ctx context.Context, path string, into any) (found bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("report %s of upstream %s: %w", path, one.upstream.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+one.upstream.Address+path, nil)
	if err != nil {
		return false, err
	}
	// The name of this program tells the upstream nothing.
	req.Header.Set("User-Agent", "")
	res, err := one.watcher.Client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, reportBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return false, err
	}
	return true, json.Unmarshal(body, into)
}
