package scheduler_test

import (
	"fmt"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// BenchmarkDecision measures one new ask and the grant that follows the end of
// another request, at a constant queue length.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ upstreams, organisations, waiting int }{
		{16, 18_000, 100},
		{16, 18_000, 1_000},
		{16, 18_000, 10_000},
		{16, 18_000, 100_000},
		{16, 180, 10_000},
		{16, 1_800, 10_000},
		{16, 180_000, 10_000},
		{8, 18_000, 10_000},
		{32, 18_000, 10_000},
	} {
		name := fmt.Sprintf("upstreams=%d/organisations=%d/waiting=%d", size.upstreams, size.organisations, size.waiting)
		b.Run(name, func(b *testing.B) {
			d := newBenchDriver(size.upstreams, size.organisations, size.waiting)
			b.ResetTimer()
			for b.Loop() {
				d.step(b)
			}
		})
	}
}

// benchDriver keeps all slots and the queue of a scheduler full.
type benchDriver struct {
	state         scheduler.State
	organisations []string
	nextNumber    uint64
	running       []scheduler.AskID
	now           clock.Millis
}

const benchSlots = 32

// newBenchDriver fills the slots and the queue.
func newBenchDriver(upstreams, organisations, waiting int) *benchDriver {
	d := &benchDriver{now: 1000}
	weights := map[string]int{}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		d.organisations = append(d.organisations, name)
		weights[name] = 1 + i%5
	}
	rules := scheduler.Rules{Weights: weights, Limits: inventory.Limits{QueuePerShard: 2 * waiting}}
	for rank := range 4 {
		rules.Tiers = append(rules.Tiers, inventory.Tier{Rank: rank, FirstTokenMS: 860, TokenGapMS: 75})
	}
	var list []inventory.Upstream
	for i := range upstreams {
		list = append(list, inventory.Upstream{Name: fmt.Sprintf("u%02d", i), Slots: benchSlots, Generation: "g"})
	}
	d.handleEffects(d.state.Update(d.now, rules))
	d.handleEffects(d.state.Update(d.now, scheduler.Upstreams{List: list}))
	for range organisations {
		d.sendAsk()
		d.endOldest()
	}
	for len(d.running) < upstreams*benchSlots {
		d.sendAsk()
	}
	for range waiting {
		d.sendAsk()
	}
	return d
}

// handleEffects starts the granted requests.
func (d *benchDriver) handleEffects(effects []scheduler.Effect) (granted int) {
	for _, e := range effects {
		if g, is := e.(scheduler.Grant); is {
			d.running = append(d.running, g.ID)
			d.handleEffects(d.state.Update(d.now, scheduler.FirstToken{ID: g.ID}))
			granted++
		}
	}
	return granted
}

// sendAsk sends an ask whose prompt shares its first half with the other asks of
// its organisation.
func (d *benchDriver) sendAsk() (granted int) {
	organisationIndex := d.nextNumber * 7919 % uint64(len(d.organisations))
	hashes := make([]uint64, 32)
	for i := range hashes {
		hashes[i] = organisationIndex<<8 + uint64(i)
		if i >= len(hashes)/2 {
			hashes[i] = 1<<63 + d.nextNumber<<8 + uint64(i)
		}
	}
	m := scheduler.Ask{
		ID: scheduler.AskID{Daemon: "d", Number: d.nextNumber}, Organisation: d.organisations[organisationIndex], Route: "r",
		Tier: int(d.nextNumber % 4), Deadline: d.now + clock.Hour, PromptTokens: 2048, MaxTokens: 100,
		Idempotent: true, PrefixHashes: hashes,
	}
	d.nextNumber++
	return d.handleEffects(d.state.Update(d.now, m))
}

// endOldest ends the request that was granted first.
func (d *benchDriver) endOldest() (granted int) {
	id := d.running[0]
	d.running = d.running[1:]
	d.now++
	usage := reserver.Usage{Outcome: reserver.Completed, OutputTokens: 100}
	return d.handleEffects(d.state.Update(d.now, scheduler.End{ID: id, Usage: usage}))
}

func (d *benchDriver) step(b *testing.B) {
	if granted := d.sendAsk() + d.endOldest(); granted == 0 {
		b.Fatal("no ask was granted")
	}
}
