// Package mover simulates moves, the staged rollouts of a new version to a pool.
// The daemons' decision code (leases, stages, judgements, local stops) runs
// unchanged against small models of the table, the engines and the traffic. A run
// depends on its scenario and seed alone.
package mover

import (
	"fmt"
	"math/rand/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Scenarios holds the names of all scenarios.
//
//nolint:gochecknoglobals // A constant list.
var Scenarios = []string{
	"move_good", "move_bad_at_once", "move_bad_late", "move_bad_under_load", "move_bad_one_route",
	"move_slow", "move_table_outage", "move_leader_paused", "move_race",
}

// Outcome is the result of a run.
type Outcome struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// FinishedOnTime reports whether the new version had all traffic by the due
	// date and was not taken back afterwards.
	FinishedOnTime bool `json:"finished_on_time"`
	// TakenBack reports whether the table had the move as undone and no upstream
	// served the new version at the end.
	TakenBack bool `json:"taken_back"`
	// FirstShare is the share of the move's first stage. ShareBeforeEvidence is
	// the new version's greatest share of a region's requests before the first
	// stage was over, BadShareMax that of a faulty version over the whole run.
	FirstShare          float64 `json:"first_share"`
	ShareBeforeEvidence float64 `json:"share_before_evidence"`
	BadShareMax         float64 `json:"bad_share_max"`
	// BadGrantsAfter1s counts grants to the new version more than a second after
	// the first stop.
	BadGrantsAfter1s int `json:"bad_grants_after_1s"`
	// OrdersSent counts all orders, OrdersRefused those that an upstream refused
	// for an old fencing number, OrdersStale those of an old leader that an
	// upstream without a fencing check executed, and OrdersDoubled the orders to
	// load a version that was loaded already.
	OrdersSent    int `json:"orders_sent"`
	OrdersRefused int `json:"orders_refused"`
	OrdersStale   int `json:"orders_stale"`
	OrdersDoubled int `json:"orders_doubled"`
	// Leaders counts the leadership epochs, TableWrites all writes to the table,
	// and RowWrites those of move rows.
	Leaders     int `json:"leaders"`
	TableWrites int `json:"table_writes"`
	RowWrites   int `json:"row_writes"`
	// Requests counts all requests, Unserved those without a free upstream.
	Requests int    `json:"requests"`
	Unserved int    `json:"unserved"`
	Phase    string `json:"phase"`
	Why      string `json:"why"`
	// Expected is "finished" or "taken_back". Met reports whether the run ended
	// so and kept the bounds on shares and late grants.
	Expected string `json:"expected"`
	Met      bool   `json:"met"`
}

// interval is a time interval that includes begin and excludes end.
type interval struct{ begin, end clock.Millis }

func (s interval) contains(at clock.Millis) bool { return at >= s.begin && at < s.end }

// scenario holds the parameters that are drawn from a seed.
type scenario struct {
	name string
	rng  *rand.Rand
	move inventory.Move
	// fault is the fault of the new version, if any.
	fault fault
	// ratePerSecond is the number of requests per second in each region; it
	// doubles during trafficPeak.
	ratePerSecond float64
	trafficPeak   interval
	// outages are the intervals in which the table is unavailable, pauses those
	// in which the leader's process is suspended.
	outages []interval
	pauses  []interval
	// sendPauseProbability is the probability that a leader is suspended between
	// deciding on orders and sending them.
	sendPauseProbability float64
	// lostReplyShare is the share of calls to the table whose reply is lost.
	lostReplyShare float64
	// changes are configuration changes in time order.
	changes []configChange
	end     clock.Millis
	// expectUndo is set if the last accepted state undoes the move.
	expectUndo bool
}

// configChange is a change of a move's state and due date, accepted at a time.
type configChange struct {
	at    clock.Millis
	state inventory.MoveState
	due   clock.Millis
}

// tick is the simulated time per step of a run.
const tick = 200 * clock.Millisecond

func drawScenario(name string, seed uint64) (s *scenario, err error) {
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
	s.trafficPeak = interval{begin, begin + 4*clock.Minute}
	s.lostReplyShare = 0.02 * r.Float64()
	switch name {
	case "move_good":
	case "move_bad_at_once":
		s.fault = drawImmediateFault(r)
	case "move_bad_late":
		// The fault begins early enough to leave a minute of the soak to detect it.
		s.fault = drawImmediateFault(r)
		s.fault.from = clock.Minute + clock.Millis(r.Int64N(int64(due/2)))
	case "move_bad_under_load":
		s.fault = fault{kind: faultFailure, share: 0.3 + 0.7*r.Float64(), minLoad: 0.5 + 0.15*r.Float64()}
	case "move_bad_one_route":
		s.fault = drawImmediateFault(r)
		s.fault.route = routes[r.IntN(len(routes))].name
	case "move_slow":
		s.fault = fault{kind: []faultKind{faultSlowFirstToken, faultSlowTokenGap}[r.IntN(2)], share: 1, slowdown: 2 + 2*r.Float64()}
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

// drawImmediateFault draws a fault that is present from the start, at any load
// and on all routes.
func drawImmediateFault(r *rand.Rand) fault {
	kind := []faultKind{faultFailure, faultEmptyAnswer, faultShortAnswer}[r.IntN(3)]
	return fault{kind: kind, share: 0.2 + 0.8*r.Float64()}
}

// drawOutages draws one to three outages of the table that last for at most half
// of the time until the due date in total.
func (s *scenario) drawOutages(due clock.Millis) {
	count := 1 + s.rng.IntN(3)
	for i := range count {
		period := due * 8 / 10 / clock.Millis(count)
		begin := period * clock.Millis(i)
		length := clock.Millis(s.rng.Int64N(int64(period * 6 / 10)))
		s.outages = append(s.outages, interval{begin, begin + length})
	}
}

// drawPauses suspends the current leader repeatedly. In half of the runs an
// operator undoes the move meanwhile.
func (s *scenario) drawPauses(due clock.Millis) {
	if s.rng.IntN(2) == 0 {
		s.expectUndo = true
		s.changes = []configChange{{at: clock.Minute + clock.Millis(s.rng.Int64N(int64(due/2))), state: inventory.MoveUndo, due: due}}
	}
	s.sendPauseProbability = 0.2
	at := clock.Millis(5+s.rng.IntN(20)) * clock.Second
	for at < due*8/10 {
		length := clock.Millis(2+s.rng.IntN(40)) * clock.Second
		s.pauses = append(s.pauses, interval{at, at + length})
		at += length + clock.Millis(30+s.rng.IntN(150))*clock.Second
	}
}

// drawRace draws a few changes of state and due date, as of two operators, within
// the first half; the last accepted change applies. A final pause is followed by
// a change back to the running state.
func (s *scenario) drawRace(due clock.Millis) {
	at := clock.Millis(10+s.rng.IntN(60)) * clock.Second
	states := []inventory.MoveState{inventory.MoveRun, inventory.MovePause, inventory.MoveUndo}
	last := configChange{state: inventory.MoveRun, due: due}
	for range 2 + s.rng.IntN(5) {
		last = configChange{at: at, state: states[s.rng.IntN(3)], due: due + clock.Millis(s.rng.IntN(5)-1)*clock.Minute}
		s.changes = append(s.changes, last)
		at += clock.Millis(1+s.rng.IntN(int(due/2/clock.Second/6))) * clock.Second
	}
	if last.state == inventory.MovePause {
		last.at, last.state = at, inventory.MoveRun
		s.changes = append(s.changes, last)
	}
	s.expectUndo = last.state == inventory.MoveUndo
	s.end = last.due + s.move.SoakMS + 2*clock.Minute
}

// expectedOutcome returns the value of Outcome.Expected.
func (s *scenario) expectedOutcome() string {
	if s.expectUndo || s.fault.kind != faultNone {
		return "taken_back"
	}
	return "finished"
}
