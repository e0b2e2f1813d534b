package sender_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"yuccaspread/daemon/sender"
)

// earlyAnswer is an answer without a length that a server sends before it has read the request's body.
const earlyAnswer = "a part of an answer"

// answerDelay is when the server answers: by then it takes no more of the body.
const answerDelay = 20 * time.Millisecond

// listenWithSmallBuffer listens for connections that take little of a body that nobody reads.
var listenWithSmallBuffer = net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
	var optionErr error
	err = conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 64<<10)
	})
	return errors.Join(err, optionErr)
}}

// sendToEarlyServer sends a long body to a server that reads part of it, answers and ends the connection as end does.
// It returns what was read of the answer.
func sendToEarlyServer(t *testing.T, end func(conn *net.TCPConn, body io.Reader)) (body string, err error) {
	t.Helper()
	socket, err := listenWithSmallBuffer.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, req.Body, 100<<10)
		time.Sleep(answerDelay)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
		end(conn.(*net.TCPConn), req.Body)
	}()
	res, err := (&sender.Sender{}).Send(t.Context(), sender.Call{
		Method: http.MethodPost, Address: socket.Addr().String(), Path: "/", Body: bytes.Repeat([]byte("x"), 16<<20),
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	read, err := io.ReadAll(res.Body)
	return string(read), err
}

// TestResetDuringAnUploadDoesNotEndAnAnswer guards against an answer without a length that passes for whole though
// its connection was reset: the write of the request's body may be the one that is told of the reset.
func TestResetDuringAnUploadDoesNotEndAnAnswer(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		for range 50 {
			body, err := sendToEarlyServer(t, func(conn *net.TCPConn, _ io.Reader) {
				time.Sleep(pause)
				_ = conn.SetLinger(0)
			})
			if err == nil {
				t.Fatalf("reset after %v: %q was taken for a whole answer", pause, body)
			}
		}
	}
}

// TestAnswerThatEndsDuringAnUploadIsWhole guards against an answer that is dropped because its server has not read the
// request's body yet.
func TestAnswerThatEndsDuringAnUploadIsWhole(t *testing.T) {
	for _, pause := range []time.Duration{0, 500 * time.Millisecond} {
		body, err := sendToEarlyServer(t, func(conn *net.TCPConn, body io.Reader) {
			_ = conn.CloseWrite()
			time.Sleep(pause)
			_, _ = io.Copy(io.Discard, body)
		})
		if err != nil || body != earlyAnswer {
			t.Errorf("body read after %v: %v, %q", pause, err, body)
		}
	}
}
