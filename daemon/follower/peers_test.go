package follower

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
)

// newListener returns a follower of table t that does not run.
func newListener() *Follower {
	f := &Follower{Tables: Tables{Config: "c", ConfigKey: "k", Upstreams: "t"}}
	f.setup()
	f.copy.Same = sameWord
	return f
}

// TestPeersLearnAllThatMatters lets one copy follow all changes, one list the
// table from time to time, one read seldom, so that changes of a row in between
// are one for it, and one hear from these only.
func TestPeersLearnAllThatMatters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth, listener := map[string]Row{}, newListener()
		reader, lister, sleeper := newListener(), newListener(), newListener()
		hear := func(from *Follower) { listener.takeReply(from.reply(listener.asks()), "peer") }
		rows := func() (all []Row) {
			for _, row := range truth {
				all = append(all, row)
			}
			return all
		}
		version := int64(0)
		write := func(row Row) {
			truth[row.Key] = row
			reader.copy.Continue("t", []Row{row}, version)
		}
		for range rapid.IntRange(1, 60).Draw(t, "count") {
			version++
			row := says(rapid.SampledFrom([]byte("xxxy")).Draw(t, "word"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), version)
			if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
				row.Gone, row.Value = true, nil
			}
			write(row)
			switch rapid.IntRange(0, 6).Draw(t, "next") {
			case 0:
				hear(reader)
			case 1:
				hear(lister)
			case 2:
				hear(sleeper)
			case 3:
				present := slices.DeleteFunc(rows(), func(row Row) bool { return row.Gone })
				lister.copy.List("t", present, version)
			case 4:
				sleeper.copy.Continue("t", rows(), version)
			}
		}
		// The writers go on until the next renewal of each row is one that is told.
		for _, row := range rows() {
			for told := row.Gone; !told; told = toldAgain(row) {
				version++
				row = says(row.Value[0], row.Key, version)
				write(row)
			}
		}
		hear(lister)
		hear(sleeper)
		hear(reader)
		for key, row := range truth {
			known := listener.copy.rows[place{"t", key}]
			if present := known.Value != nil; present == row.Gone {
				t.Fatalf("%s: %+v, true is %+v", key, known, row)
			}
			if !row.Gone && !sameWord(known, row) {
				t.Fatalf("%s says %s, true is %s", key, known.Value, row.Value)
			}
		}
	})
}

func TestLargeTableIsToldWholeWhereItIsAskedFor(t *testing.T) {
	const count = 2 * wholeRows
	var rows []Row
	for i := range int64(count) {
		rows = append(rows, says('x', fmt.Sprint(i), i+1))
	}
	listener, restarted := newListener(), newListener()
	listener.copy.List("t", rows, count)
	// The first row is removed, another one comes, and a daemon starts anew.
	rows = append(rows[1:], says('x', "new", count+2))
	restarted.copy.List("t", rows, count+2)
	for meeting := range mostWithheld + 1 {
		reply := restarted.reply(listener.asks())
		listener.takeReply(reply, "peer")
		if asked := meeting == mostWithheld; (len(reply.GetRows()) > 0) != asked {
			t.Fatalf("meeting %d: %d rows", meeting, len(reply.GetRows()))
		}
	}
	if known := listener.copy.Rows("t"); len(known) != count || listener.copy.Newest("t") != count+2 {
		t.Errorf("%d rows, newest %d", len(known), listener.copy.Newest("t"))
	}
	if reply := restarted.reply(listener.asks()); len(reply.GetRows()) != 0 {
		t.Errorf("%d rows are told again", len(reply.GetRows()))
	}
}

func TestLapsedRowsAreNotToldAsRemoved(t *testing.T) {
	teller, listener := newListener(), newListener()
	teller.copy.List("t", []Row{says('x', "a", 1), says('x', "b", 2)}, 2)
	listener.takeReply(teller.reply(listener.asks()), "peer")
	gone := teller.copy.Continue("t", []Row{{Table: "t", Key: "a", Version: 3, Gone: true}}, 3)
	teller.lapses.massive(0)
	teller.lapses.returned = 1
	teller.lapses.note(2, gone[0])
	listener.takeReply(teller.reply(listener.asks()), "peer")
	if rows := listener.copy.Rows("t"); len(rows) != 2 {
		t.Errorf("known %+v", rows)
	}
	teller.lapses.expire(patience + 1)
	listener.takeReply(teller.reply(listener.asks()), "peer")
	if rows := listener.copy.Rows("t"); len(rows) != 1 || rows[0].Key != "b" {
		t.Errorf("known %+v", rows)
	}
}

func TestDaemonFarBehindCatchesUpInParts(t *testing.T) {
	teller, listener := newListener(), newListener()
	teller.copy.List("t", nil, 1)
	listener.copy.List("t", nil, 1)
	const count = 2*mostRows + 7
	for i := range int64(count) {
		teller.copy.Continue("t", []Row{says('x', fmt.Sprint(i), i+2)}, i+2)
	}
	for part, want := range []int{mostRows, mostRows, 7, 0} {
		reply := teller.reply(listener.asks())
		listener.takeReply(reply, "peer")
		if len(reply.GetRows()) != want {
			t.Fatalf("part %d has %d rows", part, len(reply.GetRows()))
		}
	}
	if known := len(listener.copy.Rows("t")); known != count {
		t.Errorf("%d rows are known", known)
	}
}

// hands is a clock that a test moves.
type hands struct{ now clock.Millis }

func (h *hands) Now() clock.Millis { return h.now }

func TestOnePeerIsFetchedFromAtATime(t *testing.T) {
	at := &hands{now: 1}
	x := &Exchanger{Follower: &Follower{Clock: at}}
	if !x.begin("a") || x.begin("b") || x.begin("c") {
		t.Error("two fetches run at once")
	}
	if next := x.end(); next != "c" || !x.begin(next) || x.end() != "" {
		t.Errorf("after the fetch comes %q", next)
	}
	// One that hangs holds nobody up for long.
	x.begin("a")
	at.now += syncTimeout
	if !x.begin("b") {
		t.Error("a fetch that hangs keeps others from starting")
	}
}

type fakeView []gossiper.Member

func (v fakeView) Self() gossiper.Member      { return v[0] }
func (v fakeView) Members() []gossiper.Member { return v }

func TestMostMeetingsStayInTheRegion(t *testing.T) {
	view := fakeView{{Name: "self", Region: "a"}}
	for i := range 20 {
		view = append(view, gossiper.Member{Name: fmt.Sprint(i), Region: []string{"a", "b", "c", "d"}[i%4]})
	}
	x := &Exchanger{View: view}
	const meetings = 600
	for _, count := range []int{1, spreadPeers} {
		near := 0
		for range meetings {
			for _, m := range x.some(count) {
				if m.Name == "self" {
					t.Fatal("meets itself")
				}
				if m.Region == "a" {
					near++
				}
			}
		}
		if share := float64(near) / float64(meetings*count); share < 0.6 || share > 0.95 {
			t.Errorf("%d at once: %.2f in the own region", count, share)
		}
	}
	alone := &Exchanger{View: fakeView{{Name: "self", Region: "a"}, {Name: "far", Region: "b"}}}
	if len(alone.some(1)) != 1 || len((&Exchanger{View: view[:1]}).some(spreadPeers)) != 0 {
		t.Error("a daemon alone in its region meets nobody, or one alone meets itself")
	}
}
