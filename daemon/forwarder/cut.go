package forwarder

import "errors"

// cutCause is what ended an answer that had begun and is not whole. Logs and metrics show it.
type cutCause string

const (
	cutByDeadline cutCause = "deadline"
	cutByStop     cutCause = "stop"
	// cutAfterGivingUp means that this daemon ended an attempt in the middle of the answer, and that the answer did
	// not go on at another upstream.
	cutAfterGivingUp cutCause = "given_up"
	cutByUpstream    cutCause = "upstream"
	cutOtherwise     cutCause = "other"
)

// recordGivingUp records an attempt that ended with err, if this daemon ended it in the middle of the answer.
func (r *requestState) recordGivingUp(err error) {
	if r.headWritten && (errors.Is(err, errSilent) || errors.Is(err, errCutOff)) {
		r.gaveUp = true
	}
	r.wasToPassOn = r.wasToPassOn || r.wasEndedInCut(err)
}

// wasEndedInCut reports whether this daemon ended an attempt in the middle of the answer because it is cut off. That
// tells nothing of the upstream.
func (r *requestState) wasEndedInCut(err error) bool {
	return r.headWritten && errors.Is(err, errCutOff)
}

// causeOfCut returns what ended an answer with err before it was whole.
func (r *requestState) causeOfCut(err error) cutCause {
	switch {
	case errors.Is(err, errStopping):
		return cutByStop
	case r.timeLeft() <= r.withheldTime:
		return cutByDeadline
	case r.gaveUp:
		return cutAfterGivingUp
	case r.connectionBroke:
		return cutByUpstream
	default:
		return cutOtherwise
	}
}
