package reserver

import (
	"math"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/sharder"
)

// confirmTransit is the time that a confirmation may take to reach the scheduler.
const confirmTransit = 500 * clock.Millisecond

// confirmLead is how long before the expiry of a grant its confirmation is sent.
const confirmLead = 1 * clock.Second

// stage is the state of a reservation in its life cycle.
type stage int

const (
	stageWaiting stage = iota
	stageHeld
	stageEnded
)

// askResult is the result of a waiting ask: a grant where refusal is nil and
// askAgain is false.
type askResult struct {
	refusal *wire.Refusal
	// askAgain means that the scheduler was lost and that the ask must be repeated.
	askAgain bool
}

// want is what a caller of Reserve wants.
type want struct {
	request *classifier.Request
	// excluded names the upstreams that must not be used.
	excluded []string
	// objectiveOnly is set if an ask is refused at once where it would miss its objective.
	objectiveOnly bool
}

// reservation is an ask of this daemon, or a slot that it holds. The fields from
// stage on are guarded by Remote.mu.
type reservation struct {
	want
	remote *Remote
	askID  uint64
	shard  string
	// results has room for one result; only the first one is kept.
	results chan askResult
	// withdrawn is closed once the slot is withdrawn.
	withdrawn chan struct{}

	stage stage
	// link is the stream over which a scheduler knows of the reservation; nil
	// for none.
	link *link
	// formerLink is the stream to the scheduler that a held slot has moved from, nil once that need not count
	// it any more, and movedAt is when it moved.
	formerLink *link
	movedAt    clock.Millis
	upstream   inventory.Upstream
	version    string
	grantedAt  clock.Millis
	// expiresAt is when an unconfirmed slot is lost, 0 for never.
	expiresAt clock.Millis
	confirmed bool
	// schedulerKnowsSent means that the scheduler was told that the request was
	// sent, by a confirmation or the first token.
	schedulerKnowsSent bool
	firstTokenAt       clock.Millis
	isWithdrawn        bool
	// terms are those on which the upstream was chosen.
	terms Terms
	// limited is set if the scheduler knows of a limit that the upstream names.
	limited bool
	// brittle is set if the scheduler knows that the upstream is brittle.
	brittle bool
	// told is what the upstream told of its load at toldAt, until the scheduler is told of it.
	told   noticer.Load
	toldAt clock.Millis
	// chargedBytes is the estimated cross-region volume that was charged for the
	// request; 0 for requests that stay in their region.
	chargedBytes int64
	// isLocal means that the slot belongs to the local share.
	isLocal bool
}

// addReservation adds a waiting reservation for which no scheduler has been asked
// yet.
func (r *Remote) addReservation(w want, shard string) *reservation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAskID++
	res := &reservation{
		want: w, remote: r, askID: r.lastAskID, shard: shard,
		results: make(chan askResult, 1), withdrawn: make(chan struct{}),
	}
	r.reservations[res.askID] = res
	return res
}

// attachLink makes l the stream of a waiting reservation and reports whether l
// is still open.
func (r *Remote) attachLink(res *reservation, l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	res.link = l
	if l.waitingSince == 0 {
		l.waitingSince = r.Clock.Now()
	}
	return true
}

// markHeld turns a reservation into a held slot. It is called with mu held.
func (r *Remote) markHeld(res *reservation, upstream inventory.Upstream, version string) {
	res.stage = stageHeld
	res.upstream = upstream
	res.version = version
	res.grantedAt = r.Clock.Now()
	if !res.isLocal {
		r.heldByUpstream[upstream.Name]++
	}
}

// release ends a reservation and returns the stream over which its scheduler has
// to be told, nil for none. isFirst is true only for the first call for a
// reservation.
func (r *Remote) release(res *reservation) (l *link, isFirst bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.stage == stageEnded {
		return nil, false
	}
	if res.stage == stageHeld && !res.isLocal {
		r.heldByUpstream[res.upstream.Name]--
		if r.heldByUpstream[res.upstream.Name] == 0 {
			delete(r.heldByUpstream, res.upstream.Name)
		}
	}
	res.stage = stageEnded
	delete(r.reservations, res.askID)
	return res.link, true
}

// detachLink detaches a reservation from its stream; a waiting one asks again. It
// is called with Remote.mu held.
func (res *reservation) detachLink() {
	res.link = nil
	if res.stage == stageWaiting {
		res.deliverResult(askResult{askAgain: true})
	}
}

// deliverResult passes the result to the goroutine that waits for it. Results
// after the first are dropped.
func (res *reservation) deliverResult(result askResult) {
	select {
	case res.results <- result:
	default:
	}
}

// handleMessage handles a message of a scheduler. Messages about reservations
// that have ended or moved to another stream are dropped, since the scheduler is
// told of the end or the move anyway.
func (r *Remote) handleMessage(l *link, down *wire.ReserveDown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := down.GetMessage().(type) {
	case *wire.ReserveDown_Grant:
		if res := r.reservationOn(l, m.Grant.GetAskId()); res != nil && res.stage == stageWaiting {
			r.handleGrant(res, m.Grant)
		}
	case *wire.ReserveDown_Refusal:
		if res := r.reservationOn(l, m.Refusal.GetAskId()); res != nil {
			res.handleRefusal(m.Refusal)
		}
	case *wire.ReserveDown_Notice:
		r.learnNotice(l, m.Notice)
	case *wire.ReserveDown_Heartbeat:
		l.noteAnswer()
	case *wire.ReserveDown_Withdrawal:
		if res := r.reservationOn(l, m.Withdrawal.GetAskId()); res != nil && !res.isWithdrawn {
			res.isWithdrawn = true
			close(res.withdrawn)
		}
	}
}

// reservationOn returns the reservation with the ID if l is its stream, else
// nil. It is called with mu held.
func (r *Remote) reservationOn(l *link, askID uint64) *reservation {
	res := r.reservations[askID]
	if res == nil || res.link != l {
		return nil
	}
	return res
}

// handleGrant turns a waiting reservation into a held slot. It is called with mu
// held.
func (r *Remote) handleGrant(res *reservation, grant *wire.Grant) {
	r.waitingByShard[res.shard] = int(grant.GetWaiting())
	upstream, found := inventory.Lookup(r.Source.Current().Upstreams, grant.GetUpstream())
	if !found {
		// The scheduler has another configuration, and this daemon does not know
		// the upstream.
		res.link.pushOrClose(cancelMessage(res.askID))
		res.detachLink()
		return
	}
	r.markHeld(res, upstream, grant.GetVersion())
	res.limited, res.brittle = grant.GetLimited(), grant.GetBrittle()
	res.terms = Terms{
		Known: true, Shard: res.shard, Scheduler: res.link.peer.Name, Running: int(grant.GetRunning()),
		FirstToken: clock.Millis(grant.GetFirstTokenMs()), KeptTokens: int(grant.GetKeptTokens()),
	}
	r.checkScheduled(res)
	res.expiresAt = res.grantedAt + clock.Millis(grant.GetExpiresMs()) - confirmTransit
	res.deliverResult(askResult{})
}

// handleRefusal ends a waiting ask, or detaches a reservation from a daemon that
// is not the scheduler of its shard. It is called with Remote.mu held.
func (res *reservation) handleRefusal(refusal *wire.Refusal) {
	switch {
	case refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER:
		res.detachLink()
	case res.stage == stageWaiting:
		res.link = nil
		res.deliverResult(askResult{refusal: refusal})
	}
}

// Upstream implements Slot.
func (res *reservation) Upstream() inventory.Upstream { return res.upstream }

// Terms returns the terms on which a scheduler chose the upstream.
func (res *reservation) Terms() Terms { return res.terms }

// Version returns the version that the scheduler chose; empty for a slot of
// the local share.
func (res *reservation) Version() string { return res.version }

// Confirm implements Slot.
func (res *reservation) Confirm() bool {
	r := res.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	if res.stage != stageHeld || res.isWithdrawn || res.isExpired() || r.Noticer.Avoids(r.Clock.Now(), res.upstream.Name) ||
		!allowsUpstream(r.Source.Current(), res.request, res.upstream) {
		return false
	}
	res.confirmed = true
	return true
}

// reportSent sends a confirmation shortly before the grant of a sent request would
// expire, unless the scheduler was already told by the first token, as it is for
// most requests. It is called with Remote.mu held.
func (res *reservation) reportSent(now clock.Millis) {
	if !res.confirmed || res.schedulerKnowsSent || res.link == nil || now < res.expiresAt-confirmLead {
		return
	}
	res.schedulerKnowsSent = true
	res.link.pushOrClose(&wire.ReserveUp{Message: &wire.ReserveUp_Confirm{Confirm: &wire.Confirm{AskId: res.askID}}})
}

// isExpired reports whether the scheduler may have granted the slot to another
// request. It is called with Remote.mu held.
func (res *reservation) isExpired() bool {
	return !res.confirmed && res.expiresAt > 0 && res.remote.Clock.Now() >= res.expiresAt
}

// Withdrawn implements Slot.
func (res *reservation) Withdrawn() <-chan struct{} { return res.withdrawn }

// FirstToken implements Slot.
func (res *reservation) FirstToken(cachedTokens int) {
	r := res.remote
	r.mu.Lock()
	if res.stage != stageHeld || res.firstTokenAt != 0 {
		r.mu.Unlock()
		return
	}
	res.firstTokenAt = max(r.Clock.Now(), 1)
	res.schedulerKnowsSent = true
	l, delay, told := res.link, res.firstTokenAt-res.grantedAt, res.takeTold()
	r.mu.Unlock()
	if l != nil {
		l.pushOrWait(&wire.ReserveUp{Message: &wire.ReserveUp_FirstToken{FirstToken: &wire.FirstToken{
			AskId: res.askID, WaitedMs: int64(delay), CachedTokens: int32(max(cachedTokens, 0)), Told: told,
			CachedUnknown: r.KeptPrompts && cachedTokens == CachedUnknown,
		}}})
	}
}

// takeTold returns what the upstream told of its load and the scheduler does not know, nil for
// nothing. It is called with Remote.mu held.
func (res *reservation) takeTold() (told *wire.ToldLoad) {
	if !res.told.Told() {
		return nil
	}
	told = &wire.ToldLoad{
		HeardMsAgo: int64(res.remote.Clock.Now() - res.toldAt), Running: int32(res.told.Running), Waiting: int32(res.told.Waiting),
		Slots: int32(res.told.Slots),
	}
	res.told = noticer.Load{}
	return told
}

// End implements Slot.
func (res *reservation) End(usage Usage) {
	r := res.remote
	l, isFirst := r.release(res)
	if !isFirst {
		return
	}
	r.settleVolume(res, usage)
	if res.isLocal {
		if usage.Outcome == Failed && usage.NotRun {
			r.Local.limits.hearRefusal(r.Clock.Now(), res.upstream)
		}
		r.Local.release(res.upstream.Name)
	}
	r.mu.Lock()
	former := res.takeFormer()
	var decode clock.Millis
	if res.firstTokenAt > 0 {
		decode = r.Clock.Now() - res.firstTokenAt
	}
	told := res.takeTold()
	r.mu.Unlock()
	if former != nil {
		former.pushOrClose(res.farewell(usage))
	}
	if l == nil {
		return
	}
	l.pushOrWait(&wire.ReserveUp{Message: &wire.ReserveUp_End{End: &wire.End{
		AskId: res.askID, Outcome: toWireOutcome(usage.Outcome), OutputTokens: int32(usage.OutputTokens), DecodeMs: int64(decode), Told: told,
		NotRun: usage.NotRun,
	}}})
}

// farewell returns the message that ends a slot at the scheduler that it has moved from. That one learns nothing
// of the answer, but that the run may go on.
func (res *reservation) farewell(usage Usage) *wire.ReserveUp {
	switch usage.Outcome {
	case Cancelled, ConnectionBroken, UpstreamDied:
		return &wire.ReserveUp{Message: &wire.ReserveUp_End{End: &wire.End{AskId: res.askID, Outcome: wire.Outcome_OUTCOME_CANCELLED, NotRun: usage.NotRun}}}
	case Completed, Failed, NotSent:
	}
	return cancelMessage(res.askID)
}

func toWireOutcome(outcome Outcome) wire.Outcome {
	switch outcome {
	case Completed:
		return wire.Outcome_OUTCOME_WHOLE
	case Failed:
		return wire.Outcome_OUTCOME_FAILED
	case NotSent:
		return wire.Outcome_OUTCOME_NOT_SENT
	case Cancelled:
		return wire.Outcome_OUTCOME_CANCELLED
	case ConnectionBroken:
		return wire.Outcome_OUTCOME_BROKE
	case UpstreamDied:
		return wire.Outcome_OUTCOME_UPSTREAM_DIED
	default:
		return wire.Outcome_OUTCOME_UNSPECIFIED
	}
}

// wireAsk returns the ask in its wire format.
func (res *reservation) wireAsk() *wire.Ask {
	req := res.request
	var hashes []uint32
	for _, h := range req.PrefixHashes {
		hashes = append(hashes, uint32(h))
	}
	ask := &wire.Ask{
		AskId: res.askID, Shard: res.shard, Organisation: req.Organisation, Route: req.Route, Tier: int32(min(req.TierPosition, math.MaxInt32)), TierNumber: int64(req.Tier) + 1,
		RemainingMs: int64(req.Deadline - res.remote.Clock.Now()), PromptTokens: int32(req.PromptTokens),
		MaxTokens: int32(req.MaxTokens), Idempotent: req.Idempotent, PrefixHashes: hashes,
		Fingerprint: req.Fingerprint, Excluded: res.excluded, Stream: req.Stream,
	}
	if res.remote.KeptPrompts {
		for i, hash := range req.PromptParts {
			ask.PartHashes, ask.PartTokens = append(ask.PartHashes, uint32(hash)), append(ask.PartTokens, int32(req.PartTokens[i]))
		}
	}
	now := res.remote.Clock.Now()
	if req.LatencyObjective > 0 && req.LastWriteAt == 0 {
		ask.HasObjective, ask.ObjectiveMs = true, int64(req.LatencyObjective-(now-req.Arrived))
	}
	if patienceEnd := req.PatienceEnd(); patienceEnd > 0 {
		ask.PatienceMs = int64(max(patienceEnd-now, 1))
	}
	return ask
}

// askMessage returns the ask of a reservation to the scheduler of a shard.
func (r *Remote) askMessage(res *reservation, l *link, shard sharder.Shard) *wire.ReserveUp {
	ask := res.wireAsk()
	ask.Notices, ask.Avoided, ask.ObjectiveOnly = r.unknownNotices(l, shard), r.avoidedUpstreams(shard), res.objectiveOnly
	return &wire.ReserveUp{Message: &wire.ReserveUp_Ask{Ask: ask}}
}

// announceMessage returns the message that announces a held slot to a scheduler.
// It is called with Remote.mu held.
func (res *reservation) announceMessage() *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Announce{Announce: &wire.Announce{
		Ask: res.wireAsk(), Upstream: res.upstream.Name, FirstTokenSeen: res.firstTokenAt > 0, Version: res.version,
	}}}
}

func cancelMessage(askID uint64) *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Cancel{Cancel: &wire.CancelAsk{AskId: askID}}}
}
