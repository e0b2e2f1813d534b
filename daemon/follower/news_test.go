package follower

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
)

// newsFleet is a fleet in virtual time whose daemons exchange rows as Exchanger does. The
// first readerCount daemons read the register.
type newsFleet struct {
	random  *rand.Rand
	now     clock.Millis
	events  newsEvents
	daemons []*newsDaemon
}

type newsDaemon struct {
	follower *Follower
	index    int
	// callTime is how long a call from or to this daemon takes.
	callTime clock.Millis
	fetching bool
	next     *newsDaemon
	// knownAt is when it knew the newest change.
	knownAt clock.Millis
}

type newsEvent struct {
	at       clock.Millis
	sequence int
	action   func()
}

type newsEvents []newsEvent

func (e newsEvents) Len() int { return len(e) }
func (e newsEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e newsEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *newsEvents) Push(x any)   { *e = append(*e, x.(newsEvent)) }
func (e *newsEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *newsFleet) after(delay clock.Millis, action func()) {
	heap.Push(&f.events, newsEvent{f.now + delay, f.random.Int(), action})
}

func (f *newsFleet) run(until clock.Millis) {
	for f.events.Len() > 0 && f.events[0].at <= until {
		e := heap.Pop(&f.events).(newsEvent)
		f.now = e.at
		e.action()
	}
	f.now = until
}

// Times of calls between daemons.
const (
	usualCallTime = 5 * clock.Millisecond
	slowCallTime  = 250 * clock.Millisecond
)

func newNewsFleet(count, rows int) *newsFleet {
	f := &newsFleet{random: rand.New(rand.NewPCG(3, uint64(count)))}
	var table []Row
	for i := range Version(rows) {
		table = append(table, newContentRow('x', fmt.Sprint(i), i+1))
	}
	for i := range count {
		d := &newsDaemon{follower: newIdleFollower(), index: i, callTime: usualCallTime}
		d.follower.replica.ApplyListing("t", table, Version(rows))
		f.daemons = append(f.daemons, d)
		f.after(clock.Millis(f.random.IntN(int(syncInterval))), func() { f.syncPeriodically(d) })
	}
	return f
}

func (f *newsFleet) other(d *newsDaemon) *newsDaemon {
	for {
		if p := f.daemons[f.random.IntN(len(f.daemons))]; p != d {
			return p
		}
	}
}

func (f *newsFleet) syncPeriodically(d *newsDaemon) {
	f.fetch(d, f.other(d))
	f.after(syncInterval, func() { f.syncPeriodically(d) })
}

func (f *newsFleet) notify(d *newsDaemon) {
	for range notifiedPeers {
		p := f.other(d)
		have := d.follower.knownVersions()
		f.after(max(d.callTime, p.callTime), func() {
			if p.follower.isBehind(have) {
				f.fetch(p, d)
			}
		})
	}
}

// fetch fetches rows from a peer; one fetch of a daemon runs at a time, and one waits.
func (f *newsFleet) fetch(d, from *newsDaemon) {
	if d.fetching {
		d.next = from
		return
	}
	d.fetching = true
	requested := d.follower.requestedVersions()
	f.after(max(d.callTime, from.callTime), func() {
		reply := from.follower.buildReply(&wire.SyncRequest{Have: requested, AcceptsPacked: true})
		f.after(max(d.callTime, from.callTime), func() { f.receive(d, reply) })
	})
}

func (f *newsFleet) receive(d *newsDaemon, reply *wire.SyncReply) {
	changed := d.follower.applyReply(reply, "peer")
	d.fetching = false
	if changed {
		d.knownAt = f.now
		f.notify(d)
	}
	if next := d.next; next != nil {
		d.next = nil
		f.fetch(d, next)
	}
}

// read lets the readers learn of changes as their feed brings them.
func (f *newsFleet) read(apply func(r *Replica)) {
	for _, d := range f.daemons[:readerCount] {
		f.after(clock.Millis(f.random.IntN(20)), func() {
			apply(d.follower.replica)
			d.knownAt = f.now
			f.notify(d)
		})
	}
}

// latest returns when the last of the daemons learned of the change after a time, or
// fails the test.
func (f *newsFleet) latest(t *testing.T, after clock.Millis, version Version) (delay clock.Millis) {
	t.Helper()
	for _, d := range f.daemons {
		if d.follower.replica.NewestVersion("t") < version {
			t.Fatalf("daemon %d of %d knows version %d, want %d", d.index, len(f.daemons), d.follower.replica.NewestVersion("t"), version)
		}
		delay = max(delay, d.knownAt-after)
	}
	return delay
}

// TestNewsReachesLargeFleetSoon guards against news of a leaving upstream that waits: in a
// steady fleet, where a third of the daemons is slow, and after the register has dropped
// its history, so that its readers have to list a table that is too large to be sent to
// every peer.
func TestNewsReachesLargeFleetSoon(t *testing.T) {
	const rows = 600
	for _, count := range []int{66, 195, 350} {
		for name, within := range map[string]clock.Millis{"steady": clock.Second, "a third slow": 3 * clock.Second, "history dropped": clock.Second} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, count), func(t *testing.T) {
				t.Parallel()
				f := newNewsFleet(count, rows)
				f.run(2 * clock.Second)
				version := Version(rows)
				for i := range 5 {
					version += 3
					row := newContentRow('y', fmt.Sprint(i), version)
					switch name {
					case "a third slow":
						for j, d := range f.daemons {
							if j%3 == 2 {
								d.callTime = slowCallTime
							}
						}
						fallthrough
					case "steady":
						f.read(func(r *Replica) { r.ApplyFeed("t", []Row{row}, version) })
					default:
						// A row came and went unseen; the listing shows all present rows.
						f.read(func(r *Replica) {
							listing := r.Rows("t")
							for k := range listing {
								if listing[k].Key == row.Key {
									listing[k] = row
								}
							}
							r.ApplyListing("t", listing, version)
						})
					}
					start := f.now
					f.run(f.now + 4*clock.Second)
					if delay := f.latest(t, start, version); delay > within {
						t.Errorf("change %d reached all after %d ms, bound %d", i, delay, within)
					}
				}
			})
		}
	}
}
