package dispatcher

import (
	"errors"

	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/relayer"
)

// State is how far an attempt has come.
type State int

// The states of an attempt, each after the one before it. Unknown is the end
// of an attempt that left NotSent and did not become Whole.
const (
	// NotSent means that no byte went out, and that none ever will where the
	// attempt has ended.
	NotSent State = iota
	// PartlySent means that some bytes of the request may have gone out.
	PartlySent
	// Sent means that an upstream has answered something.
	Sent
	// Answering means that a part of the answer has gone on.
	Answering
	// Whole means that all of the answer has.
	Whole
	// Unknown means that the request may have run.
	Unknown
)

// String returns the state in snake case, as logs and metrics show it.
func (s State) String() string {
	return [...]string{"not_sent", "partly_sent", "sent", "answering", "whole", "unknown"}[s]
}

// reached returns the state of an attempt that ended with err. began tells
// that a byte of the request may have gone out.
func reached(err error, began bool, answer *keeper.Answer) State {
	var status *relayer.StatusError
	switch {
	case err == nil:
		return Whole
	case began && answer.Begun():
		return Answering
	case began && (errors.As(err, &status) || errors.Is(err, relayer.ErrCut) || errors.Is(err, relayer.ErrCrossed)):
		return Sent
	case began:
		return PartlySent
	default:
		return NotSent
	}
}

// another tells whether another attempt is safe after one that ended in s.
func (s State) another(idempotent bool) bool {
	switch s {
	case NotSent:
		return true
	case PartlySent, Sent:
		return idempotent
	case Answering, Whole, Unknown:
	}
	return false
}
