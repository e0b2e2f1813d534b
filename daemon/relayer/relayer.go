// Package relayer sends one attempt of a request to an upstream, copies the answer
// to its readers and reports whether it is complete. A stream that breaks or stalls
// is resumed on a new connection if the upstream supports that.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/sender"
)

// Errors of Relay.Run, besides those of the sender and of the context.
var (
	// ErrIncomplete means that the answer ended before it was complete.
	ErrIncomplete = errors.New("answer ended before it was complete")
	// ErrWrongAttempt means that the answer belongs to another attempt.
	ErrWrongAttempt = errors.New("answer carries the id of another attempt")
	// ErrDied means that the upstream died: a new connection failed or found that
	// the upstream no longer knows the stream.
	ErrDied = errors.New("upstream died")
)

// errEnded means that the attempt was ended before its answer began.
var errEnded = fmt.Errorf("%w: the attempt has ended", context.Canceled)

// DefaultSilenceTimeout is the default of Relay.SilenceTimeout.
const DefaultSilenceTimeout = 2 * clock.Second

// chunkBytes is the buffer size of one read from an upstream.
const chunkBytes = 16 << 10

// Relay sends one attempt and copies its answer. The exported fields except
// MaybeSent are set before Run, which is called once.
type Relay struct {
	Sender *sender.Sender
	// Call is the request; AttemptID is its X-Request-Id, which no other attempt
	// shares.
	Call      sender.Call
	AttemptID string
	// Resumable reports whether the upstream resumes streams by attempt id.
	Resumable bool
	// Stream reports whether the request asks for server-sent events.
	Stream bool
	// BufferBytes is the largest part of an answer without events that is buffered
	// before its head is forwarded, so that an incomplete one can still be retried.
	BufferBytes int
	// ShouldRetry reports whether an answer with this status is withheld because
	// another attempt may succeed; nil forwards all answers, and means that no other
	// attempt may follow one that was sent.
	ShouldRetry func(status int) bool
	// SilenceTimeout is the time without data after which a stream is resumed or
	// its upstream probed; 0 stands for DefaultSilenceTimeout.
	SilenceTimeout clock.Millis
	// Answer receives the answer.
	Answer *deduplicator.Answer
	// OnFirstBytes is called once with the headers of the answer before its first
	// bytes are forwarded, and reports whether they may be; nil for none.
	OnFirstBytes func(header http.Header) (mayBegin bool)

	// MaybeSent reports after Run whether a byte of the request may have been sent.
	MaybeSent bool

	events         eventFilter
	resumeAttempts int
}

// StatusError is returned for an answer that ShouldRetry withheld.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream answered " + strconv.Itoa(e.Status)
}

// Run sends the request and copies its answer. A nil error means that Answer holds
// the complete answer; Run leaves it open, and its caller ends it.
func (r *Relay) Run(ctx context.Context) (err error) {
	ctx, span := otel.Tracer("relayer").Start(ctx, "relay")
	defer span.End()
	defer func() {
		// An upstream keeps a stream whose connection has ended, so that it can be resumed.
		if err != nil && r.MaybeSent && !errors.Is(err, ErrDied) {
			r.cancelStream(ctx)
		}
	}()
	if r.SilenceTimeout <= 0 {
		r.SilenceTimeout = DefaultSilenceTimeout
	}
	r.events.attemptID = r.AttemptID
	res, err := r.sendRequest(ctx)
	if err != nil {
		return r.diagnose(ctx, err)
	}
	return r.handleResponse(ctx, res)
}

func (r *Relay) handleResponse(ctx context.Context, res *http.Response) (err error) {
	attemptID := res.Header.Get(classifier.HeaderRequestID)
	wrongAttempt := attemptID != "" && attemptID != r.AttemptID
	if r.ShouldRetry != nil && r.ShouldRetry(res.StatusCode) && !wrongAttempt {
		_ = res.Body.Close()
		return &StatusError{Status: res.StatusCode}
	}
	switch {
	case wrongAttempt && r.canResume():
		sender.Abandon(res)
		return r.relayEvents(ctx, nil)
	case wrongAttempt:
		sender.Abandon(res)
		return ErrWrongAttempt
	case strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		return r.relayEvents(ctx, res)
	default:
		return r.diagnose(ctx, r.relayBody(ctx, res))
	}
}

func (r *Relay) canResume() bool {
	return r.Resumable && r.Stream
}

// diagnose wraps err in ErrDied if the request may have been sent and a probe on a
// new connection shows that the upstream died.
func (r *Relay) diagnose(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil || !r.MaybeSent {
		return err
	}
	if probe := r.Sender.Probe(ctx, r.Call.Address); probe != nil && ctx.Err() == nil {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return err
}

// writeHead starts Answer with the status and headers. It is called when the first
// bytes of the body are there. The error is errEnded if the attempt has ended.
func (r *Relay) writeHead(res *http.Response) (err error) {
	if r.OnFirstBytes != nil && !r.OnFirstBytes(res.Header) {
		return errEnded
	}
	header := http.Header{}
	for name, values := range res.Header {
		if !isHopByHop(name) {
			header[name] = values
		}
	}
	r.Answer.SetHead(deduplicator.Head{Status: res.StatusCode, Header: header})
	return nil
}

// isHopByHop reports whether a header must not be forwarded: it applies to one
// connection only, or it is the request id, which this daemon sets itself.
func isHopByHop(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", classifier.HeaderRequestID,
	}, name)
}

// relayBody copies an answer without events. An answer of up to BufferBytes is read
// completely first; a larger one is copied as it arrives.
func (r *Relay) relayBody(ctx context.Context, res *http.Response) (err error) {
	defer func() { _ = res.Body.Close() }()
	if !hasEndMarker(res) {
		return fmt.Errorf("%w: neither Content-Length nor chunked encoding", ErrIncomplete)
	}
	var buffered []byte
	buffer := make([]byte, chunkBytes)
	headWritten := false
	for {
		n, readErr := res.Body.Read(buffer)
		buffered = append(buffered, buffer[:n]...)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("%w: %w", ErrIncomplete, readErr)
		}
		if readErr == nil && len(buffered) <= r.BufferBytes && !headWritten {
			continue
		}
		if !headWritten {
			if err = r.writeHead(res); err != nil {
				return err
			}
			headWritten = true
		}
		if err = r.Answer.Append(ctx, buffered); err != nil {
			return err
		}
		buffered = buffered[:0]
		if readErr != nil {
			return nil
		}
	}
}

// hasEndMarker reports whether the framing of the answer shows whether it is
// complete.
func hasEndMarker(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}

// WriteAnswer writes the answer to the caller as it arrives.
func WriteAnswer(ctx context.Context, w http.ResponseWriter, reader *deduplicator.Reader) (err error) {
	head, err := reader.Head(ctx)
	if err != nil {
		return err
	}
	for name, values := range head.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(head.Status)
	flusher := http.NewResponseController(w)
	for {
		piece, err := reader.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err = w.Write(piece); err != nil {
			return err
		}
		_ = flusher.Flush()
	}
}
