package mover

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/stager"
)

// Limits of the calls to upstreams.
const (
	reportTimeout      = 1 * clock.Second
	maxParallelReports = 16
	maxReplyBytes      = 1 << 20
)

// errFenced means that an upstream has obeyed an order of a later leader.
var errFenced = errors.New("upstream refused the fencing number")

// refreshReports replaces the reports by new ones of the upstreams scheduled
// here whose pools have a move, then calls seedShares.
func (m *Mover) refreshReports(ctx context.Context) {
	config := m.Source.Current()
	movingPools := map[string]bool{}
	for _, move := range config.Moves {
		movingPools[move.Pool] = true
	}
	if len(movingPools) == 0 {
		return
	}
	semaphore := make(chan struct{}, maxParallelReports)
	var wait sync.WaitGroup
	reports := map[string]stager.Report{}
	var mu sync.Mutex
	for _, u := range m.Upstreams() {
		if !movingPools[u.Pool] {
			continue
		}
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			r, err := m.fetchReport(ctx, u)
			if err != nil {
				klog.V(1).InfoS("reading the versions of an upstream failed; it has no report until the next read", logger.KeyUpstream, u.Name, "err", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			reports[u.Name] = r
		})
	}
	wait.Wait()
	m.mu.Lock()
	m.reports = reports
	m.mu.Unlock()
	m.seedShares(ctx, config)
}

// fetchReport reads the versions of an upstream. The report is dated before the
// call, so that it never seems newer than it is.
func (m *Mover) fetchReport(ctx context.Context, u inventory.Upstream) (r stager.Report, err error) {
	startedAt := m.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/v1/versions", nil)
	if err != nil {
		return r, err
	}
	body, err := m.callUpstream(req)
	if err != nil {
		return r, err
	}
	var reply struct {
		Version string   `json:"version"`
		Loaded  []string `json:"loaded"`
		Loading string   `json:"loading"`
	}
	err = json.Unmarshal(body, &reply)
	return stager.Report{At: startedAt, Version: reply.Version, Loaded: reply.Loaded, Loading: reply.Loading}, err
}

// sendOrder sends an order with its fencing number. The error wraps errFenced if
// the upstream has obeyed a later leader.
func (m *Mover) sendOrder(ctx context.Context, u inventory.Upstream, epoch int64, o stager.Order) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("order %s %s to upstream %s: %w", o.Kind, o.Version, u.Name, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, stager.OrderTimeout.Duration())
	defer cancel()
	body, err := json.Marshal(struct {
		Fence   int64            `json:"fence"`
		Kind    stager.OrderKind `json:"kind"`
		Version string           `json:"version"`
		Serve   bool             `json:"serve"`
	}{epoch, o.Kind, o.Version, o.Serve})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Address+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return err
	}
	// Without GetBody the transport cannot retry the order on its own.
	req.GetBody = nil
	_, err = m.callUpstream(req)
	return err
}

// callUpstream returns the body of a successful reply, or errFenced for the
// status 409.
func (m *Mover) callUpstream(req *http.Request) (body []byte, err error) {
	res, err := m.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusConflict {
		return nil, errFenced
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("upstream replied with status %s", res.Status)
	}
	return body, nil
}
