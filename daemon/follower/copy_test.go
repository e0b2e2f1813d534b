package follower

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func put(key string, version int64) Row {
	return Row{Table: "t", Key: key, Value: []byte(fmt.Sprint(key, version)), Version: version}
}

func TestListingRemovesWhatItDoesNotName(t *testing.T) {
	c := NewCopy()
	c.List("t", []Row{put("a", 1), put("b", 2)}, 2)
	changed := c.List("t", []Row{put("b", 5)}, 7)
	if len(changed) != 2 || !changed[0].Gone || changed[0].Key != "a" || string(changed[1].Before) != "b2" {
		t.Errorf("%+v", changed)
	}
	if rows := c.Rows("t"); len(rows) != 1 || rows[0].Version != 5 || c.Complete("t") != 7 {
		t.Errorf("%+v as of %d", rows, c.Complete("t"))
	}
	// A listing that is older than what is known takes nothing back.
	c.Apply("t", []Row{put("c", 9)}, 9)
	if changed = c.List("t", []Row{put("b", 5)}, 8); len(changed) != 0 || len(c.Rows("t")) != 2 {
		t.Errorf("%+v", changed)
	}
}

// TestOrderOfNewsDoesNotMatter brings the same changes to two copies in
// different orders and more than once.
func TestOrderOfNewsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		var all []Row
		for version := range count {
			row := put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), int64(version+1))
			row.Gone = rapid.Bool().Draw(t, "gone")
			all = append(all, row)
		}
		one, other := NewCopy(), NewCopy()
		one.Apply("t", all, int64(count))
		for _, row := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			other.Apply("t", []Row{row}, row.Version)
		}
		if a, b := fmt.Sprint(one.Rows("t")), fmt.Sprint(other.Rows("t")); a != b {
			t.Fatalf("%s and %s", a, b)
		}
		if one.Newest("t") != other.Newest("t") {
			t.Fatalf("newest %d and %d", one.Newest("t"), other.Newest("t"))
		}
	})
}

// word is the part of a value that matters to sameWord: its first letter.
func sameWord(known, row Row) bool { return known.Value[0] == row.Value[0] }

func says(word byte, key string, version int64) Row {
	return Row{Table: "t", Key: key, Value: fmt.Append([]byte{word}, version), Version: version}
}

func TestRowThatIsWrittenAgainIsNoNews(t *testing.T) {
	ahead, behind := NewCopy(), NewCopy()
	ahead.Same, behind.Same = sameWord, sameWord
	for _, c := range []*Copy{ahead, behind} {
		c.List("t", []Row{says('x', "a", 1), says('x', "b", 2)}, 2)
	}
	const renewals = 400
	told := 0
	for version := int64(3); version < 3+renewals; version++ {
		if changed := ahead.Continue("t", []Row{says('x', "a", version)}, version); len(changed) != 0 {
			t.Errorf("changes %+v", changed)
		}
		news := ahead.Newer("t", behind.Newest("t"))
		told += len(news)
		behind.Apply("t", news, ahead.Newest("t"))
	}
	if told == 0 || told > 2*renewals/renewalsPerNews {
		t.Errorf("%d of %d renewals are told", told, renewals)
	}
	// What is older than a renewal takes nothing back.
	if changed := ahead.List("t", []Row{says('x', "b", 2)}, 2); len(changed) != 0 {
		t.Errorf("an old listing changed %+v", changed)
	}
	changed := ahead.Continue("t", []Row{says('y', "a", 5000)}, 5000)
	if len(changed) != 1 || len(ahead.Newer("t", behind.Newest("t"))) != 1 {
		t.Errorf("changes %+v", changed)
	}
}

func TestPeerThatIsBehindGetsRemovalsToo(t *testing.T) {
	ahead, behind := NewCopy(), NewCopy()
	ahead.List("t", []Row{put("a", 1), put("b", 2)}, 2)
	behind.List("t", []Row{put("a", 1), put("b", 2)}, 2)
	ahead.Apply("t", []Row{{Table: "t", Key: "a", Version: 3, Gone: true}, put("c", 4)}, 4)
	behind.Apply("t", ahead.Newer("t", behind.Newest("t")), 4)
	if rows := behind.Rows("t"); len(rows) != 2 || rows[0].Key != "b" || rows[1].Key != "c" {
		t.Errorf("%+v", rows)
	}
}

func TestRemovedRowsAreBounded(t *testing.T) {
	c := NewCopy()
	for version := int64(1); version < 3*maxGone; version += 2 {
		key := fmt.Sprint(version)
		c.Apply("t", []Row{put(key, version)}, version)
		c.Apply("t", []Row{{Table: "t", Key: key, Version: version + 1, Gone: true}}, version+1)
	}
	if len(c.rows) > maxGone {
		t.Errorf("%d rows are kept", len(c.rows))
	}
}

func TestLapsedRowsCountUntilTheirWritersHadTime(t *testing.T) {
	var l lapses
	gone := Change{Row: Row{Key: "a", Gone: true, Version: 7}, Before: []byte("v")}
	l.note(1000, gone)
	if len(l.held) != 0 {
		t.Error("a removal at a sound register is no lapse")
	}
	l.failed()
	l.answered(3000)
	l.note(3100, gone)
	if string(l.held["a"].value) != "v" || l.next() != 3000+patience || l.settled(9) != 6 {
		t.Errorf("a lapse is not held from the return of the register on: %+v", l)
	}
	l.note(3500, Change{Row: Row{Key: "a", Value: []byte("v"), Version: 8}})
	if len(l.held) != 0 || l.settled(9) != 9 || l.next() != 0 {
		t.Error("a row that was written again is still held")
	}
	// What goes later after the return is held no longer than that.
	l.note(3000+patience-100, gone)
	if l.expire(3000+patience-1) || !l.expire(3000+patience) || len(l.held) != 0 {
		t.Error("held beyond the time that writers have since the return")
	}
	l.note(3000+patience, gone)
	if len(l.held) != 0 {
		t.Error("a removal long after the trouble is no lapse")
	}
}
