// Package listener is the HTTP server side of the daemon: it reads callers' requests,
// classifies them and passes them to a handler.
package listener

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/rationer"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/rescuer"
)

// Handler answers a classified request. The error is nil, a *refuser.Refusal if
// nothing was written yet, or any other error once an answer has begun. Any other one
// before that is told to the caller as an unknown outcome.
type Handler interface {
	Handle(ctx context.Context, w http.ResponseWriter, req *classifier.Request) (err error)
}

// Limits for reading bodies.
const (
	defaultBodyTimeout = 30 * clock.Second
	// busyRetryAfter is the Retry-After time of a request whose body the daemon has no memory for.
	busyRetryAfter = 1 * clock.Second
	// outdatedRetryAfter is the Retry-After time of a request that another daemon may have a route
	// or credential for.
	outdatedRetryAfter = 200 * clock.Millisecond
)

// Listener is an http.Handler. Its exported fields are set before use.
type Listener struct {
	Source  inventory.Source
	Clock   clock.Clock
	Handler Handler
	// Memory bounds the bodies of requests in progress; nil for no bound.
	Memory *rationer.Rationer
	// BodyTimeout is the time within which a caller must send the body; 0 stands
	// for 30 seconds.
	BodyTimeout clock.Millis
	// Head reads the head of a request of another API, whose routes name hosts; nil
	// serves this API.
	Head func(r *http.Request) classifier.Head
	// Provenance returns that of the configuration in force; nil if it is not known.
	Provenance func() inventory.Provenance
	// Rescuer records panics; nil only logs them.
	Rescuer *rescuer.Rescuer
	// Refuse writes refusals in the form of that API; nil writes problem documents.
	Refuse func(w http.ResponseWriter, refusal *refuser.Refusal)

	cachedClassifier atomic.Pointer[classifier.Classifier]
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := otel.Tracer("yuccaspread").Start(ctx, "ingress", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	tracked := &trackingWriter{ResponseWriter: w}
	err := l.serveRescued(tracked, r.WithContext(ctx))
	if err == nil {
		return
	}
	span.RecordError(err)
	if tracked.begun {
		klog.ErrorS(err, "answer was cut", logger.KeyRequest, tracked.id, logger.KeyOrganisation, tracked.organisation)
		// Aborting the connection shows the caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) {
		klog.ErrorS(err, "no answer came of a request", logger.KeyRequest, tracked.id, logger.KeyOrganisation, tracked.organisation)
		// A caller that has closed its sending side looks like one that has left, and may still read.
		refusal = refuser.NewUnknown(http.StatusBadGateway, "no answer", "the request may have run: "+err.Error())
		discardHeader(w.Header())
	}
	if tracked.panicked {
		discardHeader(w.Header())
	}
	classifier.MarkRefusal(w.Header(), r.Header, refusal)
	l.refuse(w, refusal)
}

func (l *Listener) refuse(w http.ResponseWriter, refusal *refuser.Refusal) {
	if l.Refuse != nil {
		l.Refuse(w, refusal)
		return
	}
	refusal.Write(w)
}

// discardHeader removes what was set for an answer that was not begun: headers of an upstream would vouch
// for a refusal that is not its own.
func discardHeader(header http.Header) {
	for name := range header {
		if name != "Connection" && name != http.CanonicalHeaderKey(classifier.HeaderRequestID) {
			delete(header, name)
		}
	}
}

// serveRescued is serve for a handler that may panic: net/http would close the connection without a word.
func (l *Listener) serveRescued(w *trackingWriter, r *http.Request) (err error) {
	defer func() {
		reason := recover()
		if reason == nil {
			return
		}
		if abort, is := reason.(error); is && errors.Is(abort, http.ErrAbortHandler) {
			panic(reason)
		}
		w.panicked = true
		err = l.Rescuer.Refuse(reason, w.id, w.organisation)
	}()
	return l.serve(w, r)
}

func (l *Listener) serve(w *trackingWriter, r *http.Request) (err error) {
	arrived := l.Clock.Now()
	// The read deadline is cleared only after the whole body was read: before the
	// server sends a refusal, it reads the rest of the body, and a caller that stops
	// sending must not block that. If the writer does not support deadlines, as in
	// tests, there is no timeout.
	timeout := cmp.Or(l.BodyTimeout, defaultBodyTimeout).Duration()
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(timeout))
	if l.Head != nil {
		return l.serveAdapted(w, r, arrived)
	}
	id := uuid.NewString()
	w.id = id
	w.Header().Set(classifier.HeaderRequestID, id)
	c := l.currentClassifier()
	organisation, err := c.Organisation(r.Header)
	w.organisation = organisation
	if err != nil {
		return err
	}
	body, release, err := l.readBounded(w, r)
	if err != nil {
		return err
	}
	defer release()
	req, err := c.Classify(organisation, classifier.Head{
		ID: id, Arrived: arrived, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Target: classifier.TargetOf(r), Header: r.Header,
	}, body)
	if err != nil {
		return err
	}
	return l.handle(w, r, req)
}

// serveAdapted serves a request of the API that Head reads.
func (l *Listener) serveAdapted(w *trackingWriter, r *http.Request, arrived clock.Millis) (err error) {
	head := l.Head(r)
	head.Arrived = arrived
	w.id = head.ID
	c := l.currentClassifier()
	admission, err := c.Admit(head)
	if err != nil {
		return l.refuseEarly(head.ID, err, c.Revision())
	}
	w.organisation = admission.Organisation.Name
	body, release, err := l.readBounded(w, r)
	if err != nil {
		return err
	}
	defer release()
	return l.handle(w, r, c.Complete(admission, head, body))
}

// refuseEarly logs why a request is refused, by which revision, and how current that is, and
// returns the refusal. Callers don't repeat what has no route or credential, so that this is only
// said by a configuration that can't be outdated.
func (l *Listener) refuseEarly(id string, reason error, revision int64) error {
	var p inventory.Provenance
	if l.Provenance != nil {
		p = l.Provenance()
	}
	klog.InfoS("request refused before its body was read", logger.KeyRequest, id, "reason", reason.Error(), "revision", revision,
		"in_force_ms", p.InForceMS, "from", p.From, "confirmed_ms_ago", p.ConfirmedMSAgo, "confirmed_by", p.ConfirmedBy, "may_be_outdated", p.MayBeOutdated)
	var refusal *refuser.Refusal
	if !p.MayBeOutdated || !errors.As(reason, &refusal) || (refusal.Status != http.StatusNotFound && refusal.Status != http.StatusUnauthorized) {
		return reason
	}
	outdated := refuser.New(http.StatusServiceUnavailable, "configuration may be outdated", reason.Error())
	outdated.RetryAfter = outdatedRetryAfter
	return outdated
}

// handle adds the classification to the trace span and calls the handler.
func (l *Listener) handle(w *trackingWriter, r *http.Request, req *classifier.Request) (err error) {
	trace.SpanFromContext(r.Context()).SetAttributes(
		attribute.String("request_id", req.ID), attribute.String("organisation", req.Organisation),
		attribute.String("route", req.Route), attribute.Int("tier", req.Tier),
	)
	return l.Handler.Handle(r.Context(), w, req)
}

// readBounded reads the body within the limits on its own size and on the total of
// all bodies. The caller calls release when the body is no longer used. Any error is
// a *refuser.Refusal.
func (l *Listener) readBounded(w *trackingWriter, r *http.Request) (body []byte, release func(), err error) {
	limit := l.Source.Current().Limits.WithDefaults().BodyBytes
	size := r.ContentLength
	if size < 0 || size > limit {
		size = limit
	}
	if !l.Memory.Take(size) {
		klog.InfoS("no memory for the body of a request", logger.KeyRequest, w.id, logger.KeyOrganisation, w.organisation, "bytes", size,
			"stated", r.ContentLength >= 0, "held_bytes", l.Memory.Held())
		refusal := refuser.New(http.StatusServiceUnavailable, "busy", "no memory for the body of the request")
		refusal.RetryAfter = busyRetryAfter
		return nil, nil, refusal
	}
	body, err = readBody(w, r, limit)
	if err != nil {
		l.Memory.Return(size)
		return nil, nil, err
	}
	// A body of unknown length was counted at the limit.
	read := int64(len(body))
	l.Memory.Return(size - read)
	return body, func() { l.Memory.Return(read) }, nil
}

// readBody reads the whole body of up to limit bytes and clears the read deadline. Any
// error is a *refuser.Refusal.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, err error) {
	// One allocation of the stated length: a buffer that grows takes several times as much.
	buffer := bytes.NewBuffer(make([]byte, 0, bytes.MinRead+max(0, min(r.ContentLength, limit))))
	_, err = buffer.ReadFrom(http.MaxBytesReader(w, r.Body, limit))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return buffer.Bytes(), nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuser.New(http.StatusRequestEntityTooLarge, "body too large", err.Error())
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, refuser.New(http.StatusRequestTimeout, "slow body", "the body did not arrive in time")
	}
	return nil, refuser.New(http.StatusBadRequest, "torn body", err.Error())
}

// currentClassifier returns the classifier of the current configuration. It creates
// one when the revision has changed.
func (l *Listener) currentClassifier() *classifier.Classifier {
	config := l.Source.Current()
	cached := l.cachedClassifier.Load()
	if cached != nil && cached.Revision() == config.Revision {
		return cached
	}
	cached = classifier.New(config)
	l.cachedClassifier.Store(cached)
	return cached
}

// trackingWriter records whether an answer has begun.
type trackingWriter struct {
	http.ResponseWriter
	begun bool
	// panicked is set once the handling of the request has panicked.
	panicked bool
	// id is the id of the request, empty until it is known.
	id string
	// organisation is the organisation of the request, empty until it is known.
	organisation string
}

// WriteHeader implements http.ResponseWriter.
func (w *trackingWriter) WriteHeader(status int) {
	// It panics, with nothing written, for a status that is none.
	w.ResponseWriter.WriteHeader(status)
	w.begun = true
}

// Write implements http.ResponseWriter.
func (w *trackingWriter) Write(piece []byte) (n int, err error) {
	w.begun = true
	return w.ResponseWriter.Write(piece)
}

// Unwrap gives http.ResponseController access to the wrapped writer.
func (w *trackingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
