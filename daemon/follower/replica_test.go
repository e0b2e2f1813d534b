package follower

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func newRow(key string, version Version) Row {
	return Row{Table: "t", Key: key, Value: []byte(fmt.Sprint(key, version.Number())), Version: version}
}

// TestListingRemovesUnlistedRows guards against rows that stay after they were
// removed between two listings, and against an old listing that undoes changes.
func TestListingRemovesUnlistedRows(t *testing.T) {
	replica := NewReplica()
	replica.ApplyListing("t", []Row{newRow("a", 1), newRow("b", 2)}, 2)
	changed := replica.ApplyListing("t", []Row{newRow("b", 5)}, 7)
	if len(changed) != 2 || !changed[0].Removed || changed[0].Key != "a" || string(changed[1].OldValue) != "b2" {
		t.Errorf("%+v", changed)
	}
	if rows := replica.Rows("t"); len(rows) != 1 || rows[0].Version != 5 || replica.CompleteVersion("t") != 7 {
		t.Errorf("%+v as of %d", rows, replica.CompleteVersion("t"))
	}
	// A listing that is older than the known rows removes nothing.
	replica.ApplyRows("t", []Row{newRow("c", 9)}, 9)
	if changed = replica.ApplyListing("t", []Row{newRow("b", 5)}, 8); len(changed) != 0 || len(replica.Rows("t")) != 2 {
		t.Errorf("%+v", changed)
	}
}

// TestReplicasConvergeInAnyOrderOfChanges guards against replicas that diverge
// because changes arrive in different orders and more than once.
func TestReplicasConvergeInAnyOrderOfChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var all []Row
		for version := range count {
			row := newRow(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Version(version+1))
			row.Removed = rapid.Bool().Draw(t, "removed")
			all = append(all, row)
		}
		inOrder, shuffled := NewReplica(), NewReplica()
		inOrder.ApplyRows("t", all, Version(count))
		for _, row := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			shuffled.ApplyRows("t", []Row{row}, row.Version)
		}
		if a, b := fmt.Sprint(inOrder.Rows("t")), fmt.Sprint(shuffled.Rows("t")); a != b {
			t.Fatalf("rows in order %s, shuffled %s", a, b)
		}
		if inOrder.NewestVersion("t") != shuffled.NewestVersion("t") {
			t.Fatalf("newest version in order %d, shuffled %d", inOrder.NewestVersion("t"), shuffled.NewestVersion("t"))
		}
	})
}

// sameContent reports whether two values start with the same letter, which stands
// for the content of a row.
func sameContent(known, row Row) bool { return known.Value[0] == row.Value[0] }

// newContentRow returns a row whose value is the content, one letter, followed by
// the version.
func newContentRow(content byte, key string, version Version) Row {
	return Row{Table: "t", Key: key, Value: fmt.Append([]byte{content}, version), Version: version}
}

// TestFewRenewalsAreSentToPeers guards against renewals that count as changes or
// are all sent to peers, and against old rows that undo a renewal.
func TestFewRenewalsAreSentToPeers(t *testing.T) {
	ahead, behind := NewReplica(), NewReplica()
	ahead.Equivalent, behind.Equivalent = sameContent, sameContent
	for _, replica := range []*Replica{ahead, behind} {
		replica.ApplyListing("t", []Row{newContentRow('x', "a", 1), newContentRow('x', "b", 2)}, 2)
	}
	const renewals = 400
	sentCount := 0
	for version := Version(3); version < 3+renewals; version++ {
		if changed := ahead.ApplyFeed("t", []Row{newContentRow('x', "a", version)}, version); len(changed) != 0 {
			t.Errorf("changes %+v", changed)
		}
		sent := ahead.RowsSince("t", behind.NewestVersion("t"))
		sentCount += len(sent)
		behind.ApplyRows("t", sent, ahead.NewestVersion("t"))
	}
	if sentCount == 0 || sentCount > 2*renewals/renewalsPerSample {
		t.Errorf("%d of %d renewals were sent to peers", sentCount, renewals)
	}
	// A listing that is older than a renewal changes nothing.
	if changed := ahead.ApplyListing("t", []Row{newContentRow('x', "b", 2)}, 2); len(changed) != 0 {
		t.Errorf("an old listing changed %+v", changed)
	}
	changed := ahead.ApplyFeed("t", []Row{newContentRow('y', "a", 5000)}, 5000)
	if len(changed) != 1 || len(ahead.RowsSince("t", behind.NewestVersion("t"))) != 1 {
		t.Errorf("changes %+v", changed)
	}
}

// TestPeerThatIsBehindReceivesRemovals guards against removed rows that stay at a
// peer because it is only sent present rows.
func TestPeerThatIsBehindReceivesRemovals(t *testing.T) {
	ahead, behind := NewReplica(), NewReplica()
	ahead.ApplyListing("t", []Row{newRow("a", 1), newRow("b", 2)}, 2)
	behind.ApplyListing("t", []Row{newRow("a", 1), newRow("b", 2)}, 2)
	ahead.ApplyRows("t", []Row{{Table: "t", Key: "a", Version: 3, Removed: true}, newRow("c", 4)}, 4)
	behind.ApplyRows("t", ahead.RowsSince("t", behind.NewestVersion("t")), 4)
	if rows := behind.Rows("t"); len(rows) != 2 || rows[0].Key != "b" || rows[1].Key != "c" {
		t.Errorf("%+v", rows)
	}
}

// TestRemovedRowsAreBounded guards against memory that grows with each row that
// is added and removed.
func TestRemovedRowsAreBounded(t *testing.T) {
	replica := NewReplica()
	for version := Version(1); version < 3*maxRemovedRows; version += 2 {
		key := fmt.Sprint(version)
		replica.ApplyRows("t", []Row{newRow(key, version)}, version)
		replica.ApplyRows("t", []Row{{Table: "t", Key: key, Version: version + 1, Removed: true}}, version+1)
	}
	if len(replica.rows) > maxRemovedRows {
		t.Errorf("%d rows are kept", len(replica.rows))
	}
}

// TestLapsedRowsAreHeldForTheRewriteGrace guards against upstreams that are dropped
// when an outage of the register removed their rows, and against rows that are held
// without such an outage or for too long.
func TestLapsedRowsAreHeldForTheRewriteGrace(t *testing.T) {
	var tracker lapseTracker
	removal := Change{Row: Row{Key: "a", Removed: true, Version: 7}, OldValue: []byte("v")}
	tracker.noteChange(1000, removal)
	if len(tracker.held) != 0 {
		t.Error("a removal without an outage of the register is held")
	}
	tracker.noteFailure()
	tracker.noteSuccess(3000)
	tracker.noteChange(3100, removal)
	if string(tracker.held["a"].value) != "v" || tracker.nextExpiry() != 3000+rewriteGrace || tracker.settledVersion(9) != 6 {
		t.Errorf("a lapsed row is not held for the grace after the recovery: %+v", tracker)
	}
	tracker.noteChange(3500, Change{Row: Row{Key: "a", Value: []byte("v"), Version: 8}})
	if len(tracker.held) != 0 || tracker.settledVersion(9) != 9 || tracker.nextExpiry() != 0 {
		t.Error("a row that was written again is still held")
	}
	// A row that is removed later is held no longer: the grace counts from the
	// recovery of the register.
	tracker.noteChange(3000+rewriteGrace-100, removal)
	if tracker.expire(3000+rewriteGrace-1) || !tracker.expire(3000+rewriteGrace) || len(tracker.held) != 0 {
		t.Error("a row is not held exactly until the end of the grace after the recovery")
	}
	tracker.noteChange(3000+rewriteGrace, removal)
	if len(tracker.held) != 0 {
		t.Error("a removal after the end of the grace is held")
	}
}
