// Package relayer carries an upstream's answer to those who wait for it and
// knows whether it is whole. A stream that breaks or falls silent is resumed
// where the upstream allows it.
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
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/sender"
)

// Errors of Pull, besides those of the sender and of the context.
var (
	// ErrCut means that the answer ended before it was whole.
	ErrCut = errors.New("the answer was cut")
	// ErrCrossed means that the answer belongs to another attempt.
	ErrCrossed = errors.New("the answer belongs to another attempt")
	// ErrDied means that a new connection proved that the upstream is gone.
	ErrDied = errors.New("the upstream died")
)

// DefaultSilence is the time without a byte after which a stream is proved.
const DefaultSilence = 2 * clock.Second

// chunkBytes is the size of one read from an upstream.
const chunkBytes = 16 << 10

// Pull brings the answer of one attempt. Its exported fields are set before
// Run; it runs once.
type Pull struct {
	Sender *sender.Sender
	// Call is the request; Tag is its X-Request-Id, unlike that of any other
	// attempt.
	Call sender.Call
	Tag  string
	// Resumes tells that the upstream resumes streams under the tag.
	Resumes bool
	// Stream tells that the request asks for server-sent events.
	Stream bool
	// Buffer bounds the bytes of an answer without events that are collected
	// before the head goes out, so that a cut one can still be tried again.
	Buffer int
	// Retry tells which answers shall not go out because another attempt may
	// do better; nil lets all out.
	Retry func(status int) bool
	// Silence is the time without a byte after which a stream is proved; 0
	// stands for DefaultSilence.
	Silence clock.Millis
	// Into takes the answer.
	Into *keeper.Answer
	// First is called once with the head of the answer, when its first bytes
	// are here; nil for none.
	First func(header http.Header)

	// Began tells after Run whether a byte of the request may have gone out.
	Began bool

	parsed events
	resume int
}

// StatusError is an answer that Retry held back.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return "upstream answered " + strconv.Itoa(e.Status)
}

// Run sends the request and brings its answer. A nil error means that the
// whole answer is in Into, which is left open for the caller to end.
func (p *Pull) Run(ctx context.Context) (err error) {
	ctx, span := otel.Tracer("relayer").Start(ctx, "relay")
	defer span.End()
	defer func() {
		if err != nil && ctx.Err() != nil {
			p.cancelStream(ctx)
		}
	}()
	if p.Silence <= 0 {
		p.Silence = DefaultSilence
	}
	p.parsed.tag = p.Tag
	res, err := p.open(ctx)
	if err != nil {
		return p.blame(ctx, err)
	}
	return p.take(ctx, res)
}

func (p *Pull) take(ctx context.Context, res *http.Response) (err error) {
	tag := res.Header.Get(classifier.HeaderRequest)
	crossed := tag != "" && tag != p.Tag
	if p.Retry != nil && p.Retry(res.StatusCode) && !crossed {
		_ = res.Body.Close()
		return &StatusError{Status: res.StatusCode}
	}
	switch {
	case crossed && p.resumable():
		_ = res.Body.Close()
		return p.follow(ctx, nil)
	case crossed:
		_ = res.Body.Close()
		return ErrCrossed
	case strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		return p.follow(ctx, res)
	default:
		return p.blame(ctx, p.collect(ctx, res))
	}
}

func (p *Pull) resumable() bool {
	return p.Resumes && p.Stream
}

// blame finds out by a new connection whether an attempt failed because the
// upstream died.
func (p *Pull) blame(ctx context.Context, err error) error {
	if err == nil || ctx.Err() != nil || !p.Began {
		return err
	}
	if probe := p.Sender.Probe(ctx, p.Call.Address); probe != nil && ctx.Err() == nil {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return err
}

// begin passes the head on, with the first bytes of the answer.
func (p *Pull) begin(res *http.Response) {
	if p.First != nil {
		p.First(res.Header)
	}
	header := http.Header{}
	for name, values := range res.Header {
		if !hopByHop(name) {
			header[name] = values
		}
	}
	p.Into.Begin(keeper.Head{Status: res.StatusCode, Header: header})
}

// hopByHop tells which headers end at this hop. The request's id is this
// daemon's own to give.
func hopByHop(name string) bool {
	return slices.Contains([]string{
		"Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", classifier.HeaderRequest,
	}, name)
}

// collect brings an answer without events: up to Buffer at once when it is
// whole, a larger one piece by piece.
func (p *Pull) collect(ctx context.Context, res *http.Response) (err error) {
	defer func() { _ = res.Body.Close() }()
	if !framed(res) {
		return fmt.Errorf("%w: neither a length nor an end mark", ErrCut)
	}
	var held []byte
	buffer := make([]byte, chunkBytes)
	begun := false
	for {
		n, readErr := res.Body.Read(buffer)
		held = append(held, buffer[:n]...)
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("%w: %w", ErrCut, readErr)
		}
		if readErr == nil && len(held) <= p.Buffer && !begun {
			continue
		}
		if !begun {
			p.begin(res)
			begun = true
		}
		if err = p.Into.Append(ctx, held); err != nil {
			return err
		}
		held = held[:0]
		if readErr != nil {
			return nil
		}
	}
}

// framed tells whether the end of the answer can be told from a cut.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}

// Give writes the answer to the caller as it comes.
func Give(ctx context.Context, w http.ResponseWriter, reader *keeper.Reader) (err error) {
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
