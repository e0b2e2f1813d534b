// Package mover carries out the moves of pools between versions, and does the
// I/O for the packages elector, judge and stager, which make the decisions. Every
// daemon gathers evidence, stops a bad version by itself and reports the state of
// its upstreams. The daemon that holds the lease leads: it plans, writes the rows
// of the moves and sends orders to the upstreams.
package mover

import (
	"context"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/elector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/stager"
)

// Intervals of the loops.
const (
	watchInterval  = 100 * clock.Millisecond
	reportInterval = 500 * clock.Millisecond
	leadInterval   = 500 * clock.Millisecond
)

// Mover is the part of one daemon in the moves. Its exported fields are set
// before use.
type Mover struct {
	// Name identifies this run of the process; no other run has the same one.
	Name      string
	Source    inventory.Source
	View      gossiper.View
	Table     platform.Table
	Connector *connector.Connector
	Clock     clock.Clock
	// Upstreams returns the upstreams whose scheduler runs on this daemon.
	Upstreams func() []inventory.Upstream
	// SetShares sets the shares of the versions of a pool on the schedulers of this
	// daemon.
	SetShares func(pool string, shares scheduler.Shares)
	// Client calls upstreams.
	Client *http.Client
	// Registerer registers the metrics; with nil they are not exported.
	Registerer prometheus.Registerer

	once    sync.Once
	metrics *metrics
	elector elector.Elector

	mu sync.Mutex
	// watches are the moves in the last accepted plans, by name.
	watches map[string]*watchedMove
	// stops are the stops that this daemon made or received, by move.
	stops map[string]stager.Stop
	// epoch is the highest one of which plans were accepted, 0 for none.
	// leaderName and encodedRows came with the last of these plans.
	epoch        int64
	leaderName   string
	encodedRows  [][]byte
	seededShares sharesByPool
	// reports are the last reports of the upstreams that are scheduled here, by
	// name.
	reports map[string]stager.Report
	// uncountedRequests are the ended requests that are not counted yet, the oldest
	// first.
	uncountedRequests []endedRequest
	// evidenceNumber is the number of the last evidence sent to the present
	// leader; unacknowledged is the content of that evidence.
	evidenceNumber int64
	unacknowledged evidence
	// backgroundCalls waits for the calls that outlive the loop that started them.
	backgroundCalls sync.WaitGroup
}

func (m *Mover) prepare() {
	m.once.Do(func() {
		m.metrics = newMetrics(m.Registerer)
		m.elector = elector.Elector{Name: m.Name, Span: stager.LeaseSpan}
		m.watches = map[string]*watchedMove{}
		m.stops = map[string]stager.Stop{}
		m.seededShares = sharesByPool{}
		m.reports = map[string]stager.Report{}
	})
}

// Run runs the loops until ctx ends, then releases the lease if this daemon
// holds it.
func (m *Mover) Run(ctx context.Context) {
	m.prepare()
	var loops sync.WaitGroup
	loops.Go(func() { runEvery(ctx, watchInterval, m.judgeEvidence) })
	loops.Go(func() { runEvery(ctx, reportInterval, m.refreshReports) })
	loops.Go(func() {
		l := &leaderLoop{Mover: m}
		runEvery(ctx, leadInterval, l.step)
		l.resign()
	})
	loops.Wait()
	m.backgroundCalls.Wait()
}

// runEvery calls act at once and after each interval until ctx ends.
func runEvery(ctx context.Context, interval clock.Millis, act func(ctx context.Context)) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		act(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
