// Package mover replays moves from one version to another: the decisions of
// the daemons (leases, stages, judgements, local stops) run as they are, with
// small models of the table, the engines and the traffic around them. A run
// follows from its scenario and seed alone.
package mover

import (
	"fmt"
	"math/rand/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Scenarios are the names of all scenarios.
//
//nolint:gochecknoglobals // A constant list.
var Scenarios = []string{
	"move_good", "move_bad_at_once", "move_bad_late", "move_bad_under_load", "move_bad_one_route",
	"move_slow", "move_table_outage", "move_leader_paused", "move_race",
}

// Outcome is what a run showed.
type Outcome struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// FinishedOnTime tells that the new version had all traffic by the date
	// and was not taken back after it.
	FinishedOnTime bool `json:"finished_on_time"`
	// TakenBack tells that the move was read back as undone and that no
	// upstream served the new version at the end.
	TakenBack bool `json:"taken_back"`
	// FirstShare is the move's, ShareBeforeEvidence the new version's greatest
	// part of a region's requests before the first stage was over, and
	// BadShareMax the same of a bad version over the whole run.
	FirstShare          float64 `json:"first_share"`
	ShareBeforeEvidence float64 `json:"share_before_evidence"`
	BadShareMax         float64 `json:"bad_share_max"`
	// BadGrantsAfter1s counts grants to the new version later than a second
	// after the first stop.
	BadGrantsAfter1s int `json:"bad_grants_after_1s"`
	// OrdersSent counts orders, OrdersRefused those that an upstream refused
	// for their fencing number, OrdersStale those of an old leader that an
	// upstream without a check carried out, OrdersDoubled the loads begun
	// again for a version that was loaded or loading.
	OrdersSent    int `json:"orders_sent"`
	OrdersRefused int `json:"orders_refused"`
	OrdersStale   int `json:"orders_stale"`
	OrdersDoubled int `json:"orders_doubled"`
	// Leaders counts the epochs, TableWrites all writes to the table, and
	// RowWrites those among them that are no leases.
	Leaders     int `json:"leaders"`
	TableWrites int `json:"table_writes"`
	RowWrites   int `json:"row_writes"`
	// Unserved counts requests that no upstream could take.
	Requests int    `json:"requests"`
	Unserved int    `json:"unserved"`
	Phase    string `json:"phase"`
	Why      string `json:"why"`
	// Expected is "finished" or "taken_back"; Met tells whether all stated
	// outcomes hold.
	Expected string `json:"expected"`
	Met      bool   `json:"met"`
}

// span is a time from begin to end.
type span struct{ begin, end clock.Millis }

func (s span) holds(at clock.Millis) bool { return at >= s.begin && at < s.end }

// scenario is what a seed draws.
type scenario struct {
	name string
	rng  *rand.Rand
	move inventory.Move
	// flaw is how the new version misbehaves, if at all.
	flaw flaw
	// ratePerSecond is the traffic of each region; rain doubles it.
	ratePerSecond float64
	rain          span
	// outages are times without the table, pauses those in which the leader of
	// the time is stopped.
	outages []span
	pauses  []span
	// pauseAtOrders is the probability that a leader is stopped between its
	// decision to send orders and their leaving.
	pauseAtOrders float64
	// lostReply is the share of calls to the table whose reply is lost.
	lostReply float64
	// changes are configuration changes in time order.
	changes []change
	end     clock.Millis
	// undo tells that the operators' last word is to take the move back.
	undo bool
}

// change is a configuration change that was accepted at a time.
type change struct {
	at    clock.Millis
	state inventory.MoveState
	due   clock.Millis
}

// tick is the step of a run.
const tick = 200 * clock.Millisecond

func draw(name string, seed uint64) (s *scenario, err error) {
	s = &scenario{name: name, rng: rand.New(rand.NewPCG(seed, 0x6d6f7665))}
	r := s.rng
	due := clock.Millis(8+r.IntN(10)) * clock.Minute
	s.move = inventory.Move{
		Name: "m", Pool: "p", From: "v1", To: "v2", Due: due, State: inventory.MoveRun,
		FirstShare: 0.03 + 0.05*r.Float64(), SoakMS: clock.Millis(4+r.IntN(5)) * clock.Minute,
	}
	s.end = due + s.move.SoakMS + 2*clock.Minute
	s.ratePerSecond = 12 + 8*r.Float64()
	begin := clock.Millis(r.Int64N(int64(due)))
	s.rain = span{begin, begin + 4*clock.Minute}
	s.lostReply = 0.02 * r.Float64()
	switch name {
	case "move_good":
	case "move_bad_at_once":
		s.flaw = drawAtOnce(r)
	case "move_bad_late":
		// It begins at any time that leaves a minute of the soak to see it.
		s.flaw = drawAtOnce(r)
		s.flaw.from = clock.Minute + clock.Millis(r.Int64N(int64(due/2)))
	case "move_bad_under_load":
		s.flaw = flaw{kind: flawFails, rate: 0.3 + 0.7*r.Float64(), load: 0.5 + 0.15*r.Float64()}
	case "move_bad_one_route":
		s.flaw = drawAtOnce(r)
		s.flaw.route = routes[r.IntN(len(routes))].name
	case "move_slow":
		s.flaw = flaw{kind: []flawKind{flawSlowFirst, flawSlowGap}[r.IntN(2)], rate: 1, factor: 2 + 2*r.Float64()}
	case "move_table_outage":
		s.drawOutages(due)
	case "move_leader_paused":
		s.drawPauses(due)
	case "move_race":
		s.drawRace(due)
	default:
		return nil, fmt.Errorf("unknown scenario %q", name)
	}
	return s, nil
}

// drawAtOnce draws one of the ways to be bad on every request.
func drawAtOnce(r *rand.Rand) flaw {
	kind := []flawKind{flawFails, flawEmpty, flawShort}[r.IntN(3)]
	return flaw{kind: kind, rate: 0.2 + 0.8*r.Float64()}
}

// drawOutages takes the table away one to three times, in all for at most half
// of the time until the date.
func (s *scenario) drawOutages(due clock.Millis) {
	count := 1 + s.rng.IntN(3)
	for i := range count {
		part := due * 8 / 10 / clock.Millis(count)
		begin := part * clock.Millis(i)
		length := clock.Millis(s.rng.Int64N(int64(part * 6 / 10)))
		s.outages = append(s.outages, span{begin, begin + length})
	}
}

// drawPauses stops whoever leads again and again; in half of the runs an
// operator takes the move back meanwhile.
func (s *scenario) drawPauses(due clock.Millis) {
	if s.rng.IntN(2) == 0 {
		s.undo = true
		s.changes = []change{{at: clock.Minute + clock.Millis(s.rng.Int64N(int64(due/2))), state: inventory.MoveUndo, due: due}}
	}
	s.pauseAtOrders = 0.2
	at := clock.Millis(5+s.rng.IntN(20)) * clock.Second
	for at < due*8/10 {
		length := clock.Millis(2+s.rng.IntN(40)) * clock.Second
		s.pauses = append(s.pauses, span{at, at + length})
		at += length + clock.Millis(30+s.rng.IntN(150))*clock.Second
	}
}

// drawRace lets two operators change state and date a few times within the
// first half; the last accepted change holds.
func (s *scenario) drawRace(due clock.Millis) {
	at := clock.Millis(10+s.rng.IntN(60)) * clock.Second
	states := []inventory.MoveState{inventory.MoveRun, inventory.MovePause, inventory.MoveUndo}
	last := change{state: inventory.MoveRun, due: due}
	for range 2 + s.rng.IntN(5) {
		last = change{at: at, state: states[s.rng.IntN(3)], due: due + clock.Millis(s.rng.IntN(5)-1)*clock.Minute}
		s.changes = append(s.changes, last)
		at += clock.Millis(1+s.rng.IntN(int(due/2/clock.Second/6))) * clock.Second
	}
	if last.state == inventory.MovePause {
		last.at, last.state = at, inventory.MoveRun
		s.changes = append(s.changes, last)
	}
	s.undo = last.state == inventory.MoveUndo
	s.end = last.due + s.move.SoakMS + 2*clock.Minute
}

// expected tells the stated outcome.
func (s *scenario) expected() string {
	if s.undo || s.flaw.kind != flawNone {
		return "taken_back"
	}
	return "finished"
}
