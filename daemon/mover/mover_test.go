package mover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/mover"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

type source struct{ config *inventory.Config }

func (s source) Current() *inventory.Config { return s.config }

// unreachableTable is a table whose reads and scans fail.
type unreachableTable struct{ platform.Table }

func (unreachableTable) Read(context.Context, ...string) ([]platform.Row, error) {
	return nil, &platform.Error{Op: "table.read", Effect: platform.NoEffect, Err: context.DeadlineExceeded}
}

func (unreachableTable) Scan(context.Context, string, string, int) ([]platform.Row, error) {
	return nil, &platform.Error{Op: "table.scan", Effect: platform.NoEffect, Err: context.DeadlineExceeded}
}

// shareRecorder records the shares that are set on the schedulers.
type shareRecorder struct {
	mu     sync.Mutex
	shares scheduler.Shares
}

func (s *shareRecorder) set(_ string, shares scheduler.Shares) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares = shares
}

func (s *shareRecorder) share() (share float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share, named = s.shares.Shares["v2"]
	return share, named
}

// daemon is a Mover behind real drpc whose table is unreachable.
type daemon struct {
	*mover.Mover
	recorder shareRecorder
	clock    clock.Manual
	client   wire.DRPCMovesClient
}

func newDaemon(tb testing.TB) *daemon {
	tb.Helper()
	config := &inventory.Config{Pools: []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}}}
	for _, generation := range []string{"g1", "g2", "g3", "g4", "g5"} {
		config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: generation, Pool: "p", Generation: generation, Slots: 16})
	}
	d := &daemon{}
	d.clock.Set(clock.Minute)
	d.Mover = &mover.Mover{
		Name: "a/1", Source: source{config}, View: gossiper.SingleMember{Name: "a", Region: "r"}, Table: unreachableTable{}, Clock: &d.clock,
		Upstreams: func() []inventory.Upstream { return nil }, SetShares: d.recorder.set,
	}
	mux := drpcmux.New()
	if err := d.Register(mux); err != nil {
		tb.Fatal(err)
	}
	clientEnd, serverEnd := net.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = drpcserver.New(mux).ServeOne(ctx, serverEnd) }()
	conn := drpcconn.New(clientEnd)
	d.client = wire.NewDRPCMovesClient(conn)
	running := make(chan struct{})
	go func() {
		defer close(running)
		d.Run(ctx)
	}()
	tb.Cleanup(func() {
		cancel()
		<-running
		_ = conn.Close()
	})
	return d
}

// exchange sends a plan with the given share of v2, as the leader of the epoch
// does.
func (d *daemon) exchange(epoch, attempt, acknowledged int64, share float64) (out *wire.MoveEvidence, err error) {
	return d.client.Exchange(context.Background(), &wire.MovePlans{
		Epoch: epoch, Leader: "b", Acknowledged: acknowledged,
		Plans: []*wire.MovePlan{{
			Move: "m", Pool: "p", From: "v1", To: "v2", Attempt: attempt, Watched: true, Shares: map[string]float64{"v2": share},
		}},
	})
}

func (d *daemon) endRequests(version string, outcome reserver.Outcome, count int) {
	for range count {
		d.Observe(granter.RequestResult{Upstream: "g1", Version: version, Pool: "p", Route: "a", Outcome: outcome, Tokens: 8, FirstTokenTime: 100, TokenGap: 20})
	}
	d.clock.Advance(2 * clock.Second)
}

// waitFor fails the test if the event does not happen within 10 seconds.
func waitFor(t *testing.T, event string, happened func() bool) {
	t.Helper()
	for range 500 {
		if happened() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s did not happen in time", event)
}

func countRequests(out *wire.MoveEvidence) (count int) {
	for _, g := range out.GetGroups() {
		count += int(g.GetRequests())
	}
	return count
}

// TestEvidenceIsResentUntilAcknowledgedAndInFullToANewLeader guards against
// evidence that is lost with a reply, counted twice or missing after a change of
// leader, and against plans of an old leader being accepted.
func TestEvidenceIsResentUntilAcknowledgedAndInFullToANewLeader(t *testing.T) {
	d := newDaemon(t)
	if _, err := d.exchange(4, 1, 0, 0.1); err != nil {
		t.Fatal(err)
	}
	d.endRequests("v1", reserver.Completed, 30)
	d.endRequests("v1", reserver.Cancelled, 5)
	var number int64
	waitFor(t, "evidence", func() bool {
		// Without an acknowledgement the same evidence is sent again.
		out, err := d.exchange(4, 1, 0, 0.1)
		number = out.GetNumber()
		return err == nil && countRequests(out) == 30
	})
	if out, err := d.exchange(4, 1, number, 0.1); err != nil || countRequests(out) != 0 {
		t.Fatalf("acknowledged evidence was sent again: %d requests, %v", countRequests(out), err)
	}
	if out, err := d.exchange(5, 1, 0, 0.1); err != nil || countRequests(out) != 30 {
		t.Fatalf("a new leader got %d requests, %v", countRequests(out), err)
	}
	if _, err := d.exchange(4, 1, 0, 0.5); err == nil {
		t.Fatal("the plan of an old leader was accepted")
	}
	if share, _ := d.recorder.share(); share != 0.1 {
		t.Fatalf("share %g, want that of the new leader", share)
	}
}

// TestBadVersionIsStoppedWithoutTableAndLeader guards against a bad version that
// keeps its share while table and leader are away, or gets it back from a leader
// that does not know of the stop.
func TestBadVersionIsStoppedWithoutTableAndLeader(t *testing.T) {
	d := newDaemon(t)
	if _, err := d.exchange(1, 1, 0, 0.1); err != nil {
		t.Fatal(err)
	}
	d.endRequests("v1", reserver.Completed, 200)
	d.endRequests("v2", reserver.Failed, 30)
	waitFor(t, "the stop", func() bool {
		share, named := d.recorder.share()
		return named && share == 0
	})
	// The leader receives the stop, and its plan does not restore the share.
	out, err := d.exchange(1, 1, 0, 0.1)
	if err != nil || len(out.GetStops()) != 1 {
		t.Fatalf("%d stops in the reply, %v", len(out.GetStops()), err)
	}
	if share, _ := d.recorder.share(); share != 0 {
		t.Fatalf("share %g after the stop", share)
	}
	if _, err = d.exchange(1, 2, 0, 0.1); err != nil {
		t.Fatal(err)
	}
	if share, _ := d.recorder.share(); share != 0.1 {
		t.Fatalf("share %g of a move that was started again", share)
	}
}

// BenchmarkEvidence measures the bytes per second that a daemon sends at the
// given number of requests per second to one moving pool; 27 are its part of the
// peak.
func BenchmarkEvidence(b *testing.B) {
	for _, requests := range []int{9, 27, 81} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) { benchmarkEvidenceBytes(b, requests) })
	}
}

func benchmarkEvidenceBytes(b *testing.B, requests int) {
	d := newDaemon(b)
	r := rand.New(rand.NewPCG(1, 1))
	_, err := d.exchange(1, 1, 0, 0.1)
	if err != nil {
		b.Fatal(err)
	}
	acknowledged, bytes, rounds := int64(0), 0, 0
	for b.Loop() {
		for range requests {
			d.Observe(granter.RequestResult{
				Upstream: []string{"g1", "g2", "g3", "g4", "g5"}[r.IntN(5)], Version: []string{"v1", "v2"}[r.IntN(2)], Pool: "p",
				Route: []string{"a", "b", "c", "d"}[r.IntN(4)], Outcome: reserver.Completed, Tokens: 1 + r.IntN(400),
				FirstTokenTime: clock.Millis(50 + r.IntN(800)), TokenGap: clock.Millis(20 + r.IntN(60)), Running: r.IntN(16),
			})
		}
		d.clock.Advance(2 * clock.Second)
		time.Sleep(time.Second)
		out, err := d.exchange(1, 1, acknowledged, 0.1)
		if err != nil {
			b.Fatal(err)
		}
		acknowledged = out.GetNumber()
		bytes += proto.Size(out)
		rounds++
	}
	b.ReportMetric(float64(bytes)/float64(rounds), "bytes/s")
}
