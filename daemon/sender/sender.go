// Package sender sends a request to an upstream at most once. When a send fails, it
// reports whether any byte of the request may have been sent.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/tuner"
)

// Limits of the connections to upstreams.
const (
	maxIdlePerUpstream = 32
	idleTimeout        = 20 * clock.Second
	maxConnectionAge   = 5 * clock.Minute
	// MaxCarriedRequests bounds the requests that a connection carries, and with them what is kept
	// of their ids.
	MaxCarriedRequests = 1024
	// maxRejections is the number of pooled connections that are tried for a call before it gets a new one
	// of its own.
	maxRejections = 3
)

// Error is a failed send.
type Error struct {
	// Sent reports whether a byte of the request may have been sent. If it is
	// false, no byte was sent and none will be.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no answer: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Call is one request to an upstream.
type Call struct {
	Method  string
	Address string
	// Path is the path with the query, which is sent as it is.
	Path   string
	Header http.Header
	// Host is the value of the Host header; empty stands for Address.
	Host string
	Body []byte
	// RequestID is the id by which the answer is told from those to other requests. A connection
	// carries no id twice: an answer to the first request could pass for one to the second.
	// Empty lets any connection be used.
	RequestID string
	// NewConnection sends the call on a new connection that serves this call only:
	// the upstream may just have closed an idle one, which would leave the outcome
	// unknown.
	NewConnection bool
	// HeardSince excludes connections on which nothing has come since then, nor were opened; zero excludes none.
	HeardSince time.Time
	// Run follows the call; nil for none. It serves one call only.
	Run *Run
}

// Sender sends calls. The zero value is ready to use and safe for concurrent use.
type Sender struct {
	once     sync.Once
	pooled   *http.Transport
	unpooled *http.Transport
	conns    openConns
}

func (s *Sender) init() {
	s.once.Do(func() {
		s.pooled = newTransport(&s.conns)
		s.unpooled = newTransport(nil)
		s.unpooled.DisableKeepAlives = true
	})
}

func newTransport(pool *openConns) *http.Transport {
	transport := tuner.Transport()
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout = maxIdlePerUpstream, idleTimeout.Duration()
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := newConn(plain)
		c.address, c.pool = address, pool
		pool.add(c)
		return c, nil
	}
	return transport
}

// Send sends the call and returns the response, whose body the caller closes. Any
// error is an *Error.
func (s *Sender) Send(ctx context.Context, call Call) (res *http.Response, err error) {
	s.init()
	run := call.Run
	if run == nil {
		run = &Run{}
	}
	transport := s.pooled
	if call.NewConnection {
		transport = s.unpooled
	}
	for rejected := 1; ; rejected++ {
		var reason rejection
		res, reason, err = roundTrip(ctx, transport, call, run)
		if reason == accepted {
			break
		}
		klog.InfoS("connection must not carry the request; sending it on another one", logger.KeyRequest, call.RequestID, "address", call.Address, "reason", reason.String(), "rejected", rejected)
		if rejected == maxRejections {
			transport = s.unpooled
		}
	}
	if err == nil && !isFinalStatus(res.StatusCode) {
		Abandon(res)
		res, err = nil, fmt.Errorf("%w: status %03d", errNoAnswer, res.StatusCode)
	}
	if err != nil {
		return nil, &Error{Sent: run.seal(), Err: err}
	}
	return res, nil
}

// errNoAnswer means that what an upstream sent is no answer in HTTP.
var errNoAnswer = errors.New("not an answer")

// isFinalStatus reports whether a status ends a call: those below 200 don't, and none is above 599.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status < 600 }

// roundTrip sends the call on a connection of the transport, unless that one must not carry it.
func roundTrip(ctx context.Context, transport *http.Transport, call Call, run *Run) (res *http.Response, reason rejection, err error) {
	var used *conn
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, tracked := info.Conn.(*conn)
		if !tracked {
			return
		}
		used, reused = c, info.Reused
		reason = c.admit(ctx, call.RequestID, call.HeardSince)
		if !run.bind(c, reason == accepted) && reason == accepted {
			reason = closed
		}
	}}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace), call)
	if err != nil {
		return nil, accepted, err
	}
	res, err = transport.RoundTrip(req)
	if used != nil && run.connection() != used {
		// What came on a connection on which nothing was sent is no answer to this call.
		if err == nil {
			_ = used.Close()
			_ = res.Body.Close()
			err = errRunEnded
		}
		if run.connection() != nil || ctx.Err() != nil {
			reason = accepted
		}
		return nil, reason, err
	}
	if err != nil {
		return nil, accepted, err
	}
	if used != nil {
		run.setAnswered(res.Body == http.NoBody)
		res.Body = &answerBody{ReadCloser: res.Body, run: run, conn: used, reused: reused, delimitedByEnd: IsDelimitedByEnd(res), waitedFrom: wallTime()}
	}
	return res, accepted, nil
}

// Limits of the check whether an upstream has crashed.
const (
	crashCheckTimeout = 250 * clock.Millisecond
	// crashCheckPause is how long a connection to a process that is ending may stay open.
	crashCheckPause = 20 * clock.Millisecond
	crashCheckDials = 3
)

// HasCrashed reports whether the process at the address of an upstream is gone: its host
// refuses connections. A host that doesn't answer may only be unreachable.
func (s *Sender) HasCrashed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout.Duration())
	defer cancel()
	return isGone(func() (net.Conn, error) { return tuner.Dialer().DialContext(ctx, "tcp", address) })
}

// isGone reports whether dial is refused. A process that ends may accept or reset a few more connections, as
// its other ones may be closed before its listening socket.
func isGone(dial func() (net.Conn, error)) bool {
	for range crashCheckDials {
		conn, err := dial()
		if err != nil && !errors.Is(err, syscall.ECONNRESET) {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		if err == nil && staysOpen(conn) {
			return false
		}
	}
	return false
}

// staysOpen reports whether a connection is open after crashCheckPause, and closes it.
func staysOpen(conn net.Conn) bool {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(crashCheckPause.Duration()))
	_, err := conn.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// IsDelimitedByEnd reports whether only the end of its connection tells where an answer ends.
func IsDelimitedByEnd(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// EndAge returns for how long the end of an answer that was read to its end may have been there
// before: the time since its upstream was last waited for. It counts the time in which this machine
// stood still.
func EndAge(res *http.Response) clock.Millis {
	body, tracked := trackedBody(res)
	if !tracked || body.waitedFrom.IsZero() {
		return 0
	}
	return clock.Millis(wallTime().Sub(body.waitedFrom).Milliseconds())
}

// wallTime returns the time of day without the steady clock, which may not count the time in which
// the machine stands still.
func wallTime() time.Time { return time.Now().Round(0) }

// IsFirst reports whether the connection of an answer has carried no request before, so that no
// data of an earlier answer can have been read as this one.
func IsFirst(res *http.Response) bool {
	body, tracked := trackedBody(res)
	return tracked && !body.reused
}

// CloseAfter lets the connection of an answer be closed once the answer has been read, so that
// a second copy of it can't be read as the answer to another request.
func CloseAfter(res *http.Response) {
	if body, tracked := trackedBody(res); tracked {
		body.closeConn = true
	}
}

// trackedBody returns the body that Send gave to an answer, also if it has been wrapped in one with a method
// Unwrap.
func trackedBody(res *http.Response) (body *answerBody, tracked bool) {
	reader := res.Body
	for {
		if body, tracked = reader.(*answerBody); tracked {
			return body, true
		}
		wrapper, wraps := reader.(interface{ Unwrap() io.ReadCloser })
		if !wraps {
			return nil, false
		}
		reader = wrapper.Unwrap()
	}
}

// Abandon closes the body and the connection of an answer, so that data that still
// arrives on it can't be read as the answer to another request.
func Abandon(res *http.Response) {
	if body, tracked := trackedBody(res); tracked {
		body.run.setAnswered(false)
		_ = body.conn.Close()
	}
	_ = res.Body.Close()
}

// Discard reads an answer that is not used, so that its connection can serve other
// requests. An answer that is longer than limit bytes, or not read within timeout, is
// abandoned.
func Discard(res *http.Response, limit int64, timeout clock.Millis) {
	timer := time.AfterFunc(timeout.Duration(), func() { Abandon(res) })
	defer timer.Stop()
	if n, err := io.CopyN(io.Discard, res.Body, limit); n == limit || !errors.Is(err, io.EOF) {
		Abandon(res)
	}
}

// answerBody is the body of an answer on a connection.
type answerBody struct {
	io.ReadCloser
	run  *Run
	conn *conn
	// reused means that the connection has carried an earlier request.
	reused bool
	// closeConn makes Close also close the connection, by CloseAfter.
	closeConn bool
	// delimitedByEnd means that only the end of the connection tells where the answer ends.
	delimitedByEnd bool
	// waitedFrom is when the last read began that had to wait, so that all that had come was read
	// then. It begins with the answer.
	waitedFrom time.Time
}

// Times from which on a read counts as one that has waited for the upstream.
const (
	waitingRead = time.Millisecond
	// lateWaitingRead is that time where no read has waited for staleAfter: a machine that has stood
	// still is busy when it goes on, and reads what has come meanwhile with pauses.
	lateWaitingRead = 50 * time.Millisecond
	staleAfter      = 500 * time.Millisecond
)

// Read implements io.Reader.
func (b *answerBody) Read(piece []byte) (n int, err error) {
	if !b.closeConn {
		b.conn.settle(b.run)
	}
	began := wallTime()
	n, err = b.ReadCloser.Read(piece)
	waiting := waitingRead
	if began.Sub(b.waitedFrom) >= staleAfter {
		waiting = lateWaitingRead
	}
	if wallTime().Sub(began) >= waiting {
		b.waitedFrom = began
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if b.delimitedByEnd && b.conn.wasReset() {
		return n, io.ErrUnexpectedEOF
	}
	b.run.setAnswered(true)
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	if b.closeConn {
		err = errors.Join(err, b.conn.Close())
	}
	b.conn.settle(b.run)
	return err
}

func newRequest(ctx context.Context, call Call) (req *http.Request, err error) {
	req, err = http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(call.Path, "//") {
		// An opaque URL is written as it is; a path is encoded anew, which may change it.
		req.URL = &url.URL{Scheme: req.URL.Scheme, Host: req.URL.Host, Opaque: call.Path}
	}
	// The transport retries a request on its own if GetBody can return the body
	// again.
	req.GetBody = nil
	req.Host = call.Host
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return req, nil
}

// Probe checks on a new connection whether an upstream is alive: any HTTP answer
// counts as success.
func (s *Sender) Probe(ctx context.Context, address string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	res, err := s.Send(ctx, Call{Method: http.MethodGet, Address: address, Path: "/v1/load", NewConnection: true})
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// probeTimeout is the timeout of a probe.
const probeTimeout = 2 * clock.Second

// WasSent reports whether a byte may have been sent by a send that returned err. An
// error that contains no *Error counts as sent.
func WasSent(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.Sent
	}
	return err != nil
}
