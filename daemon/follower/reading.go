package follower

import (
	"cmp"
	"errors"

	"yuccaspread/common/clock"
)

// Role is the part that a daemon has in reading the register.
type Role int

const (
	// Reader waits long for changes. It is the zero value.
	Reader Role = iota
	// Lead waits briefly, so that it notices a register that went silent while the
	// connection stayed open, and reads again within the apply bound.
	Lead
	// Idle learns changes from peers.
	Idle
)

// Duty is how a daemon keeps its copy of the register up to date. The zero value is
// that of a reader.
type Duty struct {
	Role Role
	// RelaysReads is set if the daemon relays what it learns from the register even though it is
	// not overdue.
	RelaysReads bool
	// MaxAge is the age of the last confirmation from which the daemon reads the
	// register whatever its role; 0 for never.
	MaxAge clock.Millis
}

// callTiming bounds the calls to the register.
type callTiming struct {
	// wait is how long a call waits for changes, and margin the time that its reply may
	// take beyond that.
	wait, margin clock.Millis
	// maxPause bounds the pause after consecutive failures, before jitter.
	maxPause clock.Millis
}

// replyMargin is the time that a reply may take beyond the wait of a call.
const replyMargin = 1 * clock.Second

// Parts of the apply bound that the calls of a lead may take, in percent. A reply that is
// lost right after the start of a call costs wait, margin, the first pause and another
// call; what is left of the bound is for the news to reach all daemons.
const (
	leadWaitPercent   = 40
	leadMarginPercent = 28
	leadPausePercent  = 24
)

// Parts of the apply bound, in percent, after which a daemon reads the register itself because
// nobody has confirmed what it knows. What is left of the bound is for its own call.
const (
	// maxAgePercent is the age of a confirmation up to which no daemon reads by itself: that
	// of a lead, which comes each leadWaitPercent, and the time to pass it on.
	maxAgePercent = 55
	// overdueSpreadPercent is the time over which daemons start to read by themselves, so that
	// the first can tell the others.
	overdueSpreadPercent = 15
	// relayStepPercent is how much newer than the last relayed confirmation another one has to
	// be to be relayed.
	relayStepPercent = 20
	// standstillPercent is how long a process may stand still until what it knows counts as
	// unconfirmed.
	standstillPercent = 10
)

// replySentAt returns the earliest time at which a reply of the register may have been sent. It
// may have been on its way, or unread, since then.
func replySentAt(startedAt, now, wait clock.Millis, hasWaited bool) clock.Millis {
	if !hasWaited {
		return startedAt
	}
	return min(now, startedAt+wait)
}

// defaultApplyBound stands for an apply bound that is not set. The timing of a lead is that of
// a reader then.
const defaultApplyBound = 30 * clock.Second

// readerTiming is the timing of a daemon that is not a lead.
func readerTiming() callTiming {
	return callTiming{wait: changesWait, margin: replyMargin, maxPause: maxRetryPause}
}

// newCallTiming returns the timing for a role.
func newCallTiming(role Role, applyBound clock.Millis) callTiming {
	timing := readerTiming()
	if role != Lead {
		return timing
	}
	return callTiming{
		wait:     min(partOf(applyBound, leadWaitPercent), timing.wait),
		margin:   min(partOf(applyBound, leadMarginPercent), timing.margin),
		maxPause: min(partOf(applyBound, leadPausePercent), timing.maxPause),
	}
}

// partOf returns a part of an apply bound, in percent.
func partOf(applyBound clock.Millis, percent clock.Millis) clock.Millis {
	return cmp.Or(applyBound, defaultApplyBound) * percent / 100
}

// Reasons to end a call that waits for changes before its time.
var (
	errRoleChanged = errors.New("daemon became a lead; its calls wait briefly from now on")
	errMissedNews  = errors.New("call misses a change that a peer knows")
	errUnconfirmed = errors.New("neither the register nor a peer has confirmed the known state for too long")
)

// missedNewsGrace is how much later than from a peer a change may arrive from the register.
const missedNewsGrace = 500 * clock.Millisecond

// openCall is a call to the register that waits for changes.
type openCall struct {
	table     string
	startedAt clock.Millis
	timing    callTiming
}

// freshness records how current the known rows of one table are.
type freshness struct {
	// confirmedAt is the newest moment as of which all changes are known, 0 for none.
	confirmedAt clock.Millis
	// confirmedBy names the daemon that learned this from the register.
	confirmedBy string
	// relayedAt is the newest confirmedAt that has been relayed to the fleet, as far as known here.
	relayedAt clock.Millis
	// newsAt is when a peer sent a change that was not known here, 0 for never.
	newsAt clock.Millis
}

// confirm records that all changes until a moment are known, by the word of a daemon that read
// the register.
func (f *freshness) confirm(at clock.Millis, by string) {
	if at > f.confirmedAt {
		f.confirmedAt, f.confirmedBy = at, by
	}
}

// beginRelay reports whether the confirmation is so much newer than what has been relayed that
// it has to be relayed too, and counts it as relayed then. The first one is not relayed: where
// many daemons start or wake at once, each reads the register.
func (f *freshness) beginRelay(applyBound clock.Millis) bool {
	isFirst := f.relayedAt == 0
	if f.confirmedAt-f.relayedAt < partOf(applyBound, relayStepPercent) {
		return false
	}
	f.relayedAt = f.confirmedAt
	return !isFirst
}

// isOverdue reports whether the last confirmation is older than a duty allows.
func (f *freshness) isOverdue(now clock.Millis, duty Duty) bool {
	return duty.MaxAge > 0 && now-f.confirmedAt > duty.MaxAge
}

// endReason returns why a call has to end now, nil to let it go on.
func (f *freshness) endReason(now clock.Millis, call openCall, duty Duty, applyBound clock.Millis) error {
	timing := newCallTiming(duty.Role, applyBound)
	switch {
	case f.newsAt > call.startedAt && now-f.newsAt > missedNewsGrace:
		return errMissedNews
	case timing.wait < call.timing.wait && now-call.startedAt > timing.wait:
		return errRoleChanged
	case f.isOverdue(now, duty) && now-call.startedAt > replyMargin:
		return errUnconfirmed
	}
	return nil
}
