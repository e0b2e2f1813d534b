package releaser

import (
	"maps"
	"reflect"
	"testing"

	"yuccaspread/common/clock"
)

// view drives one Core and keeps the shares that are in force and the writes that it asked for.
type view struct {
	core   Core
	now    clock.Millis
	shares map[string]float64
	writes []Write
}

func newView() *view {
	return &view{core: Core{Daemon: "d0", TestShare: 0.08}, now: clock.Hour}
}

func (v *view) send(m Message) {
	for _, e := range v.core.Update(v.now, m) {
		switch e := e.(type) {
		case SetShares:
			v.shares = e.Shares.Shares
		case Write:
			v.writes = append(v.writes, e)
		}
	}
}

func (v *view) checkShares(t *testing.T, what string, want map[string]float64) {
	t.Helper()
	if !maps.Equal(v.shares, want) {
		t.Errorf("%s: shares are %v, want %v", what, v.shares, want)
	}
}

// orders returns orders for version v2, which is served beside v1.
func orders(ids ...string) (m Orders) {
	m.Served = map[string][]string{pool: {"v1", "v2"}}
	for _, id := range ids {
		m.List = append(m.List, Order{ID: id, Pool: pool, To: "v2", Duration: 15 * clock.Second})
	}
	return m
}

func stopped(id string) Heard { return Heard{Report{Daemon: "d1", Order: id, Stopped: true}} }

// TestStoppedVersionStaysStopped guards against a version that gets requests again because the
// register was restored, the order written again, or its row removed.
func TestStoppedVersionStaysStopped(t *testing.T) {
	v := newView()
	v.send(orders("1.5"))
	v.checkShares(t, "new order", map[string]float64{"v2": 0.08})
	v.send(stopped("1.5"))
	v.checkShares(t, "stopped by another daemon", map[string]float64{"v2": 0})
	v.send(orders())
	v.now += clock.Second
	v.send(orders("2.4"))
	v.checkShares(t, "written again after a restore", map[string]float64{"v2": 0})
	v.send(orders())
	v.now += clock.Minute
	v.send(orders())
	v.checkShares(t, "row removed, still served", map[string]float64{"v2": 0})
	v.send(Orders{Served: map[string][]string{pool: {"v1"}}})
	v.checkShares(t, "row removed, no longer served", nil)
}

// TestSharesFollowTheOrder guards against shares that outlast an order, or that starve a pool
// which serves one version only.
func TestSharesFollowTheOrder(t *testing.T) {
	v := newView()
	v.send(orders("1.5"))
	v.now += 15 * clock.Second
	v.send(Tick{})
	v.checkShares(t, "time is over", nil)

	v = newView()
	v.send(orders("1.5"))
	v.send(Heard{Report{Daemon: "d1", Order: "1.5", Age: 15 * clock.Second}})
	v.checkShares(t, "known longer to another daemon", nil)

	v = newView()
	alone := orders("1.5")
	alone.Served[pool] = []string{"v2"}
	v.send(alone)
	v.checkShares(t, "no other version", nil)
	v.send(orders("1.5"))
	v.checkShares(t, "another version has come", map[string]float64{"v2": 0.08})

	v.send(orders())
	v.now += orderRetention - 1
	v.send(orders())
	v.checkShares(t, "row missing for a moment", map[string]float64{"v2": 0.08})
	v.now++
	v.send(orders())
	v.checkShares(t, "row removed", nil)

	v = newView()
	v.send(orders("1.5"))
	v.send(stopped("1.5"))
	next := orders()
	next.List = []Order{{ID: "1.9", Pool: pool, To: "v3", Duration: clock.Second}}
	v.send(next)
	v.checkShares(t, "replaced by an order for another version", map[string]float64{"v3": 0.08})
}

// TestEachStateIsWrittenOnceUnlessItFails guards against an operator who is not told, and against
// all daemons writing at once.
func TestEachStateIsWrittenOnceUnlessItFails(t *testing.T) {
	v := newView()
	v.send(orders("1.5"))
	v.send(Tick{})
	v.now += writeInterval
	v.send(Tick{})
	if len(v.writes) != 2 || v.writes[1].State != Testing {
		t.Fatalf("first daemon asked for %v", v.writes)
	}
	v.send(Written{Order: "1.5", State: Testing})
	v.now += writeInterval
	v.send(Tick{})
	if len(v.writes) != 2 {
		t.Fatalf("a written state is written again: %v", v.writes)
	}
	v.send(stopped("1.5"))
	v.send(Tick{})
	if len(v.writes) != 3 || v.writes[2].State != Stopped {
		t.Fatalf("asked for %v", v.writes)
	}

	v = newView()
	behind := orders("1.5")
	behind.Ranks = map[string]int{pool: 1}
	v.send(behind)
	v.send(Tick{})
	v.now += writeStagger - 1
	v.send(Tick{})
	if len(v.writes) != 0 {
		t.Fatalf("the second daemon did not wait for the first: %v", v.writes)
	}
	v.now++
	v.send(Tick{})
	if len(v.writes) != 1 {
		t.Fatal("the second daemon does not write where the first fails")
	}
	v.send(Heard{Report{Daemon: "d1", Order: "1.5", Written: Testing}})
	v.now += writeInterval
	v.send(Tick{})
	if len(v.writes) != 1 {
		t.Fatal("a state that another daemon has written is written again")
	}
}

// TestReportsKeepTheirContentsOnTheWire guards against evidence that is lost between daemons.
func TestReportsKeepTheirContentsOnTheWire(t *testing.T) {
	report := Report{
		Daemon: "d1", Order: "1.5", Age: 12345, Stopped: true, Written: Stopped,
		Cells: map[Cell]Counts{
			{"a", true}:  {Requests: 100, Failed: 2, Slow: SlowCounts{30, 4}},
			{"a", false}: {Requests: 1000, Failed: 1, Slow: SlowCounts{200, 50}},
		},
	}
	if got := fromWire(toWire(report)); !reflect.DeepEqual(got, report) {
		t.Fatalf("got %+v, want %+v", got, report)
	}
}
