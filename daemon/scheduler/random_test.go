package scheduler_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// TestMain fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "11")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// model is the state of a scheduler as its messages and effects imply it.
type model struct {
	t          *rapid.T
	state      scheduler.State
	now        clock.Millis
	nextNumber uint64
	upstreams  map[string]*inventory.Upstream
	versions   map[string]string
	draining   map[string]bool
	down       map[string]bool
	stopped    map[string]bool
	waiting    map[scheduler.AskID]scheduler.Ask
	running    map[scheduler.AskID]string
	grantedAt  map[scheduler.AskID]clock.Millis
	answered   map[scheduler.AskID]bool
	// withdrawn are the running asks whose slots were taken back.
	withdrawn map[scheduler.AskID]bool
	// cutOffAt holds since when daemons are taken to be cut off, and trials the asks that they got slots for since.
	cutOffAt map[string]clock.Millis
	trials   map[scheduler.AskID]bool
}

// TestRandomMessages sends random messages and checks each effect against the
// model: no double grant, no slot beyond the limit, no lower tier before a higher
// one, and an answer to every ask.
func TestRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &model{
			t: t, now: 1000, versions: map[string]string{}, draining: map[string]bool{}, down: map[string]bool{},
			stopped: map[string]bool{}, waiting: map[scheduler.AskID]scheduler.Ask{}, running: map[scheduler.AskID]string{},
			grantedAt: map[scheduler.AskID]clock.Millis{}, answered: map[scheduler.AskID]bool{}, withdrawn: map[scheduler.AskID]bool{},
			cutOffAt: map[string]clock.Millis{}, trials: map[scheduler.AskID]bool{},
		}
		w.send(scheduler.Rules{
			Tiers:  []inventory.Tier{{Rank: 0, FirstTokenMS: 860, TokenGapMS: 75}, {Rank: 1}, {Rank: 2}},
			Limits: inventory.Limits{QueuePerShard: rapid.IntRange(1, 8).Draw(t, "queue")},
		})
		w.replaceUpstreams()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.now += clock.Millis(rapid.IntRange(0, 800).Draw(t, "time"))
			w.step()
		}
		w.now += clock.Hour
		w.send(scheduler.Tick{})
		if len(w.waiting) > 0 {
			t.Fatalf("%d asks were neither granted nor refused", len(w.waiting))
		}
	})
}

func (w *model) step() {
	t := w.t
	switch rapid.SampledFrom([]string{"ask", "ask", "ask", "first", "end", "end", "cancel", "load", "health", "shares", "list", "gone", "tick"}).Draw(t, "step") {
	case "ask":
		w.sendAsk()
	case "first":
		if id, found := w.drawRunning("first"); found {
			w.answered[id] = true
			delete(w.withdrawn, id)
			w.send(scheduler.FirstToken{ID: id, CachedTokens: rapid.IntRange(0, 200).Draw(t, "cached")})
		}
	case "end":
		if id, found := w.drawRunning("end"); found {
			delete(w.running, id)
			outcome := rapid.SampledFrom([]reserver.Outcome{reserver.Completed, reserver.Completed, reserver.Failed, reserver.UpstreamDied}).Draw(t, "outcome")
			w.send(scheduler.End{ID: id, Usage: reserver.Usage{Outcome: outcome, OutputTokens: rapid.IntRange(1, 300).Draw(t, "output")}})
		}
	case "cancel":
		for _, id := range slices.SortedFunc(maps.Keys(w.waiting), compareID) {
			delete(w.waiting, id)
			w.send(scheduler.Cancel{ID: id})
			break
		}
	case "load":
		name := w.drawUpstreamName()
		if w.upstreams[name] == nil {
			return
		}
		w.versions[name] = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		w.draining[name] = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
		w.send(scheduler.Load{
			Upstream: name, Time: w.now - clock.Millis(rapid.IntRange(0, 5000).Draw(t, "age")), Version: w.versions[name],
			Leaving: w.draining[name], Running: rapid.IntRange(0, 6).Draw(t, "running"), Waiting: rapid.IntRange(0, 2).Draw(t, "queued"),
		})
	case "health":
		name := w.drawUpstreamName()
		if w.upstreams[name] == nil {
			return
		}
		w.down[name] = rapid.Bool().Draw(t, "down")
		w.send(scheduler.Health{Upstream: name, Up: !w.down[name]})
	case "shares":
		w.stopped["v2"] = rapid.Bool().Draw(t, "stopped")
		share := 0.3
		if w.stopped["v2"] {
			share = 0
		}
		w.send(scheduler.Shares{Shares: map[string]float64{"v2": share}, NonIdempotent: []string{"v2"}})
	case "list":
		w.replaceUpstreams()
	case "gone":
		for id := range w.running {
			if id.Daemon == "e" {
				delete(w.running, id)
			}
		}
		for id := range w.waiting {
			if id.Daemon == "e" {
				delete(w.waiting, id)
			}
		}
		delete(w.cutOffAt, "e")
		w.send(scheduler.DaemonGone{Daemon: "e"})
	default:
		w.send(scheduler.Tick{})
	}
}

func compareID(a, b scheduler.AskID) int { return int(a.Number) - int(b.Number) }

func (w *model) drawUpstreamName() string {
	return fmt.Sprint("u", rapid.IntRange(0, 3).Draw(w.t, "upstream"))
}

// drawRunning draws one of the running requests.
func (w *model) drawRunning(label string) (id scheduler.AskID, found bool) {
	ids := slices.SortedFunc(maps.Keys(w.running), compareID)
	if len(ids) == 0 {
		return id, false
	}
	return rapid.SampledFrom(ids).Draw(w.t, label), true
}

func (w *model) replaceUpstreams() {
	w.upstreams = map[string]*inventory.Upstream{}
	var list []inventory.Upstream
	for i := range 4 {
		u := inventory.Upstream{
			Name: fmt.Sprint("u", i), Slots: rapid.IntRange(1, 3).Draw(w.t, "slots"), Generation: fmt.Sprint("g", i/2),
			Leaving: rapid.IntRange(0, 5).Draw(w.t, "leaving") == 0,
		}
		if rapid.IntRange(0, 5).Draw(w.t, "listed") > 0 {
			list = append(list, u)
			w.upstreams[u.Name] = &u
		}
	}
	w.send(scheduler.Upstreams{List: list})
}

func (w *model) sendAsk() {
	t := w.t
	w.nextNumber++
	m := scheduler.Ask{
		ID:           scheduler.AskID{Daemon: rapid.SampledFrom([]string{"d", "e"}).Draw(t, "daemon"), Number: w.nextNumber},
		Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "organisation"), Route: "r",
		Tier: rapid.IntRange(0, 2).Draw(t, "tier"), Deadline: w.now + clock.Millis(rapid.IntRange(0, 60_000).Draw(t, "deadline")),
		PromptTokens: rapid.IntRange(1, 5000).Draw(t, "prompt"), MaxTokens: rapid.IntRange(0, 300).Draw(t, "max"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
	}
	if rapid.IntRange(0, 3).Draw(t, "excluded") == 0 {
		m.Excluded = []string{w.drawUpstreamName()}
	}
	w.waiting[m.ID] = m
	w.send(m)
}

func (w *model) send(m scheduler.Message) {
	var grants []scheduler.Grant
	asked := maps.Clone(w.waiting)
	for _, e := range w.state.Update(w.now, m) {
		switch e := e.(type) {
		case scheduler.Grant:
			grants = append(grants, e)
			delete(w.waiting, e.ID)
		case scheduler.Refuse:
			if _, waits := w.waiting[e.ID]; !waits {
				w.t.Fatalf("ask %v was refused although it does not wait", e.ID)
			}
			delete(w.waiting, e.ID)
		case scheduler.Withdraw:
			w.checkWithdrawal(e.ID)
			w.withdrawn[e.ID] = true
		case scheduler.LinksChanged:
			w.changeLinks(e)
		}
	}
	for _, g := range grants {
		w.checkGrant(g, asked[g.ID])
		w.running[g.ID], w.grantedAt[g.ID] = g.Upstream, w.now
	}
	for _, g := range grants {
		w.send(scheduler.Confirm{ID: g.ID})
	}
	w.dropForgotten()
}

// changeLinks takes what the scheduler believes of a daemon's links.
func (w *model) changeLinks(e scheduler.LinksChanged) {
	_, wasCutOff := w.cutOffAt[e.Daemon]
	switch {
	case !e.CutOff:
		delete(w.cutOffAt, e.Daemon)
	case !wasCutOff:
		w.cutOffAt[e.Daemon] = w.now
	}
	for id := range w.trials {
		if id.Daemon == e.Daemon && (!e.CutOff || !wasCutOff) {
			delete(w.trials, id)
		}
	}
}

// checkWithdrawal checks that a slot is taken back only from an ask that got no answer for a second and
// whose daemon is cut off.
func (w *model) checkWithdrawal(id scheduler.AskID) {
	_, cutOff := w.cutOffAt[id.Daemon]
	if _, runs := w.running[id]; !runs || !cutOff || w.answered[id] || w.withdrawn[id] || w.now-w.grantedAt[id] < clock.Second {
		w.t.Fatalf("the slot of %v was taken back", id)
	}
}

// checkTrials checks that a daemon that is cut off has at most two slots for trials.
func (w *model) checkTrials(g scheduler.Grant) {
	if _, cutOff := w.cutOffAt[g.ID.Daemon]; !cutOff {
		return
	}
	w.trials[g.ID] = true
	trials := 1
	for id := range w.running {
		if id.Daemon == g.ID.Daemon && w.trials[id] && !w.withdrawn[id] {
			trials++
		}
	}
	if trials > 2 {
		w.t.Fatalf("%d trials of a daemon that is cut off", trials)
	}
}

// dropForgotten removes the state of upstreams that the scheduler drops: those
// that are neither listed nor in use.
func (w *model) dropForgotten() {
	for i := range 4 {
		name := fmt.Sprint("u", i)
		if w.upstreams[name] == nil && !slices.Contains(slices.Collect(maps.Values(w.running)), name) {
			delete(w.versions, name)
			delete(w.draining, name)
			delete(w.down, name)
		}
	}
}

func (w *model) checkGrant(g scheduler.Grant, a scheduler.Ask) {
	u := w.upstreams[g.Upstream]
	if a.ID != g.ID || u == nil || !w.mayServe(u, a) || w.down[u.Name] {
		w.t.Fatalf("invalid grant %+v for %+v on %+v", g, a, u)
	}
	w.checkTrials(g)
	used := 0
	for id, name := range w.running {
		if name == u.Name && !w.withdrawn[id] {
			used++
		}
	}
	if used >= u.Slots {
		w.t.Fatalf("grant on %s with %d of %d slots in use", u.Name, used, u.Slots)
	}
	for _, other := range w.waiting {
		if _, cutOff := w.cutOffAt[other.ID.Daemon]; !cutOff && other.Tier < a.Tier && w.mayServe(u, other) {
			w.t.Fatalf("%+v got a slot although %+v of a higher tier waits for it", a, other)
		}
	}
}

func (w *model) mayServe(u *inventory.Upstream, a scheduler.Ask) bool {
	version := w.versions[u.Name]
	return !u.Leaving && !w.draining[u.Name] && !slices.Contains(a.Excluded, u.Name) &&
		(version != "v2" || !w.stopped["v2"])
}
