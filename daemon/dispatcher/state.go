package dispatcher

import (
	"errors"

	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/relayer"
)

// State is the progress of an attempt.
type State int

// The states of an attempt, in order. Unknown is the end of an attempt that left
// NotSent and did not become Completed.
const (
	// NotSent means that no byte of the request was sent, and that none will be
	// sent once the attempt has ended.
	NotSent State = iota
	// PartlySent means that some bytes of the request may have been sent.
	PartlySent
	// Sent means that an upstream answered, but no part of the answer was forwarded.
	Sent
	// Answering means that a part of the answer was forwarded.
	Answering
	// Completed means that the complete answer was forwarded.
	Completed
	// Unknown means that the request may have run.
	Unknown
)

// String returns the state in snake case, as logs and metrics show it.
func (s State) String() string {
	return [...]string{"not_sent", "partly_sent", "sent", "answering", "whole", "unknown"}[s]
}

// stateAfter returns the state of an attempt that ended with err. maybeSent reports
// whether a byte of the request may have been sent.
func stateAfter(err error, maybeSent bool, answer *deduplicator.Answer) State {
	var status *relayer.StatusError
	switch {
	case err == nil:
		return Completed
	case maybeSent && answer.HasHead():
		return Answering
	case maybeSent && (errors.As(err, &status) || errors.Is(err, relayer.ErrIncomplete) || errors.Is(err, relayer.ErrWrongAttempt)):
		return Sent
	case maybeSent:
		return PartlySent
	default:
		return NotSent
	}
}

// allowsRetry reports whether another attempt is safe after one that ended in s.
func (s State) allowsRetry(idempotent bool) bool {
	switch s {
	case NotSent:
		return true
	case PartlySent, Sent:
		return idempotent
	case Answering, Completed, Unknown:
	}
	return false
}
