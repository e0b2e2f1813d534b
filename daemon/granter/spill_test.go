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

const away = "graz-a"

// replace puts another configuration in force.
func (c *cluster) replace(change func(config *inventory.Config)) {
	config := *c.source.Current()
	change(&config)
	config = config.Sorted()
	c.source.config.Store(&config)
}

func (f *fifo) set(reason scheduler.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse["question"] = reason
}

func (f *fifo) admit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.refuse, "question")
}

func TestEveryShardOfTheRegionIsAskedBeforeARefusal(t *testing.T) {
	c := newCluster(t, 1)
	c.replace(func(config *inventory.Config) {
		for i := range 48 {
			config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: fmt.Sprint("v", i), Pool: pool, Region: region, Slots: 1})
		}
	})
	n := c.start("d1", region)
	eventually(t, "all shards are carried", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.deciders) == 4
	})
	for _, f := range n.deciders {
		f.set(scheduler.ReasonFull)
	}
	_, err := n.remote.Reserve(context.Background(), request(clock.Minute), nil)
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		t.Fatalf("got %v", err)
	}
	for i, f := range n.deciders {
		f.admit()
		slot, err := n.remote.Reserve(context.Background(), request(clock.Minute), nil)
		if err != nil {
			t.Fatalf("shard %d alone admits, and yet: %v", i, err)
		}
		slot.End(reserver.Usage{})
		f.set(scheduler.ReasonFull)
	}
}

// twoRegions starts a daemon in each of two regions, with an upstream each.
func twoRegions(t *testing.T, bytesPerHour int64) (c *cluster, home, far *node) {
	c = newCluster(t, 100)
	c.replace(func(config *inventory.Config) {
		config.Regions = []inventory.Region{{Name: region, Nearest: []string{away}}, {Name: away, Nearest: []string{region}}}
		config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: "w1", Pool: pool, Region: away, Slots: 100})
		config.Tiers = []inventory.Tier{{Name: "t0", CrossRegionBytesPerHour: bytesPerHour}}
	})
	home, far = c.start("d1", region), c.start("d2", away)
	eventually(t, "both shards are carried", func() bool { return home.decider() != nil && far.decider() != nil })
	return c, home, far
}

func large() *classifier.Request {
	req := request(clock.Minute)
	req.Body = make([]byte, 9_000)
	return req
}

func TestARequestStaysInItsRegionUnlessThatLosesIt(t *testing.T) {
	_, home, _ := twoRegions(t, 1<<30)
	slot, err := home.remote.Reserve(context.Background(), large(), nil)
	if err != nil || slot.Upstream().Name != "u1" {
		t.Fatalf("got %v", err)
	}
	home.decider().set(scheduler.ReasonDeadline)
	slot, err = home.remote.Reserve(context.Background(), large(), nil)
	if err != nil || slot.Upstream().Name != "w1" {
		t.Fatalf("not sent to the other region: %v", err)
	}
}

func TestTheVolumeBetweenRegionsIsBounded(t *testing.T) {
	// Two daemons share the budget: each may send 50,000 bytes an hour.
	_, home, _ := twoRegions(t, 100_000)
	home.decider().set(scheduler.ReasonDeadline)
	sent := 0
	for range 20 {
		slot, err := home.remote.Reserve(context.Background(), large(), nil)
		if err == nil && slot.Upstream().Name == "w1" {
			sent++
		}
	}
	if sent*9_000 > 50_000 || sent == 0 {
		t.Errorf("%d requests of 9,000 bytes were sent to the other region", sent)
	}
}

func TestATierWithoutBudgetStaysInItsRegion(t *testing.T) {
	_, home, far := twoRegions(t, 0)
	home.decider().set(scheduler.ReasonDeadline)
	if _, err := home.remote.Reserve(context.Background(), large(), nil); err == nil {
		t.Error("the request went to the other region")
	}
	if running, _ := far.counts(); running != 0 {
		t.Error("the other region was asked")
	}
}

func TestAnAdoptedRegionIsServed(t *testing.T) {
	c, home, far := twoRegions(t, 1<<30)
	c.die(far, home)
	c.remove("d2")
	home.decider().set(scheduler.ReasonDeadline)
	eventually(t, "the shard of the lost region is carried here", func() bool {
		home.mu.Lock()
		defer home.mu.Unlock()
		return len(home.deciders) == 2
	})
	slot, err := home.remote.Reserve(context.Background(), large(), nil)
	if err != nil || slot.Upstream().Name != "w1" {
		t.Fatalf("got %v", err)
	}
}

func TestARequestWaitsForTheOnlyRegionThatServesIt(t *testing.T) {
	c, home, far := twoRegions(t, 0)
	only := "bookings"
	c.replace(func(config *inventory.Config) {
		config.Upstreams = append(config.Upstreams, inventory.Upstream{Name: "b1", Pool: only, Region: away, Slots: 1})
	})
	req := func() *classifier.Request {
		r := request(clock.Minute)
		r.Pool = only
		return r
	}
	slot, err := home.remote.Reserve(context.Background(), req(), nil)
	if err != nil {
		t.Fatal(err)
	}
	slot.End(reserver.Usage{})
	// The other region's daemon dies unnoticed, and the next request waits.
	c.die(far, home)
	got := make(chan error, 1)
	go func() {
		_, err := home.remote.Reserve(context.Background(), req(), nil)
		got <- err
	}()
	c.remove("d2")
	if err := <-got; err != nil {
		t.Errorf("refused without a scheduler's word: %v", err)
	}
}

func TestALeavingDaemonServesAloneWhatItAccepted(t *testing.T) {
	c := newCluster(t, 1)
	n := c.start("d1", region)
	c.mu.Lock()
	c.members[0].State = gossiper.Leaving
	c.mu.Unlock()
	mustReserve(t, n).End(reserver.Usage{})
}
