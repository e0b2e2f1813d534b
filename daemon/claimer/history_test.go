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

// TestMain fixes the seed. "make soak" sets SOAK and runs with other seeds.
func TestMain(m *testing.M) {
	if os.Getenv("SOAK") == "" {
		_ = flag.Set("rapid.seed", "5")
		_ = flag.Set("rapid.checks", "300")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

// bubbleClock is a clock that reads the time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() clock.Millis { return clock.FromTime(time.Now()) }

// callKind is the kind of a call in a history.
type callKind int

const (
	claimCall callKind = iota
	releaseCall
	finishCall
	lookCall
	// abandonCall is the release that the claimer starts after a doubtful claim.
	abandonCall
)

type input struct {
	kind callKind
	// claim is the number of the claim, from 1 on.
	claim int
}

type output int

const (
	succeeded output = iota
	conflicted
	// noEffect means that the call had no effect, unknownEffect that it may have
	// had one.
	noEffect
	unknownEffect
)

// lookResult is the output of a lookCall.
type lookResult struct {
	found bool
	// claim is 0 if the nonce is that of a doubtful claim.
	claim    int
	answered bool
}

// keyState is the state of a key in the model: the number of the claim that
// holds it, 0 for none, and whether it is answered.
type keyState struct {
	claim    int
	answered bool
}

// keyModel is the specification of a key: a claim succeeds only if the key has
// no holder, and only the holder releases or answers it.
func keyModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyState{}} },
		Step: func(s, in, out any) []any { return stepModel(s.(keyState), in.(input), out) },
	}
	return m.ToModel()
}

// stepModel returns the states that may follow s after a call, none if the
// output is impossible in s.
func stepModel(s keyState, in input, out any) []any {
	if in.kind == lookCall {
		l := out.(lookResult)
		if l.found != (s.claim != 0) || (l.claim != 0 && l.claim != s.claim) || l.answered != s.answered {
			return nil
		}
		return []any{s}
	}
	after, possible := stateAfter(s, in)
	switch out.(output) {
	case succeeded:
		if possible {
			return []any{after}
		}
	case conflicted:
		if s.claim != 0 {
			return []any{s}
		}
	case noEffect:
		return []any{s}
	case unknownEffect:
		if possible {
			return []any{s, after}
		}
		return []any{s}
	}
	return nil
}

// stateAfter returns the state after a call that takes effect, and whether it
// can take effect in s.
func stateAfter(s keyState, in input) (after keyState, possible bool) {
	isHolder := s.claim == in.claim && !s.answered
	switch in.kind {
	case claimCall:
		return keyState{claim: in.claim}, s.claim == 0
	case releaseCall, abandonCall:
		return keyState{}, isHolder
	case finishCall:
		return keyState{claim: in.claim, answered: true}, isHolder
	case lookCall:
	}
	return s, false
}

// action is one step of a simulated daemon.
type action struct {
	// pause is the delay before the action, hold that between the claim and its
	// use.
	pause, hold time.Duration
	look        bool
	// send is set to run the request after the claim; otherwise the claim is
	// released.
	send     bool
	deadline clock.Millis
}

// simulation is one run of several daemons against one table.
type simulation struct {
	t           *testing.T
	logicalTime atomic.Int64
	lastClaim   atomic.Int64
	executions  atomic.Int64

	mu      sync.Mutex
	history []porcupine.Operation
	// claims maps the nonces of claims to their numbers.
	claims map[string]int
}

// neverReturns is the return time of a call that may take effect at any later
// time.
const neverReturns = math.MaxInt64

// record adds a call to the history. mayApplyLater marks a call that may take
// effect after it has returned.
func (s *simulation) record(client int, in input, call int64, out any, mayApplyLater bool) {
	end := s.logicalTime.Add(1)
	if mayApplyLater {
		end = neverReturns
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// perform runs one action of a daemon.
func (s *simulation) perform(ctx context.Context, client int, c *claimer.Claimer, a action) {
	time.Sleep(a.pause)
	if a.look {
		s.look(ctx, client, c)
		return
	}
	number := int(s.lastClaim.Add(1))
	in := input{kind: claimCall, claim: number}
	call := s.logicalTime.Add(1)
	claim, err := c.Claim(ctx, "org", "key", 1, c.Clock.Now()+a.deadline)
	switch {
	case errors.Is(err, claimer.ErrTaken):
		s.record(client, in, call, conflicted, false)
		return
	case errors.Is(err, claimer.ErrNotClaimed):
		s.record(client, in, call, noEffect, false)
		return
	case err != nil:
		s.record(client, in, call, unknownEffect, true)
		s.record(client, input{kind: abandonCall, claim: number}, call, unknownEffect, true)
		return
	}
	s.mu.Lock()
	s.claims[claim.Nonce()] = number
	s.mu.Unlock()
	s.record(client, in, call, succeeded, false)
	time.Sleep(a.hold)
	s.useClaim(ctx, client, claim, number, a)
}

// useClaim sends the request of a claim and finishes it, or releases the claim.
func (s *simulation) useClaim(ctx context.Context, client int, claim *claimer.Claim, number int, a action) {
	in := input{kind: releaseCall, claim: number}
	change := claim.Release
	if a.send && claim.Check(ctx) == nil {
		s.executions.Add(1)
		in.kind = finishCall
		change = func(ctx context.Context) error { return claim.Finish(ctx, nil) }
	}
	call := s.logicalTime.Add(1)
	err := change(ctx)
	switch {
	case err == nil, errors.Is(err, claimer.ErrLost) && in.kind == releaseCall:
		// Another daemon can write the row only after the release took effect.
		s.record(client, in, call, succeeded, false)
	case errors.Is(err, claimer.ErrLost):
		s.t.Errorf("claim %d was changed by another writer before it finished", number)
	default:
		s.record(client, in, call, unknownEffect, true)
	}
}

func (s *simulation) look(ctx context.Context, client int, c *claimer.Claimer) {
	call := s.logicalTime.Add(1)
	record, found, err := c.Look(ctx, "org", "key")
	if err != nil {
		return
	}
	s.mu.Lock()
	l := lookResult{found: found, claim: s.claims[record.Nonce], answered: found && record.State == claimer.Answered}
	s.mu.Unlock()
	if !found {
		l.claim = 0
	}
	s.record(client, input{kind: lookCall}, call, l, false)
}

// run starts the daemons and has each perform its actions on one key.
func (s *simulation) run(faults []fault, daemons [][]action) {
	s.claims = map[string]int{}
	table := &faultyTable{plan: faults}
	ctx, cancel := context.WithCancel(context.Background())
	var clients, loops sync.WaitGroup
	for client, actions := range daemons {
		writer := &claimer.Writer{Table: table, Clock: bubbleClock{}}
		reader := &claimer.Reader{Table: table}
		loops.Go(func() { writer.Run(ctx) })
		loops.Go(func() { reader.Run(ctx) })
		c := &claimer.Claimer{Committer: writer, Reader: reader, Clock: bubbleClock{}, Holder: fmt.Sprint(client)}
		clients.Go(func() {
			for _, a := range actions {
				s.perform(ctx, client, c, a)
			}
		})
	}
	clients.Wait()
	// Waits for the claimers to release their doubtful claims.
	time.Sleep(2 * time.Minute)
	cancel()
	loops.Wait()
	table.lateWrites.Wait()
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

// TestHistories runs two or three daemons that claim, use and read one key while
// calls of the table fail, are lost or take effect late. The key must run at
// most once, and the history of calls must be linearizable under keyModel.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.Map(rapid.IntRange(0, int(faultCount)-1), func(i int) fault { return fault(i) }), 0, 12)
		plan := faults.Draw(rt, "plan")
		daemons := rapid.SliceOfN(rapid.SliceOfN(actions(), 1, 4), 2, 3).Draw(rt, "daemons")
		s := &simulation{}
		synctest.Test(t, func(t *testing.T) {
			s.t = t
			s.run(plan, daemons)
		})
		if n := s.executions.Load(); n > 1 {
			rt.Fatalf("the request of the key was sent %d times", n)
		}
		if result := porcupine.CheckOperationsTimeout(keyModel(), s.history, time.Minute); result != porcupine.Ok {
			rt.Fatalf("linearizability check is %s: %+v", result, s.history)
		}
	})
}
