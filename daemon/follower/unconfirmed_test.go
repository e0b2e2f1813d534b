package follower

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
)

// pathState is the state of a daemon's path to the register.
type pathState int

const (
	// pathSilent answers nothing. The zero value is a sound path.
	pathSilent pathState = iota + 1
	// pathRefused fails each call at once.
	pathRefused
	// pathStuck fails calls that had begun before it, without a word, and is sound for others.
	pathStuck
)

// paths holds the state of the path of each daemon, by name.
type paths struct {
	mu     sync.Mutex
	states map[string]pathState
}

func (p *paths) get(name string) pathState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[name]
}

func (p *paths) set(name string, state pathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[name] = state
}

// pathRegister is the register at the end of a daemon's path.
type pathRegister struct {
	registerLink

	state func() pathState
}

var errPathRefused = errors.New("refused")

// call calls the register, and loses or refuses the reply as the path says.
func (r pathRegister) call(ctx context.Context, call func(ctx context.Context) error) error {
	begun := r.state()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for clock.Sleep(ctx, 10*clock.Millisecond) {
			if r.state() == pathRefused {
				cancel(errPathRefused)
			}
		}
	}()
	err := call(ctx)
	switch {
	case r.state() == pathRefused:
		return errPathRefused
	case r.state() == pathStuck && begun != pathStuck:
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

func (r pathRegister) List(ctx context.Context, table string) (rows []Row, version Version, err error) {
	err = r.call(ctx, func(ctx context.Context) (err error) {
		rows, version, err = r.registerLink.List(ctx, table)
		return err
	})
	return rows, version, err
}

func (r pathRegister) Changes(ctx context.Context, table string, after Version, wait clock.Millis) (rows []Row, version Version, err error) {
	err = r.call(ctx, func(ctx context.Context) (err error) {
		rows, version, err = r.registerLink.Changes(ctx, table, after, wait)
		return err
	})
	return rows, version, err
}

// startFleetWithPaths runs count followers of a register until the test ends.
func startFleetWithPaths(t *testing.T, r *silentRegister, count int, applyBound clock.Millis) (fleet []*loopPeers, p *paths) {
	t.Helper()
	p = &paths{states: map[string]pathState{}}
	fleet = startFleet(t, count, applyBound, func(name string) Register {
		state := func() pathState { return p.get(name) }
		return pathRegister{registerLink{silentRegister: r, cut: func() bool { return state() == pathSilent }}, state}
	})
	return fleet, p
}

// TestDaemonsLearnInTimeWhenAllReadersLostTheRegister guards against a change that is late at
// daemons with a sound path to the register, because those that read it for all have lost theirs.
func TestDaemonsLearnInTimeWhenAllReadersLostTheRegister(t *testing.T) {
	for count, applyBound := range map[int]clock.Millis{9: 2500, 66: 4000, 80: 2500, 195: 4000, 300: 4000} {
		for name, state := range map[string]pathState{"silent": pathSilent, "refused": pathRefused, "stuck": pathStuck} {
			// One after the other, as large fleets take much memory.
			t.Run(fmt.Sprintf("%d daemons, readers %s", count, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLostReaders(t, count, applyBound, state) })
			})
		}
	}
}

func testLostReaders(t *testing.T, count int, applyBound clock.Millis, state pathState) {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(count), uint64(state)))
	r := &silentRegister{}
	r.put("c", "k", configOf(1))
	r.put("u", "u1", `{"address":"a","pool":"p","slots":1}`)
	fleet, paths := startFleetWithPaths(t, r, count, applyBound)
	time.Sleep(time.Duration(5_000+random.IntN(10_000)) * time.Millisecond)
	// Of the others all but a few lose their paths too.
	last := random.IntN(count)
	for i, d := range fleet {
		if d.Duty().Role != Idle && (count > readerCount || d.Duty().Role == Lead) || (i != last && random.IntN(10) > 0) {
			paths.set(d.View.Self().Name, state)
		}
	}
	time.Sleep(time.Duration(random.IntN(3_000)) * time.Millisecond)
	for revision := 2; revision < 5; revision++ {
		r.put("c", "k", configOf(revision))
		r.put("u", "u1", fmt.Sprintf(`{"address":"a","pool":"p","slots":%d,"leaving":true}`, revision))
		time.Sleep(applyBound.Duration())
		checkInForce(t, fleet, int64(revision))
		for _, d := range fleet {
			if u := d.Follower.Current().Upstreams; len(u) != 1 || u[0].Slots != revision {
				t.Errorf("%s has upstreams %+v", d.View.Self().Name, u)
			}
		}
	}
}

// TestDaemonKnowsThatItMayBeOutdated guards against a daemon that answers for good by a
// configuration that nobody has confirmed within the apply bound, and against one that doubts a
// configuration that is confirmed.
func TestDaemonKnowsThatItMayBeOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const applyBound = 4 * clock.Second
		r := &silentRegister{}
		r.put("c", "k", configOf(1))
		fleet, paths := startFleetWithPaths(t, r, 20, applyBound)
		check := func(when string, want bool) {
			t.Helper()
			for _, d := range fleet {
				if p := d.Follower.Provenance(); p.MayBeOutdated != want {
					t.Errorf("%s: %s, %+v", when, d.View.Self().Name, p)
				}
			}
		}
		for range 20 {
			time.Sleep(time.Second)
			check("while the register answers", false)
		}
		for _, d := range fleet {
			paths.set(d.View.Self().Name, pathSilent)
		}
		time.Sleep((applyBound + clock.Millisecond).Duration())
		check("without a register", true)
		paths.set(fleet[7].View.Self().Name, 0)
		time.Sleep(applyBound.Duration())
		check("once one daemon reads again", false)
	})
}

// TestStartingFleetTellsItselfOnce guards against daemons that each tell all others what they have
// read, because all start at the same moment.
func TestStartingFleetTellsItselfOnce(t *testing.T) {
	perDaemon := func(count int) (calls int) {
		synctest.Test(t, func(t *testing.T) {
			r := &silentRegister{}
			r.put("c", "k", configOf(1))
			fleet, _ := startFleetWithPaths(t, r, count, 4000)
			time.Sleep(2 * time.Second)
			for _, d := range fleet {
				calls += int(d.called.Load())
			}
		})
		return calls / count
	}
	small, large := perDaemon(20), perDaemon(200)
	t.Logf("%d calls of a daemon among 20, %d among 200", small, large)
	if large > 2*small {
		t.Errorf("each of 200 daemons is called %d times in the first seconds, each of 20 %d times", large, small)
	}
}

// TestWordOfAnOlderBuildConfirms guards against daemons that doubt their configuration beside peers of
// a build that doesn't tell who read the register.
func TestWordOfAnOlderBuildConfirms(t *testing.T) {
	f, now := newIdleFollower(), &manualClock{now: 10_000}
	f.Clock, f.Decoder, f.ApplyBound = now, testDecoder{}, 4000
	f.applyConfig(Row{Table: "c", Key: "k", Value: []byte(configOf(1)), Version: 1}, "peer")
	if !f.Provenance().MayBeOutdated {
		t.Error("nobody has confirmed the configuration")
	}
	f.noteConfirmations([]*wire.TableVersion{{Table: "c", ConfirmedMsAgo: 5}})
	if p := f.Provenance(); p.MayBeOutdated || p.ConfirmedMSAgo != 5 {
		t.Errorf("%+v", p)
	}
}
