// Package dispatcher handles classified requests: it looks up the answer to a
// repeated key, reserves a slot, claims the key, sends the request to an upstream,
// relays the answer and retries where that is safe.
package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/quarantiner"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/rescuer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Timeouts around the deadline of a request.
const (
	// refusalGrace is how long after the deadline a refusal may be sent, because
	// the table is read first to find out whether the request has run.
	refusalGrace = 5 * clock.Second
	// maxRunTime bounds a request that was sent. It exceeds the deadline because a
	// caller that repeats the key still needs the answer.
	maxRunTime = 15 * clock.Minute
)

// Joiner fetches the answer of a request that another daemon runs or has run.
type Joiner interface {
	// Join copies the answer that the daemon named holder has for the request into
	// answer, which stays open. An error means that the copy is incomplete; it is a
	// *refuser.Refusal if nothing was copied.
	Join(ctx context.Context, holder string, req *classifier.Request, answer *deduplicator.Answer) (err error)
}

// Dispatcher handles requests. Its exported fields are set before use.
type Dispatcher struct {
	Source       inventory.Source
	Clock        clock.Clock
	Reserver     reserver.Reserver
	Sender       *sender.Sender
	Claimer      *claimer.Claimer
	Deduplicator *deduplicator.Deduplicator
	Joiner       Joiner
	Quarantiner  *quarantiner.Quarantiner
	// Objects stores the answers that are too large for the table.
	Objects platform.ObjectStore
	// Name is the name of this daemon.
	Name string
	// SilenceTimeout is the time without data after which a stream is resumed or its
	// upstream probed; 0 stands for the relayer's default.
	SilenceTimeout clock.Millis
	// Rescuer records panics; nil only logs them.
	Rescuer *rescuer.Rescuer
	// Registerer registers the counters; nil registers none.
	Registerer prometheus.Registerer

	counters counters
	budget   budget
	running  sync.WaitGroup
}

// Wait waits until all running requests have ended, including those whose callers
// left, and their answers are stored. It returns the error of ctx if that ends first.
func (d *Dispatcher) Wait(ctx context.Context) (err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.running.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Handle writes an upstream's answer to w, or returns the *refuser.Refusal for the
// caller. Any other error means that the answer is missing or incomplete.
func (d *Dispatcher) Handle(ctx context.Context, w http.ResponseWriter, req *classifier.Request) (err error) {
	defer func() { d.counters.countRequest(d.Registerer, req, err) }()
	entry, first := d.findEntry(req)
	if req.Key != "" && entry.Fingerprint != req.Fingerprint {
		return refuseReusedKey()
	}
	reader, err := entry.Answer.Read()
	if err != nil {
		return refuser.NewUnknown(http.StatusConflict, "runs", "the request runs and its answer is too large to be joined")
	}
	defer reader.Close()
	if first {
		d.startRun(ctx, req, entry)
	}
	if err = d.waitForHead(ctx, req, entry, reader); err != nil {
		return err
	}
	return relayer.WriteAnswer(ctx, w, reader)
}

// waitForHead waits for the head of the answer until the deadline, and up to
// refusalGrace longer for the refusal of a request that was not sent.
func (d *Dispatcher) waitForHead(ctx context.Context, req *classifier.Request, entry *deduplicator.Entry, reader *deduplicator.Reader) (err error) {
	for _, timeout := range []clock.Millis{req.Deadline - d.Clock.Now(), refusalGrace} {
		waitCtx, cancel := context.WithTimeout(ctx, timeout.Duration())
		_, err = reader.Head(waitCtx)
		timedOut := waitCtx.Err() != nil && errors.Is(err, waitCtx.Err())
		cancel()
		if !timedOut || ctx.Err() != nil {
			return err
		}
		if entry.Sent.Load() {
			break
		}
	}
	return refuser.NewUnknown(http.StatusGatewayTimeout, "deadline", "no answer came before the deadline; the request may have run")
}

// findEntry returns the entry of the request, which it shares with requests that
// repeat its key. first reports whether the entry is new and the request has to run.
func (d *Dispatcher) findEntry(req *classifier.Request) (entry *deduplicator.Entry, first bool) {
	if req.Key == "" {
		return d.Deduplicator.NewUnkeyedEntry(), true
	}
	limit := d.Source.Current().Limits.WithDefaults().StoredAnswerBytes
	key := deduplicator.Key{Organisation: req.Organisation, Key: req.Key}
	return d.Deduplicator.Begin(key, req.Fingerprint, int(limit))
}

// startRun runs the request in a goroutine. A request with a key continues when its
// caller leaves, because the caller may repeat the key to get the answer.
func (d *Dispatcher) startRun(ctx context.Context, req *classifier.Request, entry *deduplicator.Entry) {
	if req.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, maxRunTime.Duration())
	d.running.Go(func() {
		defer cancel()
		defer d.rescue(req, entry)
		d.runRequest(ctx, req, entry)
	})
}

// rescue ends the entry of a request that panics, and is deferred: a panic would end the process, and with
// it all other requests. A claim stays, as the request may have run.
func (d *Dispatcher) rescue(req *classifier.Request, entry *deduplicator.Entry) {
	if reason := recover(); reason != nil {
		d.Deduplicator.End(entry, d.Rescuer.Refuse(reason, req.ID, req.Organisation))
	}
}

// withDeadline returns a context that ends at the deadline.
func (d *Dispatcher) withDeadline(ctx context.Context, deadline clock.Millis) (deadlineCtx context.Context, cancel context.CancelFunc) {
	return context.WithTimeout(ctx, (deadline - d.Clock.Now()).Duration())
}

func refuseReusedKey() error {
	return refuser.NewUnknown(http.StatusUnprocessableEntity, "key reused", "the key came with another body before")
}
