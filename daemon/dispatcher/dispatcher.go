// Package dispatcher drives one request from its classification to the end of
// its answer: repeat check, reservation, claim, attempts and relay.
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
	"yuccaspread/daemon/convictor"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Spans around the deadline of a request.
const (
	// refuseGrace is how long a refusal may come after the deadline, because
	// it first has to find out whether the request ran.
	refuseGrace = 5 * clock.Second
	// runTime bounds a request that was sent: its answer is wanted by whoever
	// repeats the key, also after the deadline.
	runTime = 15 * clock.Minute
)

// Joiner brings the answer of a request that another daemon runs or has run.
type Joiner interface {
	// Join copies the answer into the given one, which stays open. An error
	// means that the answer is not whole; it is a *refuser.Refusal where
	// nothing was copied.
	Join(ctx context.Context, holder string, req *classifier.Request, into *keeper.Answer) (err error)
}

// Dispatcher handles requests. Its exported fields are set before use.
type Dispatcher struct {
	Source    inventory.Source
	Clock     clock.Clock
	Reserver  reserver.Reserver
	Sender    *sender.Sender
	Claimer   *claimer.Claimer
	Keeper    *keeper.Keeper
	Joiner    Joiner
	Convictor *convictor.Convictor
	// Objects keeps the answers that are too large for the table.
	Objects platform.ObjectStore
	// Self is the name of this daemon.
	Self string
	// Silence is the time without a byte after which a stream is proved; 0
	// stands for the relayer's default.
	Silence clock.Millis
	// Registerer takes the counters; nil for none.
	Registerer prometheus.Registerer

	counters counters
	budget   budget
	running  sync.WaitGroup
}

// Wait waits for the requests that run on without their callers.
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

// Handle answers the request on w, either with an upstream's answer or with
// the refusal that it returns.
func (d *Dispatcher) Handle(ctx context.Context, w http.ResponseWriter, req *classifier.Request) (err error) {
	defer func() { d.counters.request(d.Registerer, req, err) }()
	entry, first := d.enter(req)
	if req.Key != "" && entry.Fingerprint != req.Fingerprint {
		return otherBody()
	}
	reader, err := entry.Answer.Read()
	if err != nil {
		return refuser.NewUnknown(http.StatusConflict, "runs", "the request runs and its answer is too large to be joined")
	}
	defer reader.Close()
	if first {
		d.start(ctx, req, entry)
	}
	if err = d.head(ctx, req, entry, reader); err != nil {
		return err
	}
	return relayer.Give(ctx, w, reader)
}

// head waits for the head of the answer until the deadline, and a little
// longer for the refusal of a request that was not sent.
func (d *Dispatcher) head(ctx context.Context, req *classifier.Request, entry *keeper.Entry, reader *keeper.Reader) (err error) {
	for _, span := range []clock.Millis{req.Deadline - d.Clock.Now(), refuseGrace} {
		waiting, cancel := context.WithTimeout(ctx, span.Duration())
		_, err = reader.Head(waiting)
		late := waiting.Err() != nil && errors.Is(err, waiting.Err())
		cancel()
		if !late || ctx.Err() != nil {
			return err
		}
		if entry.Sent.Load() {
			break
		}
	}
	return refuser.NewUnknown(http.StatusGatewayTimeout, "deadline", "no answer came before the deadline; the request may have run")
}

// enter returns the entry of the request, which may be shared with a repeat.
func (d *Dispatcher) enter(req *classifier.Request) (entry *keeper.Entry, first bool) {
	if req.Key == "" {
		return d.Keeper.Lone(), true
	}
	limit := d.Source.Current().Limits.WithDefaults().StoredAnswerBytes
	key := keeper.Key{Organisation: req.Organisation, Key: req.Key}
	return d.Keeper.Begin(key, req.Fingerprint, int(limit))
}

// start runs the request. One with a key goes on when its caller leaves,
// because the caller may come back for the answer.
func (d *Dispatcher) start(ctx context.Context, req *classifier.Request, entry *keeper.Entry) {
	if req.Key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, runTime.Duration())
	d.running.Go(func() {
		defer cancel()
		d.run(ctx, req, entry)
	})
}

// until returns a context that ends at the deadline.
func (d *Dispatcher) until(ctx context.Context, deadline clock.Millis) (limited context.Context, cancel context.CancelFunc) {
	return context.WithTimeout(ctx, (deadline - d.Clock.Now()).Duration())
}

func otherBody() error {
	return refuser.NewUnknown(http.StatusUnprocessableEntity, "key reused", "the key came with another body before")
}
