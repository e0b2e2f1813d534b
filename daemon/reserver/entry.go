package reserver

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/classifier"
)

// confirmTime is the time that a confirmation may take to the scheduler.
const confirmTime = 500 * clock.Millisecond

// confirmLead is how long before the expiry of a grant its confirmation goes
// out.
const confirmLead = 1 * clock.Second

// stage is how far an entry has come.
type stage int

const (
	waiting stage = iota
	held
	ended
)

// answer is what a waiting ask came to: a grant where refusal is nil and lost
// is not set.
type answer struct {
	refusal *wire.Refusal
	// lost tells that the ask must be made again.
	lost bool
}

// entry is one ask or slot of this daemon. The fields below the gap are
// guarded by the Remote's lock.
type entry struct {
	remote   *Remote
	number   uint64
	shard    string
	request  *classifier.Request
	excluded []string
	// answers takes one answer, while waiting.
	answers chan answer
	// withdrawn is closed once the slot is withdrawn.
	withdrawn chan struct{}

	stage stage
	// link is the stream on which a scheduler knows of it, nil for none.
	link     *link
	upstream inventory.Upstream
	version  string
	granted  clock.Millis
	// expires is when an unconfirmed slot is lost, 0 for never.
	expires   clock.Millis
	confirmed bool
	// told tells that the scheduler knows that the request was sent.
	told        bool
	firstToken  clock.Millis
	isWithdrawn bool
	// bytes is the paid volume that was set aside for the request.
	bytes int64
	// local tells that the slot is one of the local share.
	local bool
}

// register makes a waiting entry that is not asked anywhere yet.
func (r *Remote) register(req *classifier.Request, excluded []string, shard string) *entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastNumber++
	e := &entry{
		remote: r, number: r.lastNumber, shard: shard, request: req, excluded: excluded,
		answers: make(chan answer, 1), withdrawn: make(chan struct{}),
	}
	r.entries[e.number] = e
	return e
}

// attach makes l the stream of a waiting entry; it fails once l is closed.
func (r *Remote) attach(e *entry, l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.ctx.Err() != nil {
		return false
	}
	e.link = l
	return true
}

// hold turns an entry into a slot; the lock is held.
func (r *Remote) hold(e *entry, upstream inventory.Upstream, version string) {
	e.stage = held
	e.upstream = upstream
	e.version = version
	e.granted = r.Clock.Now()
	if !e.local {
		r.held[upstream.Name]++
	}
}

// release ends an entry and returns the stream on which to say so. Only the
// first call for an entry returns true.
func (r *Remote) release(e *entry) (l *link, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.stage == ended {
		return nil, false
	}
	if e.stage == held && !e.local {
		r.held[e.upstream.Name]--
		if r.held[e.upstream.Name] == 0 {
			delete(r.held, e.upstream.Name)
		}
	}
	e.stage = ended
	delete(r.entries, e.number)
	return e.link, true
}

// lose leaves an entry without stream and tells it to ask again if it waits;
// the lock is held.
func (e *entry) lose() {
	e.link = nil
	if e.stage == waiting {
		e.tell(answer{lost: true})
	}
}

// tell passes the answer on; an entry takes only the first.
func (e *entry) tell(a answer) {
	select {
	case e.answers <- a:
	default:
	}
}

// take handles a message of a scheduler. Messages about entries that have
// ended or moved to another stream are dropped, since their scheduler is told
// of that anyway.
func (r *Remote) take(l *link, down *wire.ReserveDown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m := down.GetMessage().(type) {
	case *wire.ReserveDown_Grant:
		if e := r.on(l, m.Grant.GetAskId()); e != nil && e.stage == waiting {
			r.grant(e, m.Grant)
		}
	case *wire.ReserveDown_Refusal:
		if e := r.on(l, m.Refusal.GetAskId()); e != nil {
			e.refuse(m.Refusal)
		}
	case *wire.ReserveDown_Withdrawal:
		if e := r.on(l, m.Withdrawal.GetAskId()); e != nil && !e.isWithdrawn {
			e.isWithdrawn = true
			close(e.withdrawn)
		}
	}
}

// on returns the entry with the number if l is its stream.
func (r *Remote) on(l *link, number uint64) *entry {
	e := r.entries[number]
	if e == nil || e.link != l {
		return nil
	}
	return e
}

func (r *Remote) grant(e *entry, grant *wire.Grant) {
	r.load[e.shard] = int(grant.GetWaiting())
	upstream, found := inventory.Lookup(r.Source.Current().Upstreams, grant.GetUpstream())
	if !found {
		// The scheduler has another configuration: the slot is of no use here.
		e.link.post(cancelAsk(e.number))
		e.lose()
		return
	}
	r.hold(e, upstream, grant.GetVersion())
	e.expires = e.granted + clock.Millis(grant.GetExpiresMs()) - confirmTime
	e.tell(answer{})
}

func (e *entry) refuse(refusal *wire.Refusal) {
	switch {
	case refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_NOT_SCHEDULER:
		e.lose()
	case e.stage == waiting:
		e.link = nil
		e.tell(answer{refusal: refusal})
	}
}

// Upstream implements Slot.
func (e *entry) Upstream() inventory.Upstream { return e.upstream }

// Version returns the version that the scheduler chose; empty for a slot of
// the local share.
func (e *entry) Version() string { return e.version }

// Confirm implements Slot.
func (e *entry) Confirm() bool {
	r := e.remote
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.stage != held || e.isWithdrawn || e.expired() {
		return false
	}
	e.confirmed = true
	return true
}

// tellConfirmed tells the scheduler of a request that was sent and whose
// first token does not come before the grant would expire. Of most requests
// the first token tells as much. The lock is held.
func (e *entry) tellConfirmed(now clock.Millis) {
	if !e.confirmed || e.told || e.link == nil || now < e.expires-confirmLead {
		return
	}
	e.told = true
	e.link.post(&wire.ReserveUp{Message: &wire.ReserveUp_Confirm{Confirm: &wire.Confirm{AskId: e.number}}})
}

// expired tells whether the scheduler has given the slot to another; the lock
// is held.
func (e *entry) expired() bool {
	return !e.confirmed && e.expires > 0 && e.remote.Clock.Now() >= e.expires
}

// Withdrawn implements Slot.
func (e *entry) Withdrawn() <-chan struct{} { return e.withdrawn }

// FirstToken implements Slot.
func (e *entry) FirstToken(cachedTokens int) {
	r := e.remote
	r.mu.Lock()
	if e.stage != held || e.firstToken != 0 {
		r.mu.Unlock()
		return
	}
	e.firstToken = max(r.Clock.Now(), 1)
	e.told = true
	l, waited := e.link, e.firstToken-e.granted
	r.mu.Unlock()
	if l != nil {
		l.push(&wire.ReserveUp{Message: &wire.ReserveUp_FirstToken{FirstToken: &wire.FirstToken{
			AskId: e.number, WaitedMs: int64(waited), CachedTokens: int32(cachedTokens),
		}}})
	}
}

// End implements Slot.
func (e *entry) End(usage Usage) {
	r := e.remote
	l, first := r.release(e)
	if !first {
		return
	}
	r.settle(e, usage)
	if e.local {
		r.Local.giveBack(e.upstream.Name)
	}
	if l == nil {
		return
	}
	var decode clock.Millis
	if e.firstToken > 0 {
		decode = r.Clock.Now() - e.firstToken
	}
	l.push(&wire.ReserveUp{Message: &wire.ReserveUp_End{End: &wire.End{
		AskId: e.number, Outcome: outcome(usage.Outcome), OutputTokens: int32(usage.OutputTokens), DecodeMs: int64(decode),
	}}})
}

func outcome(o Outcome) wire.Outcome {
	switch o {
	case Whole:
		return wire.Outcome_OUTCOME_WHOLE
	case Failed:
		return wire.Outcome_OUTCOME_FAILED
	case NotSent:
		return wire.Outcome_OUTCOME_NOT_SENT
	case Cancelled:
		return wire.Outcome_OUTCOME_CANCELLED
	case Broke:
		return wire.Outcome_OUTCOME_BROKE
	case Died:
		return wire.Outcome_OUTCOME_UPSTREAM_DIED
	default:
		return wire.Outcome_OUTCOME_UNSPECIFIED
	}
}

// wireAsk returns the ask as a scheduler takes it.
func (e *entry) wireAsk() *wire.Ask {
	req := e.request
	var hashes []uint32
	for _, h := range req.PrefixHashes {
		hashes = append(hashes, uint32(h))
	}
	ask := &wire.Ask{
		AskId: e.number, Shard: e.shard, Organisation: req.Organisation, Route: req.Route, Tier: int32(req.Tier),
		RemainingMs: int64(req.Deadline - e.remote.Clock.Now()), PromptTokens: int32(req.PromptTokens),
		MaxTokens: int32(req.MaxTokens), Idempotent: req.Idempotent, PrefixHashes: hashes,
		Fingerprint: req.Fingerprint, Excluded: e.excluded,
	}
	now := e.remote.Clock.Now()
	if req.Objective > 0 && req.Heard == 0 {
		ask.HasObjective, ask.ObjectiveMs = true, int64(req.Objective-(now-req.Arrived))
	}
	if leaves := req.Leaves(); leaves > 0 {
		ask.PatienceMs = int64(max(leaves-now, 1))
	}
	return ask
}

func (e *entry) ask() *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Ask{Ask: e.wireAsk()}}
}

// announce tells of a slot; the lock is held.
func (e *entry) announce() *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Announce{Announce: &wire.Announce{
		Ask: e.wireAsk(), Upstream: e.upstream.Name, FirstTokenSeen: e.firstToken > 0, Version: e.version,
	}}}
}

func cancelAsk(number uint64) *wire.ReserveUp {
	return &wire.ReserveUp{Message: &wire.ReserveUp_Cancel{Cancel: &wire.CancelAsk{AskId: number}}}
}
