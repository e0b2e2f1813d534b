package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"k8s.io/klog/v2"

	"yuccaspread/common/logger"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Sizes of the pieces of an answer.
const (
	// chunkBytes is the size of one read from an upstream.
	chunkBytes = 8 << 10
	// heldBytes bounds the part of an answer without events that is held until
	// it is whole, so that a cut one can still be replaced.
	heldBytes = 256 << 10
)

// Errors of answers.
var (
	errNotRun  = errors.New("the upstream did not run the request")
	errCrossed = errors.New("the answer belongs to another request")
	errForeign = errors.New("the upstream does not stand for the answer")
	errCut     = errors.New("the answer broke off")
)

// answer is an answer that was read whole.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write gives the answer to the caller.
func (a *answer) write(r *run) error {
	r.head(a.status, a.header, int64(len(a.body)))
	_, err := r.w.Write(a.body)
	return err
}

// take reads the answer and gives it to the caller where nothing better can
// come.
func (r *run) take(ctx context.Context, res *http.Response, slot reserver.Slot, watch *watch) (e end, err error) {
	facts := r.Protocol.Facts(res.StatusCode, res.Header)
	success := res.StatusCode/100 == http.StatusOK/100
	switch {
	case facts.RequestID != "" && facts.RequestID != r.req.ID:
		sender.Abandon(res)
		return unanswered, errCrossed
	case facts.NotRun:
		_, _ = io.CopyN(io.Discard, res.Body, chunkBytes)
		return notRun, fmt.Errorf("%w: status %d, other instance %t, load %d+%d of %d", errNotRun, res.StatusCode,
			facts.OtherInstance, facts.Running, facts.Waiting, facts.Slots)
	case success && !facts.Vouched, res.StatusCode < http.StatusOK:
		sender.Abandon(res)
		return unanswered, errForeign
	case success && r.req.Stream:
		return r.stream(ctx, res, slot, watch)
	default:
		return r.collect(res, slot, watch)
	}
}

// collect reads an answer without events and gives it to the caller: at once
// where it is whole and not too large, else piece by piece.
func (r *run) collect(res *http.Response, slot reserver.Slot, watch *watch) (e end, err error) {
	held, err := io.ReadAll(io.LimitReader(res.Body, heldBytes))
	if err != nil {
		return broken, fmt.Errorf("%w: %w", errCut, err)
	}
	watch.heard()
	slot.FirstToken(0)
	r.heard()
	if len(held) == heldBytes {
		return r.pour(res, held)
	}
	got := &answer{status: res.StatusCode, header: res.Header, body: held}
	if isFailure(res.StatusCode) && r.repeatable {
		r.failure = got
		return failed, fmt.Errorf("status %d", res.StatusCode)
	}
	return whole, got.write(r)
}

// pour gives a large answer to the caller as it comes.
func (r *run) pour(res *http.Response, held []byte) (e end, err error) {
	r.head(res.StatusCode, res.Header, res.ContentLength)
	if _, err = r.w.Write(held); err != nil {
		return whole, err
	}
	if _, err = io.Copy(r.w, res.Body); err != nil {
		return broken, fmt.Errorf("%w: %w", errCut, err)
	}
	return whole, nil
}

// stream gives the events to the caller as they come.
func (r *run) stream(ctx context.Context, res *http.Response, slot reserver.Slot, watch *watch) (e end, err error) {
	var cut cutter
	buffer := make([]byte, chunkBytes)
	for {
		n, readErr := res.Body.Read(buffer)
		if n > 0 {
			if watch.events == 0 {
				slot.FirstToken(0)
				r.heard()
			}
			watch.heard()
			if err = r.pass(res, &cut, buffer[:n]); err != nil {
				return whole, err
			}
		}
		if readErr == nil {
			continue
		}
		watch.events = max(cut.events, watch.events)
		if !errors.Is(readErr, io.EOF) || ctx.Err() != nil {
			return broken, fmt.Errorf("%w: %w", errCut, readErr)
		}
		return r.finish(res, &cut)
	}
}

// pass gives what came to the caller. Of a stream that another upstream may
// have to go on with, only whole events go out.
func (r *run) pass(res *http.Response, cut *cutter, piece []byte) (err error) {
	out := cut.feed(piece)
	if !r.resumes {
		out = piece
	}
	if len(out) == 0 {
		return nil
	}
	if cut.last != "" {
		r.lastEvent = cut.last
	}
	if !r.begun {
		r.head(res.StatusCode, res.Header, -1)
	}
	if _, err = r.w.Write(out); err != nil {
		return err
	}
	r.passed = r.Clock.Now()
	return http.NewResponseController(r.w).Flush()
}

// finish ends a stream whose connection ended in order.
func (r *run) finish(res *http.Response, cut *cutter) (e end, err error) {
	if r.resumes && len(cut.rest) > 0 {
		return broken, fmt.Errorf("%w: in the middle of an event", errCut)
	}
	if !r.begun {
		r.head(res.StatusCode, res.Header, -1)
	}
	return whole, nil
}

// heard notes when the first byte of an answer came.
func (r *run) heard() {
	if r.first == 0 {
		r.first = r.Clock.Now()
	}
}

// head writes the head of the answer; length is -1 where it is not known.
func (r *run) head(status int, header http.Header, length int64) {
	if r.begun {
		klog.InfoS("second head kept back", logger.KeyRequest, r.req.ID)
		return
	}
	r.begun = true
	r.status = status
	out := r.w.Header()
	for name, values := range header {
		if !hopByHop(name) {
			out[name] = values
		}
	}
	if _, given := out["Content-Type"]; !given {
		// A nil value keeps the server from guessing one.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.w.WriteHeader(status)
}

// hopByHop tells which headers end at this hop.
func hopByHop(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection",
	}, name)
}
