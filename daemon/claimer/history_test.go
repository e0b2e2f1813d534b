package claimer_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/claimer"
)

// TestMain fixes the seed; "make soak" sets SOAK and takes any other.
func TestMain(m *testing.M) {
	if os.Getenv("SOAK") == "" {
		_ = flag.Set("rapid.seed", "5")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

// wall reads the time of a synctest bubble.
type wall struct{}

func (wall) Now() clock.Millis { return clock.At(time.Now()) }

// The calls of a history.
type kind int

const (
	doClaim kind = iota
	doRelease
	doFinish
	doLook
	// doAbandon is what the claimer does by itself after a doubtful claim.
	doAbandon
)

type input struct {
	kind kind
	// claim numbers the claims from 1 on.
	claim int
}

type output int

const (
	ok output = iota
	taken
	// never means that there was no effect; maybe that there may be one.
	never
	maybe
)

type look struct {
	found bool
	// claim is 0 where the nonce is that of a doubtful claim.
	claim    int
	answered bool
}

// state of a key: whose claim stands, 0 for nobody's.
type state struct {
	claim    int
	answered bool
}

// specification tells what a key may do: a claim succeeds on a free key only,
// and only its holder frees the key or answers.
func specification() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{state{}} },
		Step: func(s, in, out any) []any { return step(s.(state), in.(input), out) },
	}
	return m.ToModel()
}

func step(s state, in input, out any) []any {
	if in.kind == doLook {
		l := out.(look)
		if l.found != (s.claim != 0) || (l.claim != 0 && l.claim != s.claim) || l.answered != s.answered {
			return nil
		}
		return []any{s}
	}
	after, possible := effect(s, in)
	switch out.(output) {
	case ok:
		if possible {
			return []any{after}
		}
	case taken:
		if s.claim != 0 {
			return []any{s}
		}
	case never:
		return []any{s}
	case maybe:
		if possible {
			return []any{s, after}
		}
		return []any{s}
	}
	return nil
}

func effect(s state, in input) (after state, possible bool) {
	holds := s.claim == in.claim && !s.answered
	switch in.kind {
	case doClaim:
		return state{claim: in.claim}, s.claim == 0
	case doRelease, doAbandon:
		return state{}, holds
	case doFinish:
		return state{claim: in.claim, answered: true}, holds
	case doLook:
	}
	return s, false
}

// action is what a daemon does next.
type action struct {
	// pause comes before it, hold between the claim and what follows.
	pause, hold time.Duration
	look        bool
	// send runs the request after the claim; otherwise the claim is released.
	send     bool
	deadline clock.Millis
}

// world is one run of the daemons against one table.
type world struct {
	t     *testing.T
	stamp atomic.Int64
	next  atomic.Int64
	runs  atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
	// claims maps nonces to the numbers of claims.
	claims map[string]int
}

const pending = math.MaxInt64

func (w *world) record(client int, in input, call int64, out any, unsure bool) {
	end := w.stamp.Add(1)
	if unsure {
		end = pending
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

func (w *world) perform(ctx context.Context, client int, c *claimer.Claimer, a action) {
	time.Sleep(a.pause)
	if a.look {
		w.look(ctx, client, c)
		return
	}
	number := int(w.next.Add(1))
	in := input{kind: doClaim, claim: number}
	call := w.stamp.Add(1)
	claim, err := c.Claim(ctx, "org", "key", 1, c.Clock.Now()+a.deadline)
	switch {
	case errors.Is(err, claimer.ErrTaken):
		w.record(client, in, call, taken, false)
		return
	case errors.Is(err, claimer.ErrNotClaimed):
		w.record(client, in, call, never, false)
		return
	case err != nil:
		w.record(client, in, call, maybe, true)
		w.record(client, input{kind: doAbandon, claim: number}, call, maybe, true)
		return
	}
	w.mu.Lock()
	w.claims[claim.Nonce()] = number
	w.mu.Unlock()
	w.record(client, in, call, ok, false)
	time.Sleep(a.hold)
	w.use(ctx, client, claim, number, a)
}

func (w *world) use(ctx context.Context, client int, claim *claimer.Claim, number int, a action) {
	in := input{kind: doRelease, claim: number}
	change := claim.Release
	if a.send && claim.Check(ctx) == nil {
		w.runs.Add(1)
		in.kind = doFinish
		change = func(ctx context.Context) error { return claim.Finish(ctx, nil) }
	}
	call := w.stamp.Add(1)
	err := change(ctx)
	switch {
	case err == nil, errors.Is(err, claimer.ErrLost) && in.kind == doRelease:
		// Another writer can only have come after the release.
		w.record(client, in, call, ok, false)
	case errors.Is(err, claimer.ErrLost):
		w.t.Errorf("claim %d was lost to another writer", number)
	default:
		w.record(client, in, call, maybe, true)
	}
}

func (w *world) look(ctx context.Context, client int, c *claimer.Claimer) {
	call := w.stamp.Add(1)
	record, found, err := c.Look(ctx, "org", "key")
	if err != nil {
		return
	}
	w.mu.Lock()
	l := look{found: found, claim: w.claims[record.Nonce], answered: found && record.State == claimer.Answered}
	w.mu.Unlock()
	if !found {
		l.claim = 0
	}
	w.record(client, input{kind: doLook}, call, l, false)
}

// run lets each daemon perform its actions on one key.
func (w *world) run(plan []fault, daemons [][]action) {
	w.claims = map[string]int{}
	table := &faultyTable{plan: plan}
	ctx, cancel := context.WithCancel(context.Background())
	var work, duties sync.WaitGroup
	for client, actions := range daemons {
		writer := &claimer.Writer{Table: table, Clock: wall{}}
		reader := &claimer.Reader{Table: table}
		duties.Go(func() { writer.Run(ctx) })
		duties.Go(func() { reader.Run(ctx) })
		c := &claimer.Claimer{Committer: writer, Reader: reader, Clock: wall{}, Holder: fmt.Sprint(client)}
		work.Go(func() {
			for _, a := range actions {
				w.perform(ctx, client, c, a)
			}
		})
	}
	work.Wait()
	// Time for what the claimers give back by themselves.
	time.Sleep(2 * time.Minute)
	cancel()
	duties.Wait()
	table.late.Wait()
}

func actions() *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			pause:    time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond,
			hold:     time.Duration(rapid.SampledFrom([]int{0, 5, 3000, 60_000}).Draw(t, "hold")) * time.Millisecond,
			look:     rapid.Bool().Draw(t, "look"),
			send:     rapid.Bool().Draw(t, "send"),
			deadline: clock.Millis(rapid.SampledFrom([]int{1, 50, 500, 5000}).Draw(t, "deadline")),
		}
	})
}

func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(faultCount)-1), func(i int) fault { return fault(i) }), 0, 12)
		plan := faults.Draw(rt, "plan")
		daemons := rapid.SliceOfN(rapid.SliceOfN(actions(), 1, 4), 2, 3).Draw(rt, "daemons")
		w := &world{}
		synctest.Test(t, func(t *testing.T) {
			w.t = t
			w.run(plan, daemons)
		})
		if n := w.runs.Load(); n > 1 {
			rt.Fatalf("the key ran %d times", n)
		}
		if result := porcupine.CheckOperationsTimeout(specification(), w.history, time.Minute); result != porcupine.Ok {
			rt.Fatalf("history is %s: %+v", result, w.history)
		}
	})
}
