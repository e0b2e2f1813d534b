// Package forwarder sends classified requests to upstreams, retries them where that
// is safe, and forwards the answers. It is for callers that give every retry an id
// of its own: no answer is stored for repeated requests, and the state of the
// attempts alone decides whether a request may have run.
package forwarder

import (
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
)

// Attempt is one attempt to send a request to an upstream.
type Attempt struct {
	Request  *classifier.Request
	Upstream inventory.Upstream
	// TimeLeft is the time until the request's deadline.
	TimeLeft clock.Millis
	// LastEventID is the id of the event after which the stream continues; empty
	// starts from the beginning.
	LastEventID string
}

// ResponseInfo holds the protocol fields that an upstream's answer carries besides its
// status and body.
type ResponseInfo struct {
	// RequestID is the id of the request that the answer belongs to; empty if the
	// upstream does not name it.
	RequestID string
	// Authenticated reports whether the upstream marked the answer as its own.
	Authenticated bool
	// NotRun reports whether the upstream stated that it did not run the request.
	NotRun bool
	// OtherInstance reports whether another process now serves the address.
	OtherInstance bool
	// Notice is what the upstream said of itself.
	Notice noticer.Notice
}

// Protocol writes the request headers and reads the answer headers of the protocol
// between daemon and upstream.
type Protocol interface {
	// Header returns the request headers of an attempt.
	Header(a Attempt) http.Header
	// ResponseInfo reads the protocol fields from an answer's status and headers.
	ResponseInfo(status int, header http.Header) ResponseInfo
	// ReportPath returns the path of a GET that the upstreams of a request answer at once, whatever
	// they have to do; empty for none.
	ReportPath(req *classifier.Request) string
}

// CallerProtocol writes request headers as callers do.
type CallerProtocol interface {
	// CallerHeader returns the end-to-end headers of the caller, its credential included, with the
	// time that is left and the place in the stream where the answer goes on. The attempt has no
	// upstream.
	CallerHeader(a Attempt) http.Header
}
