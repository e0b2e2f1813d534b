package granter_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

const otherRegion = "graz-a"

// changeConfig replaces the configuration by a changed copy.
func (c *cluster) changeConfig(change func(config *inventory.Config)) {
	config := *c.source.Current()
	change(&config)
	config = config.Sorted()
	c.source.config.Store(&config)
}

// refuseWith makes the decider refuse all asks of the route "question".
func (f *fifoDecider) refuseWith(reason scheduler.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refusals["question"] = reason
}

// admitAll ends the effect of refuseWith.
func (f *fifoDecider) admitAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.refusals, "question")
}

// TestAllShardsOfRegionAreAskedBeforeRefusal guards against a request that is
// refused by the first shard although another shard of its region would admit
// it.
func TestAllShardsOfRegionAreAskedBeforeRefusal(t *testing.T) {
	c := newCluster(t, 1)
	c.changeConfig(func(config *inventory.Config) {
		for i := range 48 {
			config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: fmt.Sprint("v", i), Pool: pool, Region: region, Slots: 1})
		}
	})
	n := c.start("d1", region)
	waitFor(t, "all shards are scheduled", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.deciders) == 4
	})
	for _, f := range n.deciders {
		f.refuseWith(scheduler.ReasonQueueFull)
	}
	_, err := n.remote.Reserve(context.Background(), newRequest(clock.Minute), nil)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v", err)
	}
	for i, f := range n.deciders {
		f.admitAll()
		slot, err := n.remote.Reserve(context.Background(), newRequest(clock.Minute), nil)
		if err != nil {
			t.Fatalf("only shard %d admits requests, but Reserve failed: %v", i, err)
		}
		slot.End(reserver.Usage{})
		f.refuseWith(scheduler.ReasonQueueFull)
	}
}

// newTwoRegions starts a daemon in each of two regions with one upstream each.
// bytesPerHour is the cross-region budget of the tier.
func newTwoRegions(t *testing.T, bytesPerHour int64) (c *cluster, home, far *node) {
	c = newCluster(t, 100)
	c.changeConfig(func(config *inventory.Config) {
		config.Regions = []inventory.Region{{Name: region, Nearest: []string{otherRegion}}, {Name: otherRegion, Nearest: []string{region}}}
		config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: "w1", Pool: pool, Region: otherRegion, Slots: 100})
		config.Tiers = []inventory.Tier{{Name: "t0", CrossRegionBytesPerHour: bytesPerHour}}
	})
	home, far = c.start("d1", region), c.start("d2", otherRegion)
	waitFor(t, "both shards are scheduled", func() bool { return home.newestDecider() != nil && far.newestDecider() != nil })
	return c, home, far
}

// newLargeRequest returns a request with a body of 9,000 bytes.
func newLargeRequest() *classifier.Request {
	req := newRequest(clock.Minute)
	req.Body = make([]byte, 9_000)
	return req
}

// TestRequestLeavesItsRegionOnlyWhenRefusedThere guards against requests that
// are sent to another region although their own region can serve them, and
// against ones that are refused instead of sent there.
func TestRequestLeavesItsRegionOnlyWhenRefusedThere(t *testing.T) {
	_, home, _ := newTwoRegions(t, 1<<30)
	slot, err := home.remote.Reserve(context.Background(), newLargeRequest(), nil)
	if err != nil || slot.Upstream().Name != "u1" {
		t.Fatalf("got %v", err)
	}
	home.newestDecider().refuseWith(scheduler.ReasonDeadline)
	slot, err = home.remote.Reserve(context.Background(), newLargeRequest(), nil)
	if err != nil || slot.Upstream().Name != "w1" {
		t.Fatalf("not sent to the other region: %v", err)
	}
}

// TestCrossRegionVolumeIsBounded guards against daemons that together exceed a
// tier's hourly volume between regions, by requests that their own region
// refuses.
func TestCrossRegionVolumeIsBounded(t *testing.T) {
	// Two daemons share the budget: each may send 50,000 bytes an hour.
	_, home, _ := newTwoRegions(t, 100_000)
	home.newestDecider().refuseWith(scheduler.ReasonDeadline)
	sent := 0
	for range 20 {
		slot, err := home.remote.Reserve(context.Background(), newLargeRequest(), nil)
		if err == nil && slot.Upstream().Name == "w1" {
			sent++
		}
	}
	if sent*9_000 > 50_000 || sent == 0 {
		t.Errorf("%d requests of 9,000 bytes were sent to the other region", sent)
	}
}

// TestTierWithoutBudgetStaysInItsRegion guards against requests of a tier
// without cross-region budget that are sent to another region because their own
// region refused them.
func TestTierWithoutBudgetStaysInItsRegion(t *testing.T) {
	_, home, far := newTwoRegions(t, 0)
	home.newestDecider().refuseWith(scheduler.ReasonDeadline)
	if _, err := home.remote.Reserve(context.Background(), newLargeRequest(), nil); err == nil {
		t.Error("the request went to the other region")
	}
	if running, _ := far.counts(); running != 0 {
		t.Error("the other region was asked")
	}
}

// TestShardsOfLostRegionAreServed guards against upstreams that become
// unreachable when all daemons of their region are lost: a daemon of the
// nearest region has to schedule them.
func TestShardsOfLostRegionAreServed(t *testing.T) {
	c, home, far := newTwoRegions(t, 1<<30)
	c.kill(far, home)
	c.remove("d2")
	home.newestDecider().refuseWith(scheduler.ReasonDeadline)
	waitFor(t, "the shard of the lost region is scheduled here", func() bool {
		home.mu.Lock()
		defer home.mu.Unlock()
		return len(home.deciders) == 2
	})
	slot, err := home.remote.Reserve(context.Background(), newLargeRequest(), nil)
	if err != nil || slot.Upstream().Name != "w1" {
		t.Fatalf("got %v", err)
	}
}

// TestRequestWaitsForOnlyRegionWithItsPool guards against a refusal without a
// scheduler's answer: the only daemon of the region that has the pool dies, and
// the request has to wait for the next one.
func TestRequestWaitsForOnlyRegionWithItsPool(t *testing.T) {
	c, home, far := newTwoRegions(t, 0)
	farPool := "bookings"
	c.changeConfig(func(config *inventory.Config) {
		config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: "b1", Pool: farPool, Region: otherRegion, Slots: 1})
	})
	newFarRequest := func() *classifier.Request {
		r := newRequest(clock.Minute)
		r.Pool = farPool
		return r
	}
	slot, err := home.remote.Reserve(context.Background(), newFarRequest(), nil)
	if err != nil {
		t.Fatal(err)
	}
	slot.End(reserver.Usage{})
	// The other region's daemon dies and stays in the view, so that the next
	// request waits.
	c.kill(far, home)
	got := make(chan error, 1)
	go func() {
		_, err := home.remote.Reserve(context.Background(), newFarRequest(), nil)
		got <- err
	}()
	c.remove("d2")
	if err := <-got; err != nil {
		t.Errorf("refused without a scheduler's answer: %v", err)
	}
}

// TestLeavingDaemonServesAcceptedRequests guards against a daemon that leaves
// as the last one and refuses requests that it has accepted: no scheduler is
// left, so the local share serves them.
func TestLeavingDaemonServesAcceptedRequests(t *testing.T) {
	c := newCluster(t, 1)
	n := c.start("d1", region)
	c.mu.Lock()
	c.members[0].State = gossiper.Leaving
	c.mu.Unlock()
	mustReserve(t, n).End(reserver.Usage{})
}
