package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sender"
)

// Bounds of the resumption of one stream.
const (
	// maxResumes bounds the resumptions that bring no event.
	maxResumes = 6
	// resumePause is the pause after a resumption that brought no event; it
	// grows with their number.
	resumePause = 50 * clock.Millisecond
	// cancelTimeout bounds the cancellation of a stream.
	cancelTimeout = 2 * clock.Second
)

// errSilent means that a connection brought nothing for too long.
var errSilent = errors.New("the connection is silent")

// opened is the end of a Send.
type opened struct {
	res *http.Response
	err error
}

// open sends the request. Where the upstream resumes streams, a head that
// does not come is looked for by a new connection.
func (p *Pull) open(ctx context.Context) (res *http.Response, err error) {
	p.Began = true
	sending, cancel := context.WithCancel(ctx)
	done := make(chan opened, 1)
	go func() {
		res, err := p.Sender.Send(sending, p.Call) //nolint:bodyclose // Whoever receives it closes it.
		done <- opened{res, err}
	}()
	var silence <-chan time.Time
	if p.resumable() {
		timer := time.NewTimer(p.Silence.Duration())
		defer timer.Stop()
		silence = timer.C
	}
	select {
	case o := <-done:
		if o.err != nil {
			cancel()
			p.Began = sender.WasSent(o.err)
			return p.lostHead(ctx, o.err)
		}
		// The body ends the context with itself.
		o.res.Body = &cancelBody{ReadCloser: o.res.Body, cancel: cancel}
		return o.res, nil
	case <-silence:
		cancel()
		o := <-done
		if o.err == nil {
			_ = o.res.Body.Close()
		}
		if o.err != nil && !sender.WasSent(o.err) {
			p.Began = false
			return nil, o.err
		}
		return p.reopen(ctx)
	}
}

// lostHead goes on after a send without an answer, where it can.
func (p *Pull) lostHead(ctx context.Context, cause error) (res *http.Response, err error) {
	if !p.resumable() || !p.Began || ctx.Err() != nil {
		return nil, cause
	}
	res, err = p.reopen(ctx)
	if err != nil {
		return nil, cause
	}
	return res, nil
}

// Events returns the number of events of the stream that were let through, the
// end mark included.
func (p *Pull) Events() int { return p.parsed.passed }

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	b.cancel()
	return b.ReadCloser.Close()
}

// follow brings a stream of events to its end mark, by as many connections as
// it takes. res is the first connection's answer, or nil to open one.
func (p *Pull) follow(ctx context.Context, res *http.Response) (err error) {
	for {
		if res == nil {
			if res, err = p.reopen(ctx); err != nil {
				return p.lost(ctx, err)
			}
		}
		before := p.parsed.passed
		err = p.drain(ctx, res)
		_ = res.Body.Close()
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !p.Resumes {
			return p.blame(ctx, fmt.Errorf("%w: %w", ErrCut, err))
		}
		if p.parsed.passed > before {
			p.resume = 0
		}
		p.parsed.restart()
		res = nil
	}
}

// lost names the reason why a stream could not be resumed. An upstream that
// has forgotten a running stream was started anew.
func (p *Pull) lost(ctx context.Context, err error) error {
	if errors.Is(err, errNoStream) {
		return fmt.Errorf("%w: %w", ErrDied, err)
	}
	return p.blame(ctx, fmt.Errorf("%w: %w", ErrCut, err))
}

// reopen asks the upstream for the rest of the stream by a new connection.
func (p *Pull) reopen(ctx context.Context) (res *http.Response, err error) {
	for ; p.resume < maxResumes; p.resume++ {
		clock.Sleep(ctx, resumePause*clock.Millis(p.resume))
		opening, cancel := context.WithCancel(ctx)
		timer := time.AfterFunc(p.Silence.Duration(), cancel)
		res, err = p.ask(opening)
		// The bound is for the head alone.
		if err == nil && timer.Stop() {
			res.Body = &cancelBody{ReadCloser: res.Body, cancel: cancel}
			p.resume++
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
var errNoStream = errors.New("the upstream does not know the stream")

func (p *Pull) ask(ctx context.Context) (res *http.Response, err error) {
	header := http.Header{"Last-Event-Id": {strconv.Itoa(p.parsed.last)}}
	res, err = p.Sender.Send(ctx, sender.Call{Method: http.MethodGet, Address: p.Call.Address, Path: p.streamPath(), Header: header, Once: true})
	if err != nil {
		return nil, err
	}
	tag := res.Header.Get(classifier.HeaderRequest)
	if res.StatusCode != http.StatusOK || (tag != "" && tag != p.Tag) {
		_ = res.Body.Close()
		return nil, errNoStream
	}
	return res, nil
}

func (p *Pull) streamPath() string {
	return "/v1/streams/" + url.PathEscape(p.Tag)
}

// piece is what one read of a body brought.
type piece struct {
	data []byte
	err  error
}

// drain brings the events of one connection; nil means the end mark came.
func (p *Pull) drain(ctx context.Context, res *http.Response) (err error) {
	pieces := make(chan piece)
	stop := make(chan struct{})
	defer close(stop)
	go read(res.Body, pieces, stop)
	timer := time.NewTimer(p.Silence.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			if p.Resumes || p.Sender.Probe(ctx, p.Call.Address) != nil {
				return errSilent
			}
			// The upstream is there and may be slow.
			timer.Reset(p.Silence.Duration())
		case got := <-pieces:
			timer.Reset(p.Silence.Duration())
			if err = p.pass(ctx, res, got.data); err != nil || p.parsed.done {
				return err
			}
			if got.err != nil {
				return got.err
			}
		}
	}
}

// pass lets the events of a piece through.
func (p *Pull) pass(ctx context.Context, res *http.Response, data []byte) (err error) {
	out, err := p.parsed.feed(data)
	if len(out) > 0 {
		if !p.Into.Begun() {
			p.begin(res)
		}
		if err := p.Into.Append(ctx, out); err != nil {
			return err
		}
	}
	return err
}

// read passes a body on until it ends or nobody listens. A piece may be used
// until the next one is received: by then the other buffer is filled, and this
// one is free again.
func read(body io.Reader, pieces chan<- piece, stop <-chan struct{}) {
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

// cancelStream frees the upstream from a stream that nobody wants any more.
func (p *Pull) cancelStream(ctx context.Context) {
	if !p.resumable() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout.Duration())
	defer cancel()
	res, err := p.Sender.Send(ctx, sender.Call{Method: http.MethodDelete, Address: p.Call.Address, Path: p.streamPath(), Once: true})
	if err == nil {
		_ = res.Body.Close()
	}
}
