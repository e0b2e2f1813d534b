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

// TestRetryAfterLostReplyReturnsTheRevision guards against a change that is committed
// twice, or reported as a conflict with itself, because a reply was lost.
func TestRetryAfterLostReplyReturnsTheRevision(t *testing.T) {
	table := newTable()
	daemons := newDaemons(t, table, 2)
	table.update(func(t *fakeTable) { t.lostReplyShare = 1 })
	if got := mustCommit(t, daemons[0], "one"); got != 1 {
		t.Fatalf("revision %d, want 1", got)
	}
	// The operator's connection breaks too, and the call is repeated at another
	// daemon.
	again, err := daemons[1].Commit(t.Context(), poolChange(0, "one", "p", "one"))
	if err != nil || again != 1 {
		t.Fatalf("the repeated call returned revision %d, error %v, want revision 1", again, err)
	}
	// The call is repeated once more when the daemon knows the revision.
	if err = daemons[1].Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	again, err = daemons[1].Commit(t.Context(), poolChange(0, "one", "p", "one"))
	if err != nil || again != 1 {
		t.Fatalf("the repeated call at a daemon that knows the revision returned revision %d, error %v, want revision 1", again, err)
	}
	_, err = daemons[1].Commit(t.Context(), poolChange(0, "one", "p", "other"))
	if !errors.Is(err, configurer.ErrChangeID) {
		t.Fatalf("another change with the same ID returned %v, want ErrChangeID", err)
	}
}

// TestConflictListsTheChangedEntries guards against a conflict that doesn't tell the
// operator which entries were changed since the base.
func TestConflictListsTheChangedEntries(t *testing.T) {
	daemons := newDaemons(t, newTable(), 1)
	mustCommit(t, daemons[0], "one")
	mustCommit(t, daemons[0], "two")
	_, err := daemons[0].Commit(t.Context(), poolChange(0, "late", "q", "1"))
	var conflict *configurer.Conflict
	if !errors.As(err, &conflict) || conflict.Revision != 2 || !conflict.Complete {
		t.Fatalf("got %v", err)
	}
	d := conflict.Differences
	if len(d) != 1 || d[0].Name != "p" || d[0].Revision != 2 || len(d[0].Value) == 0 {
		t.Fatalf("got %+v", d)
	}
}

// TestInvalidChangeIsRejectedWithAllMistakes guards against an invalid change that is
// applied in part or reported with its first mistake only, and against a dry run that
// writes.
func TestInvalidChangeIsRejectedWithAllMistakes(t *testing.T) {
	daemons := newDaemons(t, newTable(), 1)
	bad := poolChange(0, "bad", "p", "1")
	bad.Set = append(bad.Set,
		inventory.Entry{Key: inventory.Key{Kind: inventory.TierKind, Name: "t"}, Value: []byte(`{"name":"t","rank":3,"deadline_ms":0}`)},
		inventory.Entry{Key: inventory.Key{Kind: inventory.RouteKind, Name: "r"}, Value: []byte(`{"name":"r","path":"x","pool":"none","tier":"t"}`)},
	)
	for _, err := range []error{
		daemons[0].Preview(t.Context(), bad),
		func() error { _, err := daemons[0].Commit(t.Context(), bad); return err }(),
	} {
		if !errors.Is(err, configurer.ErrInvalid) || len(inventory.ValidationErrors(err)) != 4 {
			t.Fatalf("got %v", err)
		}
	}
	if c := daemons[0].Current(); c.Revision != 0 || len(c.Pools) != 0 {
		t.Fatalf("the invalid change is in force: %+v", c)
	}
	if err := daemons[0].Preview(t.Context(), poolChange(0, "good", "p", "1")); err != nil {
		t.Fatal(err)
	}
	if c := daemons[0].Current(); c.Revision != 0 {
		t.Fatal("a dry run was committed")
	}
}

// TestPollAppliesChangesOfLostPushes guards against a daemon that stays behind because
// pushes to it are lost, and against a status that hides it.
func TestPollAppliesChangesOfLostPushes(t *testing.T) {
	daemons := newDaemons(t, newTable(), 3)
	for _, c := range daemons {
		c.Peers.(*fakePeers).losesPushes = true
	}
	mustCommit(t, daemons[0], "one")
	if err := daemons[1].Poll(t.Context()); err != nil || poolVersion(daemons[1]) != "one" {
		t.Fatalf("in force %q, %v", poolVersion(daemons[1]), err)
	}
	status := daemons[0].Status(t.Context())
	if status.Accepted != 1 || status.InForce != 2 || status.Daemons != 3 || len(status.Missing) != 1 || !status.Missing[0].Reached {
		t.Fatalf("status %+v", status)
	}
}

// restarted returns a configurer as after a restart of the daemon's process.
func restarted(old *configurer.Configurer) *configurer.Configurer {
	return &configurer.Configurer{Table: old.Table, Objects: old.Objects, Peers: old.Peers, Clock: old.Clock, Daemon: old.Daemon}
}

// TestRestartDuringTableOutageNeedsAReadyPeer guards against a daemon that becomes
// ready without knowing the newest revision. While the table is down, only a daemon
// that is ready can provide it.
func TestRestartDuringTableOutageNeedsAReadyPeer(t *testing.T) {
	table := newTable()
	daemons := newDaemons(t, table, 2)
	for i := range 5 {
		mustCommit(t, daemons[0], fmt.Sprint(i))
	}
	table.update(func(t *fakeTable) { t.down = true })
	replacement := restarted(daemons[1])
	if err := replacement.Poll(t.Context()); err == nil {
		t.Fatal("poll returned no error although the table is down")
	}
	if !replacement.Ready() || replacement.Current().Revision != 5 {
		t.Fatalf("ready %v at revision %d, want 5", replacement.Ready(), replacement.Current().Revision)
	}
	// Both daemons restart: none knows the newest revision any more.
	first, second := restarted(daemons[0]), restarted(daemons[1])
	first.Peers = &fakePeers{others: []*configurer.Configurer{second}}
	second.Peers = &fakePeers{others: []*configurer.Configurer{first}}
	for range 10 {
		_ = first.Poll(t.Context())
		_ = second.Poll(t.Context())
		if first.Ready() || second.Ready() {
			t.Fatal("a daemon is ready although none knows the newest revision")
		}
	}
	if _, err := first.Commit(t.Context(), poolChange(0, "x", "p", "x")); platform.EffectOf(err) != platform.NoEffect {
		t.Fatalf("commit returned %v, want effect NoEffect", err)
	}
	table.update(func(t *fakeTable) { t.down = false })
	if err := first.Poll(t.Context()); err != nil || !first.Ready() || first.Current().Revision != 5 {
		t.Fatalf("after the recovery of the table: ready %v, revision %d, error %v", first.Ready(), first.Current().Revision, err)
	}
}

// TestOlderTableStateNeverTakesEffect guards against a table that returns an earlier
// state, from a stale read or a restored backup: it must neither set the configuration
// back nor be written to.
func TestOlderTableStateNeverTakesEffect(t *testing.T) {
	table := newTable()
	daemons := newDaemons(t, table, 2)
	mustCommit(t, daemons[0], "one")
	table.update(func(t *fakeTable) { t.staleRows = maps.Clone(t.rows) })
	mustCommit(t, daemons[0], "two")
	if err := daemons[1].Poll(t.Context()); err != nil || poolVersion(daemons[1]) != "two" {
		t.Fatalf("in force %q, %v", poolVersion(daemons[1]), err)
	}
	replacement := restarted(daemons[1])
	_ = replacement.Poll(t.Context())
	if poolVersion(replacement) != "two" || !replacement.Ready() {
		t.Fatalf("after a restart: %q, ready %v", poolVersion(replacement), replacement.Ready())
	}
	// The table itself is restored to an earlier state, as from a backup: nothing
	// may be written on top of it.
	table.update(func(t *fakeTable) { t.rows = maps.Clone(t.staleRows) })
	again := restarted(daemons[1])
	_ = again.Poll(t.Context())
	for _, c := range []*configurer.Configurer{daemons[0], replacement, again} {
		_, err := c.Commit(t.Context(), poolChange(2, "three", "p", "three"))
		if !errors.Is(err, configurer.ErrStaleTable) || platform.EffectOf(err) != platform.NoEffect {
			t.Fatalf("commit returned %v, want ErrStaleTable with effect NoEffect", err)
		}
	}
}

// TestUndoCreatesANewRevision guards against an undo that overwrites later changes of
// the same entries or leaves no trace in the history and the audit log.
func TestUndoCreatesANewRevision(t *testing.T) {
	daemons := newDaemons(t, newTable(), 1)
	c := daemons[0]
	mustCommit(t, c, "one")
	mustCommit(t, c, "two")
	if _, err := c.Commit(t.Context(), poolChange(2, "other", "q", "1")); err != nil {
		t.Fatal(err)
	}
	inverse, err := c.BuildUndo(t.Context(), 2, 3)
	if err != nil {
		t.Fatal(err)
	}
	inverse.ChangeID = "undo"
	if revision, err := c.Commit(t.Context(), inverse); err != nil || revision != 4 || poolVersion(c) != "one" {
		t.Fatalf("revision %d, in force %q, %v", revision, poolVersion(c), err)
	}
	if _, err = c.BuildUndo(t.Context(), 1, 4); !errors.Is(err, configurer.ErrConflict) {
		t.Fatalf("undo of an entry that was changed later returned %v, want ErrConflict", err)
	}
	history, err := c.History(t.Context(), 1, 0)
	if err != nil || len(history) != 3 || history[0].ChangeID != "two" {
		t.Fatalf("history %+v, %v", history, err)
	}
	entries, next, err := c.Audit(t.Context(), "", 3)
	if err != nil || len(entries) != 3 {
		t.Fatalf("first page of the audit log %+v, error %v", entries, err)
	}
	rest, _, err := c.Audit(t.Context(), next, 3)
	if err != nil || len(rest) != 1 {
		t.Fatalf("second page of the audit log %+v, error %v", rest, err)
	}
}

// TestSnapshotReplacesDeletedRevisions guards against a daemon that can't start because
// the oldest revisions are no longer in the table.
func TestSnapshotReplacesDeletedRevisions(t *testing.T) {
	table := newTable()
	daemons := newDaemons(t, table, 1)
	for i := range 900 {
		mustCommit(t, daemons[0], fmt.Sprint(i))
	}
	replacement := restarted(daemons[0])
	replacement.Peers = nil
	// Only the newest rows are left, as after a long history.
	head := daemons[0].Current().Revision
	table.update(func(t *fakeTable) {
		for r := range head - 350 {
			delete(t.rows, inventory.RevisionKey(r+1))
		}
	})
	if err := replacement.Poll(t.Context()); err != nil || poolVersion(replacement) != "899" {
		t.Fatalf("in force %q, %v", poolVersion(replacement), err)
	}
}
