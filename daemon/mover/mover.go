// Package mover carries the moves of pools between versions at the edge: every
// daemon gathers evidence, stops a bad version on its own and tells how its
// upstreams are; the one that holds the lease plans, writes the rows of the
// moves and orders the upstreams. The decisions are elector's, judge's and
// stager's.
package mover

import (
	"context"
	"net/http"
	"sync"
	"time"

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

// Mover is one daemon's part. Its exported fields are set before Run.
type Mover struct {
	// Name is unique to this run of the process.
	Name      string
	Source    inventory.Source
	View      gossiper.View
	Table     platform.Table
	Connector *connector.Connector
	Clock     clock.Clock
	// Upstreams returns those whose scheduler runs here.
	Upstreams func() []inventory.Upstream
	// Shares takes the shares in force of a pool.
	Shares func(pool string, shares scheduler.Shares)
	// Client reaches upstreams.
	Client *http.Client
	// Registerer takes the metrics; nil keeps them to itself.
	Registerer prometheus.Registerer

	once    sync.Once
	metrics *metrics
	elector elector.Elector

	mu sync.Mutex
	// watches are the moves that this daemon was told of, by name.
	watches map[string]*watch
	// stops are those that this daemon made or heard of, by move.
	stops map[string]stager.Stop
	// epoch is the highest one that sent plans, with its leader and the rows
	// that it knew.
	epoch  int64
	leader string
	rows   [][]byte
	seeded seeds
	// reports are the last ones of the upstreams here, by name.
	reports map[string]stager.Report
	// ends are the requests that are not counted yet, the oldest first.
	ends []ended
	// number counts the evidence sent to the present leader; unconfirmed is
	// what the last one held.
	number      int64
	unconfirmed evidence
	// running counts calls that outlive the loop that began them.
	running sync.WaitGroup
}

func (m *Mover) prepare() {
	m.once.Do(func() {
		m.metrics = newMetrics(m.Registerer)
		m.elector = elector.Elector{Name: m.Name, Span: stager.LeaseSpan}
		m.watches = map[string]*watch{}
		m.stops = map[string]stager.Stop{}
		m.seeded = seeds{}
		m.reports = map[string]stager.Report{}
	})
}

// Run takes part until ctx ends, then gives the leadership up.
func (m *Mover) Run(ctx context.Context) {
	m.prepare()
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, watchInterval, m.watch) })
	loops.Go(func() { every(ctx, reportInterval, m.report) })
	loops.Go(func() {
		l := &leading{Mover: m}
		every(ctx, leadInterval, l.step)
		l.resign()
	})
	loops.Wait()
	m.running.Wait()
}

// every calls act at once and after each interval until ctx ends.
func every(ctx context.Context, interval clock.Millis, act func(ctx context.Context)) {
	ticker := time.NewTicker(interval.Duration())
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
