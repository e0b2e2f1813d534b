package sender_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"yuccaspread/daemon/sender"
)

// earlyAnswer is an answer without a length that a server sends before it has read the request's body.
const earlyAnswer = "a part of an answer"

// sendToEarlyServer sends a long body to a server that reads part of it, answers and ends the connection as end does.
// It returns what was read of the answer.
func sendToEarlyServer(t *testing.T, end func(conn *net.TCPConn, body io.Reader)) (body string, err error) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
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
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+earlyAnswer)
		end(conn.(*net.TCPConn), req.Body)
	}()
	res, err := (&sender.Sender{}).Send(t.Context(), sender.Call{
		Method: http.MethodPost, Address: socket.Addr().String(), Path: "/", Body: bytes.Repeat([]byte("x"), 8<<20),
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
