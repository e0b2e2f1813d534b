package scheduler_test

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// fuzzInput draws values from the fuzzer's bytes; an exhausted input draws zeros.
type fuzzInput struct{ bytes []byte }

func (f *fuzzInput) byte() byte {
	if len(f.bytes) == 0 {
		return 0
	}
	b := f.bytes[0]
	f.bytes = f.bytes[1:]
	return b
}

// number draws a number that is mostly small and at times at the edge of its type.
func (f *fuzzInput) number() int64 {
	edges := []int64{0, -1, math.MaxInt64, math.MinInt64, math.MaxInt32, math.MinInt32, 1 << 40}
	switch kind := f.byte(); {
	case kind < 200:
		return int64(kind)
	case kind < 240:
		return int64(int16(binary.LittleEndian.Uint16([]byte{f.byte(), f.byte()})))
	default:
		return edges[int(kind)%len(edges)]
	}
}

func (f *fuzzInput) name(prefix string, count byte) string {
	return fmt.Sprint(prefix, f.byte()%count)
}

// message draws any message of the package, with fields that no daemon would send.
func (f *fuzzInput) message(now clock.Millis) scheduler.Message {
	id := scheduler.AskID{Daemon: f.name("d", 3), Number: uint64(f.byte() % 32)}
	ask := scheduler.Ask{
		ID: id, Organisation: f.name("o", 3), Route: f.name("r", 3), Tier: int(f.number()),
		Deadline: now + clock.Millis(f.number()), PromptTokens: int(f.number()), MaxTokens: int(f.number()), Idempotent: f.byte()%2 == 0,
	}
	if f.byte()%2 == 0 {
		ask.Objective, ask.Patience = now+clock.Millis(f.number()), now+clock.Millis(f.number())
	}
	if f.byte()%4 == 0 {
		ask.Excluded = []string{f.name("u", 4)}
		ask.PrefixHashes = []uint64{uint64(f.byte() % 4), uint64(f.byte() % 4)}
	}
	upstream := f.name("u", 4)
	switch f.byte() % 16 {
	case 0, 1, 2:
		return ask
	case 3:
		return scheduler.Cancel{ID: id}
	case 4:
		return scheduler.Confirm{ID: id}
	case 5, 6:
		return scheduler.FirstToken{ID: id, CachedTokens: int(f.number())}
	case 7, 8:
		return scheduler.End{ID: id, Usage: reserver.Usage{Outcome: reserver.Outcome(f.byte() % 8), OutputTokens: int(f.number())}}
	case 9:
		return scheduler.Announce{Ask: ask, Upstream: upstream, FirstToken: f.byte()%2 == 0}
	case 10:
		return scheduler.DaemonGone{Daemon: id.Daemon}
	case 11:
		return f.upstreams()
	case 12:
		return scheduler.Load{
			Upstream: upstream, Time: now - clock.Millis(f.number()), Running: int(f.number()), Waiting: int(f.number()),
			Version: f.name("v", 2), Leaving: f.byte()%4 == 0,
		}
	case 13:
		return scheduler.CacheChange{Upstream: upstream, Gap: f.byte()%2 == 0, Stored: []uint64{uint64(f.byte() % 4)}, Removed: []uint64{uint64(f.byte() % 4)}}
	case 14:
		if f.byte()%2 == 0 {
			return scheduler.Health{Upstream: upstream, Up: f.byte()%2 == 0}
		}
		return scheduler.Shares{
			Shares: map[string]float64{"v0": float64(f.number()) / 100}, Routes: map[string][]string{"v0": {"r0"}}, NonIdempotent: []string{"v0"},
		}
	default:
		switch f.byte() % 5 {
		case 3:
			return scheduler.Notice{
				Upstream: upstream, HeardAt: now - clock.Millis(f.number()), Limited: f.byte()%2 == 0, Limit: float64(f.number()) / 10,
			}
		case 4:
			return scheduler.Fleet{Divided: f.byte()%2 == 0}
		case 0:
			return scheduler.RegionTier{Scheduler: upstream, Lowest: int(f.number())}
		case 1:
			return scheduler.Rules{
				Tiers:   []inventory.Tier{{Rank: 0, FirstTokenMS: clock.Millis(f.number()), TokenGapMS: clock.Millis(f.number())}, {Rank: 1}},
				Weights: map[string]int{"o0": int(f.number())},
				Limits:  inventory.Limits{QueuePerShard: int(f.number()), EjectShare: float64(f.number()) / 100},
			}
		default:
			return scheduler.Tick{}
		}
	}
}

// upstreams draws a list that may be empty or name an upstream twice.
func (f *fuzzInput) upstreams() scheduler.Upstreams {
	var list []inventory.Upstream
	for range f.byte() % 6 {
		list = append(list, inventory.Upstream{Name: f.name("u", 4), Slots: int(f.number()), Generation: f.name("g", 2), Leaving: f.byte()%4 == 0})
	}
	return scheduler.Upstreams{List: list}
}

// FuzzMessages guards against a scheduler that panics, loops or answers an ask twice
// on messages that arrive in any order with any content.
func FuzzMessages(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		seed := make([]byte, random.IntN(600))
		for i := range seed {
			seed[i] = byte(random.Uint32())
		}
		f.Add(seed)
	}
	f.Fuzz(checkMessages)
}

// checkMessages feeds the messages of an input to a scheduler and checks its effects.
func checkMessages(t *testing.T, input []byte) {
	in := &fuzzInput{bytes: input}
	var s scheduler.State
	now := clock.Millis(1000)
	waiting := map[scheduler.AskID]bool{}
	for steps := 0; len(in.bytes) > 0 && steps < 400; steps++ {
		now += clock.Millis(in.byte()) * 4
		m := in.message(now)
		if ask, isAsk := m.(scheduler.Ask); isAsk {
			waiting[ask.ID] = true
		}
		if id, ends := endedAsk(m); ends {
			delete(waiting, id)
		}
		for _, e := range s.Update(now, m) {
			var id scheduler.AskID
			switch e := e.(type) {
			case scheduler.Grant:
				id = e.ID
			case scheduler.Refuse:
				id = e.ID
			default:
				continue
			}
			if !waiting[id] {
				t.Fatalf("%#v, but the ask does not wait", e)
			}
			delete(waiting, id)
		}
		s.Status()
	}
}

// endedAsk returns the ask that a message ends.
func endedAsk(m scheduler.Message) (id scheduler.AskID, ends bool) {
	cancel, ends := m.(scheduler.Cancel)
	return cancel.ID, ends
}

// TestTierBeyondRangeIsServedLast guards against an ask whose rank has no lanes of its
// own: it ended the daemon or took all of its memory.
func TestTierBeyondRangeIsServedLast(t *testing.T) {
	for _, tier := range []int{40, math.MaxInt32, math.MaxInt64} {
		h := newHarness(1)
		h.send(h.newAsk(1, 0))
		ask := h.newAsk(2, tier)
		ask.Objective, ask.Patience = h.now+clock.Second, h.now+2*clock.Second
		h.send(ask)
		h.send(h.newAsk(3, 7))
		for _, want := range []uint64{1, 3, 2} {
			if _, granted := h.granted[want]; !granted {
				t.Fatalf("tier %d: ask %d has no slot", tier, want)
			}
			h.send(scheduler.End{ID: askID(want), Usage: reserver.Usage{Outcome: reserver.Cancelled}})
		}
	}
}
