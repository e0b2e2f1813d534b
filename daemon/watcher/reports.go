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
	// maxReportBytes bounds the body of one report.
	maxReportBytes = 1 << 20
	// maxClockLag is how far in the past the time of a report may lie. A time
	// before that, or in the future, is replaced by the time of this daemon.
	maxClockLag = 1 * clock.Minute
	// maxMissedEvents bounds the events that are caught up on in one poll. If the
	// upstream is further ahead, all of them are skipped and reported as a gap.
	maxMissedEvents = 512
	// blockHashMask keeps the lower 32 bits of the hash of a block, by which a
	// scheduler.Ask identifies the block.
	blockHashMask = 1<<32 - 1
)

// pollLoad reads the load and sends it. An upstream that answers but has no such
// report is no error.
func (p *poller) pollLoad(ctx context.Context) (err error) {
	var report struct {
		TimeMS  clock.Millis `json:"time_ms"`
		Running int          `json:"running"`
		Waiting int          `json:"waiting"`
		Version string       `json:"version"`
		Leaving bool         `json:"leaving"`
	}
	found, err := p.getReport(ctx, "/v1/load", &report)
	if err != nil || !found {
		return err
	}
	now := p.watcher.Clock.Now()
	if report.TimeMS > now || report.TimeMS < now-maxClockLag {
		report.TimeMS = now
	}
	p.send(scheduler.Load{
		Upstream: p.upstream.Name, Time: report.TimeMS, Running: report.Running, Waiting: report.Waiting,
		Version: report.Version, Leaving: report.Leaving,
	})
	return nil
}

// pollCacheEvents reads the cache events since the last one and sends them.
// Lost events and a restart of the upstream show in the sequence numbers and are
// sent as a gap.
func (p *poller) pollCacheEvents(ctx context.Context) {
	var report struct {
		Last   int64 `json:"last"`
		Events []struct {
			Sequence int64    `json:"sequence"`
			Stored   []uint64 `json:"stored"`
			Removed  []uint64 `json:"removed"`
		} `json:"events"`
	}
	found, err := p.getReport(ctx, "/v1/cache_events?after="+strconv.FormatInt(p.sequence, 10), &report)
	if err != nil || !found {
		return
	}
	change := scheduler.CacheChange{Upstream: p.upstream.Name}
	if report.Last < p.sequence || report.Last > p.sequence+maxMissedEvents {
		p.sequence = resumeSequence(report.Last, p.sequence)
		p.send(scheduler.CacheChange{Upstream: p.upstream.Name, Gap: true})
		return
	}
	for _, e := range report.Events {
		change.Gap = change.Gap || e.Sequence != p.sequence+1
		p.sequence = e.Sequence
		change.Stored = append(change.Stored, truncateHashes(e.Stored)...)
		change.Removed = append(change.Removed, truncateHashes(e.Removed)...)
	}
	if change.Gap || len(change.Stored) > 0 || len(change.Removed) > 0 {
		p.send(change)
	}
}

// resumeSequence returns the sequence number after which to read events next: 0
// after a restart of the upstream, and the last one if too many were missed.
func resumeSequence(last, sequence int64) int64 {
	if last < sequence {
		return 0
	}
	return last
}

// truncateHashes returns the hashes masked by blockHashMask.
func truncateHashes(hashes []uint64) []uint64 {
	truncated := make([]uint64, len(hashes))
	for i, h := range hashes {
		truncated[i] = h & blockHashMask
	}
	return truncated
}

// getReport decodes the report at path into report. found is false if the
// upstream has no such report.
func (p *poller) getReport(ctx context.Context, path string, report any) (found bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("report %s of upstream %s: %w", path, p.upstream.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.upstream.Address+path, nil)
	if err != nil {
		return false, err
	}
	// The name of this program is of no use to the upstream: send no User-Agent.
	req.Header.Set("User-Agent", "")
	res, err := p.watcher.Client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil || res.StatusCode != http.StatusOK {
		return false, err
	}
	return true, json.Unmarshal(body, report)
}
