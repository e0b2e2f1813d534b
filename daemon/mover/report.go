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

// Bounds of the calls to upstreams.
const (
	reportTimeout  = 1 * clock.Second
	reportParallel = 16
	replyBytes     = 1 << 20
)

// errFenced means that an upstream has obeyed a later leader.
var errFenced = errors.New("the upstream refused the fencing number")

// report reads the states of the upstreams here whose pools have a move.
func (m *Mover) report(ctx context.Context) {
	config := m.Source.Current()
	moving := map[string]bool{}
	for _, move := range config.Moves {
		moving[move.Pool] = true
	}
	if len(moving) == 0 {
		return
	}
	gate := make(chan struct{}, reportParallel)
	var wait sync.WaitGroup
	reports := map[string]stager.Report{}
	var mu sync.Mutex
	for _, u := range m.Upstreams() {
		if !moving[u.Pool] {
			continue
		}
		gate <- struct{}{}
		wait.Go(func() {
			defer func() { <-gate }()
			r, err := m.readReport(ctx, u)
			if err != nil {
				klog.V(1).InfoS("no report", logger.KeyUpstream, u.Name, "err", err)
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
	m.seed(ctx, config)
}

// readReport asks an upstream for its versions. The report counts from before
// the call, so that it is never taken to be newer than it is.
func (m *Mover) readReport(ctx context.Context, u inventory.Upstream) (r stager.Report, err error) {
	began := m.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout.Duration())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+u.Address+"/v1/versions", nil)
	if err != nil {
		return r, err
	}
	body, err := m.call(req)
	if err != nil {
		return r, err
	}
	var reply struct {
		Version string   `json:"version"`
		Loaded  []string `json:"loaded"`
		Loading string   `json:"loading"`
	}
	err = json.Unmarshal(body, &reply)
	return stager.Report{At: began, Version: reply.Version, Loaded: reply.Loaded, Loading: reply.Loading}, err
}

// order sends an order with its fencing number. The error wraps errFenced
// where the upstream has obeyed a later leader.
func (m *Mover) order(ctx context.Context, u inventory.Upstream, epoch int64, o stager.Order) (err error) {
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
	// Without GetBody the transport cannot send an order a second time by itself.
	req.GetBody = nil
	_, err = m.call(req)
	return err
}

func (m *Mover) call(req *http.Request) (body []byte, err error) {
	res, err := m.Client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(res.Body, replyBytes))
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusConflict {
		return nil, errFenced
	}
	if res.StatusCode/100 != 2 {
		return nil, fmt.Errorf("status %s", res.Status)
	}
	return body, nil
}
