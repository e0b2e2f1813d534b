package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// call is one request of a caller.
type call struct {
	method, path, id, prefix string
	// tokens are those of the Token-Count, the prompt's and the largest number of output tokens.
	tokens   [2]int
	deadline time.Duration
	// bytesPerSecond bounds how fast the answer is read, 0 for no bound. The socket of a slow caller has a
	// receive buffer of a fixed size.
	bytesPerSecond int
}

// result is what a caller saw.
type result struct {
	status int
	header http.Header
	body   []byte
	// whole is set if the answer ended as a complete one.
	whole bool
	err   error
}

// do sends a call to a daemon on a connection of its own.
func (c call) do(address string) (r result) {
	var conn net.Conn
	dialer := net.Dialer{Timeout: time.Second}
	if c.bytesPerSecond > 0 {
		dialer.Control = slowSocket
	}
	if conn, r.err = dialer.Dial("tcp", address); r.err != nil {
		return r
	}
	defer func() { _ = conn.Close() }()
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n", c.method, c.path, c.id, c.deadline.Milliseconds())
	if c.prefix != "" {
		tokens := c.tokens
		if tokens == [2]int{} {
			tokens = [2]int{100, 80}
		}
		text += fmt.Sprintf("Model: m\r\nToken-Count: %d,%d\r\nPrompt-Prefix: %s\r\n", tokens[0], tokens[1], c.prefix)
	}
	body := ""
	if c.method != http.MethodGet {
		body = "prompt of " + c.id
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, r.err = io.WriteString(conn, text+"\r\n"+body); r.err != nil {
		return r
	}
	_ = conn.SetReadDeadline(time.Now().Add(c.deadline + 5*time.Second))
	res, err := http.ReadResponse(bufio.NewReaderSize(&slowReader{Conn: conn, bytesPerSecond: c.bytesPerSecond}, 4096), nil)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = res.Body.Close() }()
	r.status, r.header = res.StatusCode, res.Header
	r.body, r.err = io.ReadAll(res.Body)
	r.whole = r.err == nil && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	return r
}

// slowReceiveBuffer is the receive buffer of a slow caller's socket, in bytes.
const slowReceiveBuffer = 64 << 10

func slowSocket(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowReceiveBuffer)
	})
	return errors.Join(err, controlErr)
}

// slowReader reads at a bounded rate.
type slowReader struct {
	net.Conn
	bytesPerSecond int
}

// Read implements io.Reader.
func (s *slowReader) Read(piece []byte) (n int, err error) {
	n, err = s.Conn.Read(piece)
	if s.bytesPerSecond > 0 {
		time.Sleep(time.Duration(float64(n) / float64(s.bytesPerSecond) * float64(time.Second)))
	}
	return n, err
}

// events returns the number of whole events of a stream, and the number that it should have.
func events(body []byte) (got, total int) {
	for event := range strings.SplitSeq(string(body), "\n\n") {
		var n, of int
		if _, data, found := strings.Cut(event, "data: "); found {
			if _, err := fmt.Sscanf(data, "%d of %d", &n, &of); err == nil {
				got, total = n, of
			}
		}
	}
	return got, total
}

// reason returns a short text on how a result ended.
func (r result) reason() string {
	switch {
	case r.err == nil:
		return "complete"
	case errors.Is(r.err, io.ErrUnexpectedEOF), errors.Is(r.err, io.EOF):
		return "broken off"
	default:
		return r.err.Error()
	}
}
