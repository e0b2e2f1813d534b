package follower_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/follower"
)

// register is a follower.Register whose state and faults a test sets.
type register struct {
	mu      sync.Mutex
	version int64
	rows    map[string]follower.Row
	history []follower.Row
	fails   error
	// dropped names a table whose next call for changes finds no history.
	dropped string
	calls   int
}

func (r *register) set(table, key, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	row := follower.Row{Table: table, Key: key, Value: []byte(value), Version: r.version, Gone: value == ""}
	if r.rows == nil {
		r.rows = map[string]follower.Row{}
	}
	r.rows[table+"/"+key] = row
	r.history = append(r.history, row)
}

// made returns the number of calls so far.
func (r *register) made() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

func (r *register) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = err
}

func (r *register) List(_ context.Context, table string) (rows []follower.Row, version int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	for _, row := range r.rows {
		if row.Table == table && !row.Gone {
			rows = append(rows, row)
		}
	}
	return rows, r.version, r.fails
}

func (r *register) Changes(ctx context.Context, table string, after int64, wait clock.Millis) (rows []follower.Row, version int64, err error) {
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
		version, err = r.version, r.fails
		if r.dropped == table {
			r.dropped, err = "", follower.ErrHistory
		}
		r.mu.Unlock()
		if len(rows) > 0 || err != nil {
			return rows, version, err
		}
	}
	return nil, max(version, after), ctx.Err()
}

type decoder struct{}

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

type wall struct{}

func (wall) Now() clock.Millis { return clock.At(time.Now()) }

func follow(t *testing.T, r *register) *follower.Follower {
	t.Helper()
	return followAndTell(t, r, nil)
}

func followAndTell(t *testing.T, r *register, peers follower.Peers) *follower.Follower {
	t.Helper()
	f := &follower.Follower{
		Register: r, Decoder: decoder{}, Clock: wall{}, Peers: peers,
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
	first  = `{"revision":3,"pools":[{"name":"p"}]}`
	second = `{"revision":9,"pools":[{"name":"p"}]}`
)

func TestOnlyNewerReadableConfigurationsComeInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		f := follow(t, r)
		time.Sleep(time.Second)
		if f.Ready() {
			t.Fatal("ready without a configuration")
		}
		r.set("c", "k", second)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		r.set("u", "u2", `{"address":"b","pool":"other","slots":1}`)
		r.set("u", "u3", `nonsense`)
		time.Sleep(time.Second)
		if c := f.Current(); c.Revision != 9 || len(c.Upstreams) != 1 || c.Upstreams[0].Name != "u1" {
			t.Fatalf("%+v", c)
		}
		for _, value := range []string{first, `{`, `{"revision":9}`} {
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
			t.Error("a list that did not change was made anew")
		}
	})
}

func TestOutageKeepsWhatIsKnownAndIsSparing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		r.set("c", "k", first)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		f := follow(t, r)
		time.Sleep(time.Second)
		r.fail(errors.New("down"))
		before := r.made()
		time.Sleep(time.Minute)
		if calls := r.made() - before; calls > 120 {
			t.Errorf("%d calls in a minute of outage", calls)
		}
		if c := f.Current(); c.Revision != 3 || len(c.Upstreams) != 1 {
			t.Errorf("%+v", c)
		}
		// The row went during the outage; it is used until its writer had time.
		r.set("u", "u1", "")
		r.fail(nil)
		time.Sleep(3 * time.Second)
		r.fail(errors.New("down"))
		time.Sleep(2 * time.Second)
		r.fail(nil)
		time.Sleep(8 * time.Second)
		if c := f.Current(); len(c.Upstreams) != 0 {
			t.Errorf("%+v", c.Upstreams)
		}
	})
}

func TestQuietRegisterIsReadSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		follow(t, r)
		time.Sleep(time.Minute)
		if calls := r.made(); calls > 2+2*6 {
			t.Errorf("%d calls in a quiet minute", calls)
		}
		// A hundred changes in a second cost a call for each gathering pause.
		before := r.made()
		for range 100 {
			r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
			time.Sleep(10 * time.Millisecond)
		}
		if calls := r.made() - before; calls > 10 {
			t.Errorf("%d calls for a hundred changes", calls)
		}
	})
}

// counter counts what peers are told.
type counter struct{ spread atomic.Int64 }

func (*counter) Meet(context.Context)     {}
func (c *counter) Spread(context.Context) { c.spread.Add(1) }

func TestRenewedRowsAreNotToldToPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, peers := &register{}, &counter{}
		r.set("c", "k", first)
		r.set("u", "a", `{"pool":"p","beat":0}`)
		f := followAndTell(t, r, peers)
		time.Sleep(3 * time.Second)
		before, told := f.Current(), peers.spread.Load()
		for beat := range 10 {
			r.set("u", "a", fmt.Sprintf(`{"pool":"p","beat":%d}`, beat+1))
			time.Sleep(time.Second)
		}
		if f.Current() != before || peers.spread.Load() != told {
			t.Errorf("10 renewals were told %d times", peers.spread.Load()-told)
		}
		r.set("u", "a", `{"pool":"p","beat":11,"leaving":true}`)
		time.Sleep(time.Second)
		if !f.Current().Upstreams[0].Leaving || peers.spread.Load() == told {
			t.Error("a change was not told")
		}
	})
}

func TestDroppedHistoryIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		r.set("c", "k", first)
		f := follow(t, r)
		time.Sleep(time.Second)
		r.mu.Lock()
		r.version++
		r.rows["c/k"] = follower.Row{Table: "c", Key: "k", Value: []byte(second), Version: r.version}
		r.dropped = "c"
		r.mu.Unlock()
		time.Sleep(time.Second)
		if f.Current().Revision != 9 {
			t.Errorf("revision %d after the history was dropped", f.Current().Revision)
		}
	})
}

// TestWorkerThatLeavesAfterTroubleIsDroppedInTime keeps the finding of a hunted
// day: a row that went 1.5 s after the register answered again was used for
// another 2.8 s.
func TestWorkerThatLeavesAfterTroubleIsDroppedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		r.set("c", "k", first)
		r.set("u", "u1", `{"address":"a","pool":"p","slots":1}`)
		f := follow(t, r)
		time.Sleep(time.Second)
		r.fail(errors.New("refused"))
		time.Sleep(4 * time.Second)
		r.fail(nil)
		time.Sleep(3 * time.Second)
		r.set("u", "u1", "")
		time.Sleep(1500 * time.Millisecond)
		if c := f.Current(); len(c.Upstreams) != 0 {
			t.Errorf("%+v is used 1.5 s after it went", c.Upstreams)
		}
	})
}

func TestMostRowsGoneAtOnceAreALapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &register{}
		r.set("c", "k", first)
		for _, key := range []string{"u1", "u2", "u3", "u4"} {
			r.set("u", key, `{"address":"a","pool":"p","slots":1}`)
		}
		f := follow(t, r)
		time.Sleep(time.Second)
		for _, key := range []string{"u1", "u2", "u3"} {
			r.set("u", key, "")
		}
		time.Sleep(time.Second)
		if c := f.Current(); len(c.Upstreams) != 4 {
			t.Errorf("%d upstreams a second after three of four went at once", len(c.Upstreams))
		}
		time.Sleep(2 * time.Second)
		if c := f.Current(); len(c.Upstreams) != 1 {
			t.Errorf("%d upstreams once their writers had time", len(c.Upstreams))
		}
	})
}
