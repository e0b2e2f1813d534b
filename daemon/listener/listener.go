// Package listener accepts callers' requests and passes each through the
// classifier to the handler behind it.
package listener

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
)

// Handler takes a classified request on. The error is nil, a
// *refuser.Refusal where nothing was written yet, or any other error once an
// answer has begun.
type Handler interface {
	Handle(ctx context.Context, w http.ResponseWriter, req *classifier.Request) (err error)
}

// Listener is an http.Handler. Its exported fields are set before use.
type Listener struct {
	Source  inventory.Source
	Clock   clock.Clock
	Handler Handler

	classifier atomic.Pointer[classifier.Classifier]
}

// ServeHTTP implements http.Handler.
func (l *Listener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	tracked := &writer{ResponseWriter: w}
	err := l.serve(tracked, r)
	if err == nil {
		return
	}
	var refusal *refuser.Refusal
	if errors.As(err, &refusal) && !tracked.begun {
		refusal.Write(w)
		return
	}
	klog.ErrorS(err, "answer was cut", logger.KeyRequest, w.Header().Get(classifier.HeaderRequest))
	// The connection is broken off, so that the caller sees that the answer is
	// not whole.
	panic(http.ErrAbortHandler)
}

func (l *Listener) serve(w *writer, r *http.Request) (err error) {
	arrived := l.Clock.Now()
	id := uuid.NewString()
	w.Header().Set(classifier.HeaderRequest, id)
	current := l.current()
	limit := l.Source.Current().Limits.WithDefaults().BodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return badBody(err)
	}
	req, err := current.Classify(classifier.Head{
		ID: id, Arrived: arrived, Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Header: r.Header,
	}, body)
	if err != nil {
		return err
	}
	return l.Handler.Handle(r.Context(), w, req)
}

func badBody(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuser.New(http.StatusRequestEntityTooLarge, "body too large", err.Error())
	}
	return refuser.New(http.StatusBadRequest, "torn body", err.Error())
}

// current returns the classifier of the configuration in force.
func (l *Listener) current() *classifier.Classifier {
	config := l.Source.Current()
	known := l.classifier.Load()
	if known != nil && known.Revision() == config.Revision {
		return known
	}
	known = classifier.New(config)
	l.classifier.Store(known)
	return known
}

// writer notes whether an answer has begun.
type writer struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(piece []byte) (n int, err error) {
	w.begun = true
	return w.ResponseWriter.Write(piece)
}

// Unwrap lets http.ResponseController reach the writer below.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
