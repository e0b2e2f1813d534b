package configurer_test

import (
	"errors"
	"fmt"
	"maps"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
)

func TestLostReplyIsSettledByTheChangeID(t *testing.T) {
	store := newTable()
	all := daemons(t, store, 2)
	store.set(func(t *table) { t.lose = 1 })
	if got := commit(t, all[0], "one"); got != 1 {
		t.Fatalf("revision %d, want 1", got)
	}
	// The operator's own connection broke too: the same call at another daemon.
	again, err := all[1].Commit(t.Context(), pool(0, "one", "p", "one"))
	if err != nil || again != 1 {
		t.Fatalf("the repeated call gave %d, %v", again, err)
	}
	// Once more, now that the daemon surely knows the revision.
	if err = all[1].Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	again, err = all[1].Commit(t.Context(), pool(0, "one", "p", "one"))
	if err != nil || again != 1 {
		t.Fatalf("the call after the revision was known gave %d, %v", again, err)
	}
	_, err = all[1].Commit(t.Context(), pool(0, "one", "p", "other"))
	if !errors.Is(err, configurer.ErrChangeID) {
		t.Fatalf("another change under the same id gave %v", err)
	}
}

func TestConflictTellsTheEntriesThatDiffer(t *testing.T) {
	all := daemons(t, newTable(), 1)
	commit(t, all[0], "one")
	commit(t, all[0], "two")
	_, err := all[0].Commit(t.Context(), pool(0, "late", "q", "1"))
	var conflict *configurer.Conflict
	if !errors.As(err, &conflict) || conflict.Revision != 2 || !conflict.Whole {
		t.Fatalf("got %v", err)
	}
	d := conflict.Differences
	if len(d) != 1 || d[0].Name != "p" || d[0].Revision != 2 || len(d[0].Value) == 0 {
		t.Fatalf("got %+v", d)
	}
}

func TestBadChangeIsRefusedWholeWithAllMistakes(t *testing.T) {
	all := daemons(t, newTable(), 1)
	bad := pool(0, "bad", "p", "1")
	bad.Set = append(bad.Set,
		inventory.Entry{Key: inventory.Key{Kind: inventory.TierKind, Name: "t"}, Value: []byte(`{"name":"t","rank":3,"deadline_ms":0}`)},
		inventory.Entry{Key: inventory.Key{Kind: inventory.RouteKind, Name: "r"}, Value: []byte(`{"name":"r","path":"x","pool":"none","tier":"t"}`)},
	)
	for _, err := range []error{
		all[0].Preview(t.Context(), bad),
		func() error { _, err := all[0].Commit(t.Context(), bad); return err }(),
	} {
		if !errors.Is(err, configurer.ErrInvalid) || len(inventory.Mistakes(err)) != 4 {
			t.Fatalf("got %v", err)
		}
	}
	if c := all[0].Current(); c.Revision != 0 || len(c.Pools) != 0 {
		t.Fatalf("in force: %+v", c)
	}
	if err := all[0].Preview(t.Context(), pool(0, "good", "p", "1")); err != nil {
		t.Fatal(err)
	}
	if c := all[0].Current(); c.Revision != 0 {
		t.Fatal("a dry run was accepted")
	}
}

func TestPollBringsWhatPushesLost(t *testing.T) {
	all := daemons(t, newTable(), 3)
	for _, c := range all {
		c.Peers.(*peers).loses = true
	}
	commit(t, all[0], "one")
	if err := all[1].Poll(t.Context()); err != nil || version(all[1]) != "one" {
		t.Fatalf("in force %q, %v", version(all[1]), err)
	}
	status := all[0].Status(t.Context())
	if status.Accepted != 1 || status.InForce != 2 || status.Daemons != 3 || len(status.Missing) != 1 || !status.Missing[0].Reached {
		t.Fatalf("status %+v", status)
	}
}

// restart returns a new process in place of the daemon.
func restart(old *configurer.Configurer) *configurer.Configurer {
	return &configurer.Configurer{Table: old.Table, Objects: old.Objects, Peers: old.Peers, Clock: old.Clock, Daemon: old.Daemon}
}

func TestRestartWithTheTableDownNeedsADaemonThatKnows(t *testing.T) {
	store := newTable()
	all := daemons(t, store, 2)
	for i := range 5 {
		commit(t, all[0], fmt.Sprint(i))
	}
	store.set(func(t *table) { t.down = true })
	fresh := restart(all[1])
	if err := fresh.Poll(t.Context()); err == nil {
		t.Fatal("a table that is down was not told")
	}
	if !fresh.Ready() || fresh.Current().Revision != 5 {
		t.Fatalf("ready %v at revision %d, want 5", fresh.Ready(), fresh.Current().Revision)
	}
	// Both die: nobody knows the newest revision any more.
	first, second := restart(all[0]), restart(all[1])
	first.Peers = &peers{others: []*configurer.Configurer{second}}
	second.Peers = &peers{others: []*configurer.Configurer{first}}
	for range 10 {
		_ = first.Poll(t.Context())
		_ = second.Poll(t.Context())
		if first.Ready() || second.Ready() {
			t.Fatal("ready without anyone who knows")
		}
	}
	if _, err := first.Commit(t.Context(), pool(0, "x", "p", "x")); platform.CertaintyOf(err) != platform.NotDone {
		t.Fatalf("commit gave %v", err)
	}
	store.set(func(t *table) { t.down = false })
	if err := first.Poll(t.Context()); err != nil || !first.Ready() || first.Current().Revision != 5 {
		t.Fatalf("with the table back: ready %v, revision %d, %v", first.Ready(), first.Current().Revision, err)
	}
}

func TestOlderStateOfTheTableNeverComesInForce(t *testing.T) {
	store := newTable()
	all := daemons(t, store, 2)
	commit(t, all[0], "one")
	store.set(func(t *table) { t.older = maps.Clone(t.rows) })
	commit(t, all[0], "two")
	if err := all[1].Poll(t.Context()); err != nil || version(all[1]) != "two" {
		t.Fatalf("in force %q, %v", version(all[1]), err)
	}
	fresh := restart(all[1])
	_ = fresh.Poll(t.Context())
	if version(fresh) != "two" || !fresh.Ready() {
		t.Fatalf("after a restart: %q, ready %v", version(fresh), fresh.Ready())
	}
	// The table itself was set back, as from a backup: nothing may be written
	// on top of it.
	store.set(func(t *table) { t.rows = maps.Clone(t.older) })
	again := restart(all[1])
	_ = again.Poll(t.Context())
	for _, c := range []*configurer.Configurer{all[0], fresh, again} {
		_, err := c.Commit(t.Context(), pool(2, "three", "p", "three"))
		if !errors.Is(err, configurer.ErrOldTable) || platform.CertaintyOf(err) != platform.NotDone {
			t.Fatalf("commit gave %v", err)
		}
	}
}

func TestUndoIsANewRevision(t *testing.T) {
	all := daemons(t, newTable(), 1)
	c := all[0]
	commit(t, c, "one")
	commit(t, c, "two")
	if _, err := c.Commit(t.Context(), pool(2, "other", "q", "1")); err != nil {
		t.Fatal(err)
	}
	inverse, err := c.Undoing(t.Context(), 2, 3)
	if err != nil {
		t.Fatal(err)
	}
	inverse.ChangeID = "undo"
	if revision, err := c.Commit(t.Context(), inverse); err != nil || revision != 4 || version(c) != "one" {
		t.Fatalf("revision %d, in force %q, %v", revision, version(c), err)
	}
	if _, err = c.Undoing(t.Context(), 1, 4); !errors.Is(err, configurer.ErrConflict) {
		t.Fatalf("undo under later changes gave %v", err)
	}
	history, err := c.History(t.Context(), 1, 0)
	if err != nil || len(history) != 3 || history[0].ChangeID != "two" {
		t.Fatalf("history %+v, %v", history, err)
	}
	entries, next, err := c.Audit(t.Context(), "", 3)
	if err != nil || len(entries) != 3 {
		t.Fatalf("audit %+v, %v", entries, err)
	}
	rest, _, err := c.Audit(t.Context(), next, 3)
	if err != nil || len(rest) != 1 {
		t.Fatalf("rest of the audit %+v, %v", rest, err)
	}
}

func TestSnapshotTakesTheWayOfALongHistory(t *testing.T) {
	store := newTable()
	all := daemons(t, store, 1)
	for i := range 900 {
		commit(t, all[0], fmt.Sprint(i))
	}
	fresh := restart(all[0])
	fresh.Peers = nil
	// Only the newest rows are left, as after a long time.
	head := all[0].Current().Revision
	store.set(func(t *table) {
		for r := range head - 350 {
			delete(t.rows, inventory.RevisionKey(r+1))
		}
	})
	if err := fresh.Poll(t.Context()); err != nil || version(fresh) != "899" {
		t.Fatalf("in force %q, %v", version(fresh), err)
	}
}
