package scheduler_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// promptMS is the time that the upstreams of these tests take to read a token.
const promptMS = 0.1

// newKept returns a scheduler of upstreams with 4 slots each that have been measured.
func newKept(upstreams int) *harness {
	slots := make([]int, upstreams)
	for i := range slots {
		slots[i] = 4
	}
	h := newHarness(slots...)
	h.send(scheduler.Rules{Tiers: []inventory.Tier{{Rank: 0}}, Memory: map[string]int{"": 100_000}})
	// All upstreams are measured, with prompts of several lengths.
	for round := range 40 {
		var numbers []uint64
		for range 4 * upstreams {
			number, _ := h.ask(nil, 500+100*(round%20))
			numbers = append(numbers, number)
		}
		byUpstream := map[string][]uint64{}
		for _, number := range numbers {
			byUpstream[h.granted[number]] = append(byUpstream[h.granted[number]], number)
		}
		for i := range 4 {
			h.advance(clock.Millis(promptMS * float64(500+100*(round%20))))
			for _, list := range byUpstream {
				h.send(scheduler.FirstToken{ID: askID(list[i]), CachedTokens: reserver.CachedUnknown})
			}
		}
		h.advance(20)
		for _, number := range numbers {
			h.send(endCompleted(number))
		}
	}
	return h
}

// occupy gives an upstream a prompt that takes it 150 ms to read.
func (h *harness) occupy(upstream string) {
	for _, got := h.ask(nil, 1500); got != upstream; _, got = h.ask(nil, 1500) {
		if got == "" {
			return
		}
	}
}

// ask sends an ask for a prompt with the parts and more tokens, and returns its upstream.
func (h *harness) ask(parts []keeper.Part, more int) (number uint64, upstream string) {
	h.nextNumber++
	a := h.newAsk(h.nextNumber, 0)
	a.Parts, a.PromptTokens = parts, more
	for _, p := range parts {
		a.PromptTokens += p.Tokens
	}
	h.send(a, scheduler.Confirm{ID: a.ID})
	return h.nextNumber, h.granted[h.nextNumber]
}

// request serves an ask to its end on an upstream that holds kept tokens of the prompt.
func (h *harness) request(parts []keeper.Part, more, kept int) (upstream string) {
	number, upstream := h.ask(parts, more)
	total := more
	for _, p := range parts {
		total += p.Tokens
	}
	h.advance(clock.Millis(promptMS * float64(total-kept)))
	h.send(scheduler.FirstToken{ID: askID(number), CachedTokens: reserver.CachedUnknown})
	h.advance(20)
	h.send(endCompleted(number))
	return upstream
}

func shared(tokens int) []keeper.Part { return []keeper.Part{{Hash: 7, Tokens: tokens}} }

// TestPromptGoesWhereItsBeginningIsHeld guards against a prompt that is read again although an upstream
// that is as free holds most of it.
func TestPromptGoesWhereItsBeginningIsHeld(t *testing.T) {
	h := newKept(4)
	holder := h.request(shared(3000), 100, 0)
	for range 8 {
		if got := h.request(shared(3000), 100, 3000); got != holder {
			t.Errorf("the prompt went to %s, %s holds its beginning", got, holder)
		}
	}
}

// TestHotPartDoesNotGatherAHerd guards against requests that queue up at the one holder of a part that
// all ask for, while other upstreams are free.
func TestHotPartDoesNotGatherAHerd(t *testing.T) {
	h := newKept(4)
	h.request(shared(3000), 100, 0)
	counts := map[string]int{}
	for range 12 {
		_, upstream := h.ask(shared(3000), 100)
		counts[upstream]++
	}
	for upstream, count := range counts {
		if count > 4 || upstream == "" {
			t.Errorf("%d of 12 requests at once went to %q", count, upstream)
		}
	}
	if len(counts) < 3 {
		t.Errorf("12 requests at once went to %v", counts)
	}
}

// TestHeldPartIsNotWaitedFor guards against a request that waits for a busy holder while a free upstream
// could read the prompt at once.
func TestHeldPartIsNotWaitedFor(t *testing.T) {
	h := newKept(2)
	holder := h.request(shared(3000), 100, 0)
	for range 4 {
		h.ask(shared(3000), 100)
	}
	if _, upstream := h.ask(shared(3000), 100); upstream == "" {
		t.Errorf("a request waits while an upstream is free; %s holds its beginning", holder)
	}
}

// TestUnconfirmedPartIsNotCounted guards against an upstream that is preferred, although it is busy, for
// a part that by the measured times it doesn't hold.
func TestUnconfirmedPartIsNotCounted(t *testing.T) {
	for _, held := range []bool{true, false} {
		h := newKept(2)
		kept := 0
		holder := h.request(shared(3000), 100, 0)
		for range 40 {
			if held {
				kept = 3000
			}
			holder = h.request(shared(3000), 100, kept)
		}
		h.occupy(holder)
		if _, upstream := h.ask(shared(3000), 100); (upstream == holder) != held {
			t.Errorf("the prompt went to %s, times say that %s holds it: %v", upstream, holder, held)
		}
	}
}

// TestPartYieldsToOtherPrompts guards against an upstream that is preferred, although it is busy, for
// what its memory can't hold any more.
func TestPartYieldsToOtherPrompts(t *testing.T) {
	for _, read := range []int{1_000, 300_000} {
		h := newKept(2)
		holder := h.request(shared(3000), 100, 0)
		for done := 0; done < read; done += 1_000 {
			h.request(nil, 1_000, 0)
		}
		h.occupy(holder)
		if _, upstream := h.ask(shared(3000), 100); (upstream == holder) != (read < 100_000) {
			t.Errorf("the prompt went to %s; %s has held it and read %d tokens since, with a memory of 100,000", upstream, holder, read)
		}
	}
}
