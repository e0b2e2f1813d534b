package configurer_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/configurer"
)

// proposal is the input of one Commit call of an operator.
type proposal struct {
	base int64
	id   string
}

// outcome is the result of the call: an accepted revision or a conflict.
type outcome struct {
	revision int64
	conflict bool
}

// revisionModel is the sequential specification: a change is accepted if and only
// if its base is the newest revision.
func revisionModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return int64(0) },
		Step: func(state, input, output any) (bool, any) {
			newest, in, out := state.(int64), input.(proposal), output.(outcome)
			if out.conflict {
				return newest != in.base, newest
			}
			return newest == in.base && out.revision == in.base+1, newest + 1
		},
		Equal: func(a, b any) bool { return a.(int64) == b.(int64) },
	}
}

// recordRevisions polls and records each configuration that a daemon has in force,
// until ctx ends.
func recordRevisions(ctx context.Context, c *configurer.Configurer, record func(config *inventory.Config)) {
	last := int64(-1)
	for ctx.Err() == nil {
		_ = c.Poll(ctx)
		if config := c.Current(); config.Revision != last {
			record(config)
			last = config.Revision
		}
		time.Sleep(time.Millisecond)
	}
}

// TestConcurrentCommitsAreLinearizable guards against changes that are lost, doubled
// or in force in another order when operators commit at several daemons at the same
// time and replies of the table are lost.
func TestConcurrentCommitsAreLinearizable(t *testing.T) {
	const operators, changes = 2, 100
	table := newTable()
	table.lostReplyShare = 0.2
	daemons := newDaemons(t, table, 3)
	ctx, cancel := context.WithCancel(t.Context())
	var watchers sync.WaitGroup
	seen := make([][]*inventory.Config, len(daemons))
	for i, c := range daemons {
		watchers.Go(func() { recordRevisions(ctx, c, func(config *inventory.Config) { seen[i] = append(seen[i], config) }) })
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	accepted := map[int64]string{}
	started := time.Now()
	var wait sync.WaitGroup
	for o := range operators {
		wait.Go(func() {
			for n := 0; n < changes; {
				c := daemons[(o+n)%len(daemons)]
				in := proposal{base: c.Current().Revision, id: fmt.Sprintf("%d-%d", o, n)}
				call := time.Since(started).Nanoseconds()
				revision, err := c.Commit(t.Context(), poolChange(in.base, in.id, "p", in.id))
				if err != nil && !errors.Is(err, configurer.ErrConflict) {
					t.Errorf("commit: %v", err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: o, Input: in, Call: call,
					Output: outcome{revision, err != nil}, Return: time.Since(started).Nanoseconds(),
				})
				if err == nil {
					accepted[revision] = in.id
					n++
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	for _, c := range daemons {
		if err := c.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	watchers.Wait()
	if !porcupine.CheckOperations(revisionModel(), history) {
		t.Error("the history is not linearizable")
	}
	if len(accepted) != operators*changes {
		t.Errorf("%d revisions accepted for %d changes", len(accepted), operators*changes)
	}
	for i, c := range daemons {
		if c.Current().Revision != operators*changes {
			t.Errorf("daemon %d is at revision %d", i, c.Current().Revision)
		}
		last := int64(0)
		for _, config := range seen[i] {
			p, _ := inventory.Lookup(config.Pools, "p")
			if config.Revision < last || config.Revision > 0 && p.Version != accepted[config.Revision] {
				t.Errorf("daemon %d had %q in force as revision %d after %d", i, p.Version, config.Revision, last)
			}
			last = config.Revision
		}
	}
}
