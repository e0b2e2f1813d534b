package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/follower"
)

// fakeRegister is a follower.Register whose rows and faults a test sets.
type fakeRegister struct {
	mu      sync.Mutex
	version follower.Version
	rows    map[string]follower.Row
	history []follower.Row
	err     error
	// historyDropped names a table whose next call of Changes returns ErrHistoryDropped.
	historyDropped string
	calls          int
}

// set writes a row; an empty value removes it.
func (r *fakeRegister) set(table, key, value string) {
	r.setAll(table, value, key)
}

// setAll writes rows with the same value at once; an empty value removes them.
func (r *fakeRegister) setAll(table, value string, keys ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rows == nil {
		r.rows = map[string]follower.Row{}
	}
	for _, key := range keys {
		r.version++
		row := follower.Row{Table: table, Key: key, Value: []byte(value), Version: r.version, Removed: value == ""}
		r.rows[table+"/"+key] = row
		r.history = append(r.history, row)
	}
}

// callCount returns the number of calls so far.
func (r *fakeRegister) callCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *fakeRegister) setError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
}

func (r *fakeRegister) List(_ context.Context, table string) (rows []follower.Row, version follower.Version, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	for _, row := range r.rows {
		if row.Table == table && !row.Removed {
			rows = append(rows, row)
		}
	}
	return rows, r.version, r.err
}

func (r *fakeRegister) Changes(ctx context.Context, table string, after follower.Version, wait clock.Millis) (rows []follower.Row, version follower.Version, err error) {
	end := time.Now().Add(wait.Duration())
	r.mu.Lock()
	r.calls++
	r.mu.Unlock()
	for ; ctx.Err() == nil && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		r.mu.Lock()
		for _, row := range r.history {
			if row.Table == table && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, err = r.version, r.err
		if r.historyDropped == table {
			r.historyDropped, err = "", follower.ErrHistoryDropped
		}
		r.mu.Unlock()
		if len(rows) > 0 || err != nil {
			return rows, version, err
		}
	}
	return nil, max(version, after), ctx.Err()
}

type decoder struct{}

func (decoder) Evacuation(key string) (domain string, isEvacuation bool, err error) {
	domain, isEvacuation = strings.CutPrefix(key, "evacuation/")
	return domain, isEvacuation, nil
}

func (decoder) ReleaseOrder(string, []byte) (order inventory.ReleaseOrder, isOrder bool, err error) {
	return order, false, nil
}

func (decoder) Config(value []byte) (*inventory.Config, error) {
	var c inventory.Config
	err := json.Unmarshal(value, &c)
	return &c, err
}

func (decoder) Upstream(key string, value []byte) (u inventory.Upstream, err error) {
	err = json.Unmarshal(value, &u)
	u.Name = key
	return u, err
}

type systemClock struct{}

func (systemClock) Now() clock.Millis { return clock.FromTime(time.Now()) }

func startFollower(t *testing.T, r *fakeRegister) *follower.Follower {
	t.Helper()
	return startFollowerWithPeers(t, r, nil)
}

func startFollowerWithPeers(t *testing.T, r *fakeRegister, peers follower.Peers) *follower.Follower {
	t.Helper()
	f := &follower.Follower{
		Register: r, Decoder: decoder{}, Clock: systemClock{}, Peers: peers,
		Tables: follower.Tables{Config: "c", ConfigKey: "k", Upstreams: "u"},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f
}

const (
	configRevision3 = `{"revision":3,"pools":[{"name":"p"}]}`
	configRevision9 = `{"revision":9,"pools":[{"name":"p"}]}`
)

// TestOnlyNewerValidConfigurationsTakeEffect guards against a configuration in force
// that is older or can't be decoded, and against upstreams whose pool is not
// configured.
func TestOnlyNewerValidConfigurationsTakeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		f := startFollower(t, r)
		time.Sleep(time.Second)
		if f.Ready() {
			t.Fatal("ready without a configuration")
		}
		r.set("c", "k", configRevision9)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		r.set("u", "u2", `{"address":"b","pool":"other","slots":1}`)
		r.set("u", "u3", `nonsense`)
		time.Sleep(time.Second)
		if c := f.Current(); c.Revision != 9 || len(c.Upstreams) != 1 || c.Upstreams[0].Name != "u1" {
			t.Fatalf("%+v", c)
		}
		for _, value := range []string{configRevision3, `{`, `{"revision":9}`} {
			r.set("c", "k", value)
			time.Sleep(time.Second)
			if c := f.Current(); c.Revision != 9 || len(c.Pools) != 1 {
				t.Fatalf("after %s: %+v", value, c)
			}
		}
		list := f.Current().Upstreams
		r.set("c", "k", `{"revision":10,"pools":[{"name":"p"}]}`)
		time.Sleep(time.Second)
		if c := f.Current(); c.Revision != 10 || &c.Upstreams[0] != &list[0] {
			t.Error("the list of upstreams was replaced although it did not change")
		}
	})
}

// TestOutageKeepsTheStateAndLimitsCalls guards against an outage of the register
// that clears the configuration or causes a flood of retries, and against a row
// removed meanwhile that stays in use after the register has recovered.
func TestOutageKeepsTheStateAndLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		r.set("c", "k", configRevision3)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		f := startFollower(t, r)
		time.Sleep(time.Second)
		r.setError(errors.New("down"))
		before := r.callCount()
		time.Sleep(time.Minute)
		if calls := r.callCount() - before; calls > 120 {
			t.Errorf("%d calls to the register in a minute of outage", calls)
		}
		if c := f.Current(); c.Revision != 3 || len(c.Upstreams) != 1 {
			t.Errorf("%+v", c)
		}
		// The row is removed during the outage and stays in use for the grace.
		r.set("u", "u1", "")
		r.setError(nil)
		time.Sleep(3 * time.Second)
		r.setError(errors.New("down"))
		time.Sleep(2 * time.Second)
		r.setError(nil)
		time.Sleep(8 * time.Second)
		if c := f.Current(); len(c.Upstreams) != 0 {
			t.Errorf("%+v", c.Upstreams)
		}
	})
}

// TestRegisterCallsAreLimited guards against polling a register without changes,
// and against a call for each change of a busy one.
func TestRegisterCallsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		startFollower(t, r)
		time.Sleep(time.Minute)
		if calls := r.callCount(); calls > 2+2*6 {
			t.Errorf("%d calls in a minute without changes", calls)
		}
		// A hundred changes in a second cost one call for each batch pause.
		before := r.callCount()
		for range 100 {
			r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
			time.Sleep(10 * time.Millisecond)
		}
		if calls := r.callCount() - before; calls > 10 {
			t.Errorf("%d calls for 100 changes in a second", calls)
		}
	})
}

// countingPeers counts the notifications of peers.
type countingPeers struct{ notifications atomic.Int64 }

func (*countingPeers) SyncOne(context.Context)  {}
func (p *countingPeers) Notify(context.Context) { p.notifications.Add(1) }
func (*countingPeers) Relay(context.Context)    {}

// TestRenewalsDoNotNotifyPeers guards against traffic between daemons, and new
// configurations, for renewals that change nothing else.
func TestRenewalsDoNotNotifyPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, peers := &fakeRegister{}, &countingPeers{}
		r.set("c", "k", configRevision3)
		r.set("u", "a", `{"pool":"p","beat":0}`)
		f := startFollowerWithPeers(t, r, peers)
		time.Sleep(3 * time.Second)
		before, notified := f.Current(), peers.notifications.Load()
		for beat := range 10 {
			r.set("u", "a", fmt.Sprintf(`{"pool":"p","beat":%d}`, beat+1))
			time.Sleep(time.Second)
		}
		if f.Current() != before || peers.notifications.Load() != notified {
			t.Errorf("10 renewals replaced the configuration or caused notifications (%d)", peers.notifications.Load()-notified)
		}
		r.set("u", "a", `{"pool":"p","beat":11,"leaving":true}`)
		time.Sleep(time.Second)
		if !f.Current().Upstreams[0].Leaving || peers.notifications.Load() == notified {
			t.Error("a change is not in force or did not notify peers")
		}
	})
}

// TestDroppedHistoryCausesAListing guards against changes that are missed because
// the register no longer has them.
func TestDroppedHistoryCausesAListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		r.set("c", "k", configRevision3)
		f := startFollower(t, r)
		time.Sleep(time.Second)
		r.mu.Lock()
		r.version++
		r.rows["c/k"] = follower.Row{Table: "c", Key: "k", Value: []byte(configRevision9), Version: r.version}
		r.historyDropped = "c"
		r.mu.Unlock()
		time.Sleep(time.Second)
		if f.Current().Revision != 9 {
			t.Errorf("revision %d after the history was dropped", f.Current().Revision)
		}
	})
}

// TestUpstreamRemovedAfterOutageIsDroppedInTime guards against a removed upstream
// that stays in use for too long: a row that was removed 1.5 s after the register
// answered again was used for another 2.8 s.
func TestUpstreamRemovedAfterOutageIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		r.set("c", "k", configRevision3)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		f := startFollower(t, r)
		time.Sleep(time.Second)
		r.setError(errors.New("refused"))
		time.Sleep(4 * time.Second)
		r.setError(nil)
		time.Sleep(3 * time.Second)
		r.set("u", "u1", "")
		time.Sleep(1500 * time.Millisecond)
		if c := f.Current(); len(c.Upstreams) != 0 {
			t.Errorf("%+v is still in use 1.5 s after its removal", c.Upstreams)
		}
	})
}

// TestMassRemovalIsHeldAsALapse guards against the loss of most upstreams when the
// register had an outage that no call noticed.
func TestMassRemovalIsHeldAsALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeRegister{}
		r.set("c", "k", configRevision3)
		for _, key := range []string{"u1", "u2", "u3", "u4"} {
			r.set("u", key, `{"address":"a","pool":"p","slots":1}`)
		}
		f := startFollower(t, r)
		time.Sleep(time.Second)
		r.setAll("u", "", "u1", "u2", "u3")
		time.Sleep(time.Second)
		if c := f.Current(); len(c.Upstreams) != 4 {
			t.Errorf("%d upstreams in use one second after 3 of 4 were removed at once, want 4", len(c.Upstreams))
		}
		time.Sleep(2 * time.Second)
		if c := f.Current(); len(c.Upstreams) != 1 {
			t.Errorf("%d upstreams in use after the rewrite grace, want 1", len(c.Upstreams))
		}
	})
}
