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

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Bounds of reading answers; sizes are in bytes.
const (
	// chunkBytes is the size of one read from an upstream.
	chunkBytes = 8 << 10
	// maxBufferedBytes is the largest part of an answer without events that is buffered
	// before any of it is forwarded. An answer that breaks off below this size
	// can still be replaced by that of another attempt.
	maxBufferedBytes = 256 << 10
	// discardTimeout bounds the reading of an answer that is not forwarded, which lets
	// its connection be used again.
	discardTimeout = 100 * clock.Millisecond
	// maxEventBytes is the largest event of a stream: an upstream in trouble may send
	// bytes without an end.
	maxEventBytes = 1 << 20
)

// Errors of an attempt that was sent.
var (
	errNotRun           = errors.New("upstream did not run the request")
	errWrongRequest     = errors.New("answer carries the id of another request")
	errNoContinuation   = errors.New("answer does not continue the stream that has begun")
	errUnattributed     = errors.New("answer without a request id on a connection that carried another request")
	errNotAuthenticated = errors.New("upstream did not mark the answer as its own")
	errIncomplete       = errors.New("answer ended before it was complete")
)

// answer is an answer that has been read completely.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// write sends the answer to the caller.
func (a *answer) write(r *requestState) error {
	r.writeHead(a.status, a.header, int64(len(a.body)))
	_, err := r.w.Write(a.body)
	return err
}

// handleResponse reads an upstream's answer and forwards it to the caller, unless
// another attempt may yield a better one.
//
// It returns the number of whole events.
func (r *requestState) handleResponse(ctx context.Context, res *http.Response, slot reserver.Slot, watch *silenceWatch) (e attemptEnd, events int, err error) {
	info := r.Protocol.ResponseInfo(res.StatusCode, res.Header)
	if err = r.attributeAnswer(res, info); err != nil {
		sender.Abandon(res)
		return unanswered, 0, err
	}
	if !info.OtherInstance {
		slot.Hear(info.Notice)
	}
	success := res.StatusCode/100 == http.StatusOK/100
	switch {
	case info.NotRun:
		sender.Discard(res, chunkBytes, discardTimeout)
		return notRun, 0, fmt.Errorf("%w: status %d, other instance %t, load %d+%d of %d", errNotRun, res.StatusCode,
			info.OtherInstance, info.Notice.Load.Running, info.Notice.Load.Waiting, info.Notice.Load.Slots)
	case r.headWritten && !r.continuesStream(res):
		sender.Discard(res, chunkBytes, discardTimeout)
		return failed, 0, fmt.Errorf("%w: status %d", errNoContinuation, res.StatusCode)
	case success && !info.Authenticated:
		sender.Abandon(res)
		return unanswered, 0, errNotAuthenticated
	case success && r.req.Stream:
		return r.forwardEvents(ctx, res, slot, watch)
	default:
		e, err = r.forwardBody(ctx, res, slot, watch)
		return e, 0, err
	}
}

// continuesStream reports whether an answer may go on with the stream that the caller gets.
func (r *requestState) continuesStream(res *http.Response) bool {
	return res.StatusCode == r.status && res.Header.Get("Content-Type") == r.w.Header().Get("Content-Type")
}

// attributeAnswer returns an error if an answer may be that to another request: an upstream in
// trouble writes answers once more on a connection that is in use again. An answer without an id
// counts on a new connection only, which then carries no further request.
func (r *requestState) attributeAnswer(res *http.Response, info ResponseInfo) error {
	switch {
	case info.RequestID == r.req.ID && info.RequestID != "":
		return nil
	case info.RequestID != "":
		return errWrongRequest
	case !sender.IsFirst(res):
		return errUnattributed
	}
	sender.CloseAfter(res)
	return nil
}

// forwardBody forwards an answer without events. An answer below maxBufferedBytes
// is read completely first, and kept in r.ready until the slot is free; a larger one is
// forwarded as it arrives. A failure that another attempt may replace is kept in r.failure.
func (r *requestState) forwardBody(ctx context.Context, res *http.Response, slot reserver.Slot, watch *silenceWatch) (e attemptEnd, err error) {
	buffered, whole, err := r.readBuffered(res, watch)
	if err != nil {
		return broken, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	watch.recordProgress(1)
	slot.FirstToken(reserver.CachedUnknown)
	r.recordFirstByte()
	if !whole {
		return r.forwardLargeBody(ctx, res, buffered)
	}
	if r.endedWithUpstream(ctx, res) {
		return broken, fmt.Errorf("%w: the upstream is gone", errIncomplete)
	}
	full := &answer{status: res.StatusCode, header: res.Header, body: buffered}
	if isFailure(res.StatusCode) && r.repeatable {
		r.failure = full
		return failed, fmt.Errorf("status %d", res.StatusCode)
	}
	r.ready, r.status = full, full.status
	return completed, nil
}

// readBuffered reads an answer up to maxBufferedBytes, or as far as there is memory for it, and
// reports whether that is the whole answer.
func (r *requestState) readBuffered(res *http.Response, watch *silenceWatch) (buffered []byte, whole bool, err error) {
	step := chunkBytes
	if res.ContentLength >= 0 && res.ContentLength < chunkBytes {
		// One byte more than the answer, as a read without room finds no end.
		step = int(res.ContentLength) + 1
	}
	for len(buffered) < maxBufferedBytes {
		if len(buffered) == cap(buffered) {
			if !r.Memory.Take(int64(step)) {
				klog.InfoS("no memory to read an answer whole; it is passed on as it comes", logger.KeyRequest, r.req.ID, logger.KeyUpstream, r.lastUpstream,
					"read_bytes", len(buffered), "held_bytes", r.Memory.Held())
				return buffered, false, nil
			}
			r.heldBytes += int64(step)
			buffered = slices.Grow(buffered, step)
		}
		n, err := res.Body.Read(buffered[len(buffered):cap(buffered)])
		buffered = buffered[:len(buffered)+n]
		if n > 0 {
			watch.recordProgress(1)
			watch.resume()
		}
		if errors.Is(err, io.EOF) {
			return buffered, true, nil
		}
		if err != nil {
			return buffered, false, err
		}
	}
	return buffered, false, nil
}

// forwardLargeBody forwards the buffered start of an answer and then the rest as
// it arrives.
func (r *requestState) forwardLargeBody(ctx context.Context, res *http.Response, buffered []byte) (e attemptEnd, err error) {
	r.writeHead(res.StatusCode, res.Header, res.ContentLength)
	if _, err = r.w.Write(buffered); err != nil {
		return completed, err
	}
	if _, err = io.Copy(r.w, res.Body); err != nil {
		return broken, fmt.Errorf("%w: %w", errIncomplete, err)
	}
	if r.endedWithUpstream(ctx, res) {
		return broken, fmt.Errorf("%w: the upstream is gone", errIncomplete)
	}
	return completed, nil
}

// endedWithUpstream reports whether an answer may have ended early: the connection that delimits
// it is closed in the same way when its upstream is killed. Where the end is read late, the upstream
// may have been started again meanwhile.
func (r *requestState) endedWithUpstream(ctx context.Context, res *http.Response) bool {
	if !sender.IsDelimitedByEnd(res) {
		return false
	}
	address := res.Request.URL.Host
	if r.Sender.HasCrashed(ctx, address) {
		return true
	}
	age := sender.EndAge(res)
	if age < lateEndAge {
		return false
	}
	replaced := r.wasReplaced(ctx, address)
	klog.InfoS("end of an answer without a length was read late", logger.KeyRequest, r.req.ID, logger.KeyUpstream, r.lastUpstream,
		"end_age_ms", age, "upstream_replaced", replaced)
	return replaced
}

// Limits of the check whether an upstream was started again.
const (
	// lateEndAge is the age of the end of an answer from which on its upstream may have been started
	// again after a crash.
	lateEndAge = 500 * clock.Millisecond
	// registerLag is how long the entry of an upstream that was started again may take to get here.
	registerLag      = 1500 * clock.Millisecond
	registerInterval = 50 * clock.Millisecond
)

// wasReplaced waits until the register names another run of an upstream at the address, and returns
// false if it does not within registerLag.
func (r *requestState) wasReplaced(ctx context.Context, address string) bool {
	isOther := func(u inventory.Upstream) bool { return u.Address == address && u.Name != r.lastUpstream }
	for until := r.Clock.Now() + registerLag; r.Clock.Now() < until; {
		if slices.ContainsFunc(r.Source.Current().Upstreams, isOther) || !clock.Sleep(ctx, registerInterval) {
			return true
		}
	}
	return false
}

// forwardEvents forwards a stream of events as they arrive, and returns the number of
// whole ones.
func (r *requestState) forwardEvents(ctx context.Context, res *http.Response, slot reserver.Slot, watch *silenceWatch) (e attemptEnd, events int, err error) {
	var splitter eventSplitter
	buffer := make([]byte, chunkBytes)
	for {
		n, readErr := res.Body.Read(buffer)
		if n > 0 {
			if e, err = r.forwardPiece(res, slot, watch, &splitter, buffer[:n]); err != nil {
				return e, splitter.events, err
			}
		}
		if readErr == nil {
			continue
		}
		// The end of a connection that this daemon has ended tells nothing of the answer.
		endedHere := ctx.Err() != nil && sender.IsDelimitedByEnd(res)
		if !errors.Is(readErr, io.EOF) || endedHere {
			return broken, splitter.events, fmt.Errorf("%w: %w", errIncomplete, readErr)
		}
		if watch.mayHaveStopped() {
			watch.cancel(errSilent)
			return broken, splitter.events, fmt.Errorf("%w: the upstream was asked to stop", errIncomplete)
		}
		e, err = r.finishStream(ctx, res, &splitter)
		return e, splitter.events, err
	}
}

// forwardPiece forwards what one read of a stream returned.
func (r *requestState) forwardPiece(res *http.Response, slot reserver.Slot, watch *silenceWatch, splitter *eventSplitter, piece []byte) (e attemptEnd, err error) {
	before := splitter.events
	out := splitter.feed(piece)
	progressed := splitter.events > before
	if progressed {
		watch.recordProgress(splitter.events - before)
		if before == 0 {
			slot.FirstToken(reserver.CachedUnknown)
			r.recordFirstByte()
		}
	}
	if !r.resumable {
		out = piece
	}
	if err = r.writeEvents(res, splitter, out); err != nil {
		return completed, err
	}
	if progressed {
		watch.resume()
	}
	if len(splitter.Rest()) > maxEventBytes {
		sender.Abandon(res)
		return broken, fmt.Errorf("%w: an event of more than %d bytes", errIncomplete, maxEventBytes)
	}
	return completed, nil
}

// writeEvents writes a part of a stream to the caller. Of a resumable stream these are
// whole events only, so that another upstream can continue after the last one.
func (r *requestState) writeEvents(res *http.Response, splitter *eventSplitter, out []byte) (err error) {
	if len(out) == 0 {
		return nil
	}
	if splitter.lastID != "" {
		r.lastEvent = splitter.lastID
	}
	if !r.headWritten {
		r.writeHead(res.StatusCode, res.Header, -1)
	}
	if _, err = r.w.Write(out); err != nil {
		return err
	}
	r.lastWriteAt = r.Clock.Now()
	return http.NewResponseController(r.w).Flush()
}

// finishStream is called when the connection of a stream ended without an error. A stream
// that ended inside an event counts as broken, and so does one that only the end of its
// connection delimits, if it has no event or its upstream is gone.
func (r *requestState) finishStream(ctx context.Context, res *http.Response, splitter *eventSplitter) (e attemptEnd, err error) {
	if len(splitter.Rest()) > 0 {
		return broken, fmt.Errorf("%w: in the middle of an event", errIncomplete)
	}
	if sender.IsDelimitedByEnd(res) && splitter.events == 0 {
		return broken, fmt.Errorf("%w: no event before the connection ended", errIncomplete)
	}
	if r.endedWithUpstream(ctx, res) {
		return broken, fmt.Errorf("%w: the upstream is gone", errIncomplete)
	}
	if !r.headWritten {
		r.writeHead(res.StatusCode, res.Header, -1)
	}
	return completed, nil
}

// recordFirstByte records the time of the first byte of an answer, once per request.
func (r *requestState) recordFirstByte() {
	if r.firstByteAt == 0 {
		r.firstByteAt = r.Clock.Now()
	}
}

// writeHead writes the status and the headers of the answer, once per request.
// length is the body's length in bytes, or -1 if it is unknown.
func (r *requestState) writeHead(status int, header http.Header, length int64) {
	if r.headWritten {
		klog.InfoS("answer already started; dropped the status and headers of a later attempt", logger.KeyRequest, r.req.ID)
		return
	}
	r.headWritten = true
	r.begun.Store(true)
	r.status = status
	out := r.w.Header()
	for name, values := range header {
		if !isHopByHop(name) && name != classifier.HeaderAnsweredBy && name != classifier.HeaderRejected {
			out[name] = values
		}
	}
	if r.req.DelegatedRuns > 0 {
		out.Set(classifier.HeaderAnsweredBy, classifier.AnsweredByUpstream)
	}
	if _, given := out["Content-Type"]; !given {
		// A nil value keeps net/http from detecting a type.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	r.w.WriteHeader(status)
}

// isHopByHop reports whether a header applies to one connection only and must not
// be forwarded.
func isHopByHop(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection",
	}, name)
}
