// Package dispatcher drives one request from its classification to the end of
// its answer: reservation, claim, attempts and relay.
package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/relayer"
	"yuccaspread/daemon/reserver"
)

// maxAttempts bounds the attempts of an idempotent request.
const maxAttempts = 3

// Dispatcher handles requests. Its exported fields are set before use.
type Dispatcher struct {
	Reserver reserver.Reserver
	Clock    clock.Clock
	// Client sends to upstreams; it must not send anything twice by itself.
	Client *http.Client
}

// Handle answers the request on w, either with an upstream's answer or with
// the refusal that it returns.
func (d *Dispatcher) Handle(ctx context.Context, w http.ResponseWriter, req *classifier.Request) (err error) {
	ctx, cancel := context.WithTimeout(ctx, (req.Deadline - d.Clock.Now()).Duration())
	defer cancel()
	var excluded []string
	for attempt := 1; ; attempt++ {
		slot, err := d.Reserver.Reserve(ctx, req, excluded)
		if err != nil {
			return err
		}
		answered, err := d.attempt(ctx, w, req, slot, attempt)
		if err == nil || answered {
			return err
		}
		klog.ErrorS(err, "attempt failed", logger.KeyRequest, req.ID, logger.KeyUpstream, slot.Upstream().Name)
		if !req.Idempotent {
			return refuser.NewUnknown(http.StatusBadGateway, "upstream failed", "the upstream did not answer; the request may have run")
		}
		if attempt == maxAttempts {
			return refuser.New(http.StatusBadGateway, "upstream failed", "no upstream answered")
		}
		excluded = append(excluded, slot.Upstream().Name)
	}
}

// attempt sends the request once. answered tells whether anything of an
// answer went to the caller.
func (d *Dispatcher) attempt(ctx context.Context, w http.ResponseWriter, req *classifier.Request, slot reserver.Slot, number int) (answered bool, err error) {
	usage := reserver.Usage{Outcome: reserver.Died}
	defer func() { slot.End(usage) }()
	out, err := http.NewRequestWithContext(ctx, req.Method, "http://"+slot.Upstream().Address+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		usage.Outcome = reserver.NotSent
		return false, err
	}
	out.GetBody = nil
	out.Header = outgoing(req, number)
	res, err := d.Client.Do(out)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode >= http.StatusInternalServerError && req.Idempotent {
		usage.Outcome = reserver.Failed
		return false, errors.New("upstream answered " + res.Status)
	}
	cached, _ := strconv.Atoi(res.Header.Get("X-Cached-Tokens"))
	err = relayer.Relay(w, res, func() { slot.FirstToken(cached) })
	switch {
	case err == nil:
		usage.Outcome = reserver.Whole
	case errors.Is(err, relayer.ErrCaller):
		usage.Outcome = reserver.Cancelled
	}
	return true, err
}

// outgoing returns the header of an attempt. The request's bearer token stays
// here; the Idempotency-Key goes on so that the upstream can tell repeats.
func outgoing(req *classifier.Request, attempt int) http.Header {
	header := http.Header{}
	for name, values := range req.Header {
		switch name {
		case "Authorization", "Connection", "Keep-Alive", "Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding":
			continue
		}
		header[name] = values
	}
	if req.Key != "" {
		header.Set(classifier.HeaderKey, req.Key)
	}
	header.Set(classifier.HeaderRequest, req.ID+"."+strconv.Itoa(attempt))
	return header
}
