package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// Limits of resuming one stream.
const (
	// maxResumes is the number of consecutive resumptions without an event after
	// which the stream is given up. One that can't go on elsewhere is not while its
	// upstream answers.
	maxResumes = 6
	// resumePause times the number of consecutive resumptions without an event is
	// the pause before the next one.
	resumePause = 50 * clock.Millisecond
	// cancelTimeout is the timeout of the request that cancels a stream.
	cancelTimeout = 2 * clock.Second
)

// errSilent means that no data arrived within SilenceTimeout.
var errSilent = errors.New("no data from the upstream within the silence timeout")

// sendResult is the result of Sender.Send.
type sendResult struct {
	res *http.Response
	err error
}

// sendRequest sends the request and returns the head of its answer. If the stream
// can be resumed and no head arrives within SilenceTimeout, it is requested again on
// a new connection.
func (r *Relay) sendRequest(ctx context.Context) (res *http.Response, err error) {
	r.MaybeSent = true
	sendCtx, cancel := context.WithCancel(ctx)
	done := make(chan sendResult, 1)
	go func() {
		res, err := r.Sender.Send(sendCtx, r.Call) //nolint:bodyclose // The receiver of the result closes it.
		done <- sendResult{res, err}
	}()
	var silence <-chan time.Time
	if r.canResume() {
		timer := time.NewTimer(r.SilenceTimeout.Duration())
		defer timer.Stop()
		silence = timer.C
	}
	select {
	case result := <-done:
		if result.err != nil {
			cancel()
			r.MaybeSent = sender.WasSent(result.err)
			return r.resumeAfterLostHead(ctx, result.err)
		}
		// Closing the body also cancels the context of the send.
		result.res.Body = &cancelBody{ReadCloser: result.res.Body, cancel: cancel}
		return result.res, nil
	case <-silence:
		cancel()
		result := <-done
		if result.err == nil {
			_ = result.res.Body.Close()
		}
		if result.err != nil && !sender.WasSent(result.err) {
			r.MaybeSent = false
			return nil, result.err
		}
		return r.resumeStream(ctx)
	}
}

// resumeAfterLostHead resumes the stream after a send that failed without an answer,
// and returns cause where that is not possible.
func (r *Relay) resumeAfterLostHead(ctx context.Context, cause error) (res *http.Response, err error) {
	if !r.canResume() || !r.MaybeSent || ctx.Err() != nil {
		return nil, cause
	}
	res, err = r.resumeStream(ctx)
	if err != nil {
		return nil, cause
	}
	return res, nil
}

// EventCount returns the number of events of the stream that were admitted,
// including the end marker.
func (r *Relay) EventCount() int { return r.events.admitted }

// cancelBody is a body that cancels a context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Unwrap returns the body that is wrapped.
func (b *cancelBody) Unwrap() io.ReadCloser { return b.ReadCloser }

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// relayEvents copies a stream of events up to its end marker and resumes it on new
// connections as needed. res is the answer on the first connection, or nil to open
// one.
func (r *Relay) relayEvents(ctx context.Context, res *http.Response) (err error) {
	for {
		if res == nil {
			if res, err = r.resumeStream(ctx); err != nil {
				return r.resumeError(ctx, err)
			}
		}
		before := r.events.admitted
		err = r.readEvents(ctx, res)
		_ = res.Body.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !r.Resumable {
			return r.diagnose(ctx, fmt.Errorf("%w: %w", ErrIncomplete, err))
		}
		if r.events.admitted > before || (errors.Is(err, errSilent) && !r.mayGoElsewhere()) {
			// An upstream that knows the stream and answers is at work on it.
			r.resumeAttempts = 0
		}
		r.events.discardPartial()
		res = nil
	}
}

// mayGoElsewhere reports whether another attempt may follow this one.
func (r *Relay) mayGoElsewhere() bool { return r.ShouldRetry != nil && !r.Answer.HasHead() }

// resumeError returns the error of a stream that could not be resumed. An upstream
// that does not know a running stream has been restarted, hence ErrDied.
func (r *Relay) resumeError(ctx context.Context, err error) error {
	if errors.Is(err, errNoStream) {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return r.diagnose(ctx, fmt.Errorf("%w: %w", ErrIncomplete, err))
}

// resumeStream requests the rest of the stream on a new connection. It retries until
// maxResumes, which relayEvents resets when events arrive.
func (r *Relay) resumeStream(ctx context.Context) (res *http.Response, err error) {
	for ; r.resumeAttempts < maxResumes; r.resumeAttempts++ {
		clock.Sleep(ctx, resumePause*clock.Millis(r.resumeAttempts))
		resumeCtx, cancel := context.WithCancel(ctx)
		timer := time.AfterFunc(r.SilenceTimeout.Duration(), cancel)
		res, err = r.requestResume(resumeCtx)
		// The timeout applies to the head only.
		if err == nil && timer.Stop() {
			res.Body = &cancelBody{ReadCloser: res.Body, cancel: cancel}
			r.resumeAttempts++
			return res, nil
		}
		cancel()
		if errors.Is(err, errNoStream) || ctx.Err() != nil {
			return nil, err
		}
	}
	return nil, errors.Join(errSilent, err)
}

// errNoStream means that the upstream does not know the stream.
var errNoStream = errors.New("upstream does not know the stream")

func (r *Relay) requestResume(ctx context.Context) (res *http.Response, err error) {
	header := http.Header{"Last-Event-Id": {strconv.Itoa(r.events.lastNumber)}}
	res, err = r.Sender.Send(ctx, sender.Call{Method: http.MethodGet, Address: r.Call.Address, Path: r.streamPath(), Header: header, NewConnection: true})
	if err != nil {
		return nil, err
	}
	attemptID := res.Header.Get(classifier.HeaderRequestID)
	if res.StatusCode != http.StatusOK || (attemptID != "" && attemptID != r.AttemptID) {
		_ = res.Body.Close()
		return nil, errNoStream
	}
	return res, nil
}

func (r *Relay) streamPath() string {
	return "/v1/streams/" + url.PathEscape(r.AttemptID)
}

// piece is the result of one read of a body.
type piece struct {
	data []byte
	err  error
}

// readEvents copies the events of one connection; a nil error means that the end
// marker arrived.
func (r *Relay) readEvents(ctx context.Context, res *http.Response) (err error) {
	pieces := make(chan piece)
	stop := make(chan struct{})
	defer close(stop)
	go readPieces(res.Body, pieces, stop)
	timer := time.NewTimer(r.SilenceTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if r.Resumable || r.isUnreachable(ctx) {
				return errSilent
			}
			// The upstream is only slow.
			timer.Reset(r.SilenceTimeout.Duration())
		case next := <-pieces:
			timer.Reset(r.SilenceTimeout.Duration())
			if err = r.appendEvents(ctx, res, next.data); err != nil || r.events.done {
				return err
			}
			if next.err != nil {
				return next.err
			}
		}
	}
}

// isUnreachable reports whether a probe tells that the upstream of a stream is gone. Where nothing can follow, one
// whose connection was opened and then closed does not: an upstream that has enough connections does so, and if
// its process is gone, the connection of the stream has ended as well.
func (r *Relay) isUnreachable(ctx context.Context) bool {
	err := r.Sender.Probe(ctx, r.Call.Address)
	if err == nil {
		return false
	}
	isClosed := errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	return !isClosed || r.mayGoElsewhere()
}

// appendEvents appends the admitted events of the data to Answer.
func (r *Relay) appendEvents(ctx context.Context, res *http.Response, data []byte) (err error) {
	out, err := r.events.feed(data)
	if len(out) > 0 {
		if !r.Answer.HasHead() {
			if err := r.writeHead(res); err != nil {
				return err
			}
		}
		if err := r.Answer.Append(ctx, out); err != nil {
			return err
		}
	}
	return err
}

// readPieces sends the data of a body to pieces until the body ends or stop is
// closed. A piece is valid until the next one is received: two buffers alternate, and
// the first is then reused.
func readPieces(body io.Reader, pieces chan<- piece, stop <-chan struct{}) {
	var buffers [2][chunkBytes]byte
	for i := 0; ; i = 1 - i {
		buffer := buffers[i][:]
		n, err := body.Read(buffer)
		select {
		case pieces <- piece{data: buffer[:n], err: err}:
		case <-stop:
			return
		}
		if err != nil {
			return
		}
	}
}

// cancelStream asks the upstream to drop a stream that no caller waits for.
func (r *Relay) cancelStream(ctx context.Context) {
	if !r.canResume() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout.Duration())
	defer cancel()
	res, err := r.Sender.Send(ctx, sender.Call{Method: http.MethodDelete, Address: r.Call.Address, Path: r.streamPath(), NewConnection: true})
	if err == nil {
		_ = res.Body.Close()
	}
}
