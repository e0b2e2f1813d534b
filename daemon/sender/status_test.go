package sender_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"yuccaspread/daemon/sender"
)

// TestStatusThatDoesNotExistIsNoAnswer guards against an upstream in trouble whose bytes are passed on as an answer.
func TestStatusThatDoesNotExistIsNoAnswer(t *testing.T) {
	for status, isAnswer := range map[int]bool{0: false, 1: false, 99: false, 101: false, 200: true, 404: true, 599: true, 600: false, 999: false} {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %03d X\r\nContent-Length: 2\r\n\r\nok", status)
				_, _ = io.Copy(io.Discard, conn)
			}
		}()
		run := &sender.Run{}
		res, err := (&sender.Sender{}).Send(t.Context(), sender.Call{Method: http.MethodGet, Address: socket.Addr().String(), Path: "/", Run: run})
		if err == nil {
			_ = res.Body.Close()
		}
		if (err == nil) != isAnswer {
			t.Errorf("status %03d: %v", status, err)
		}
		if !isAnswer && (!sender.WasSent(err) || run.State() == sender.Answered) {
			t.Errorf("status %03d: %v, run %v, want a request that was sent and has no answer", status, err, run.State())
		}
		_ = socket.Close()
	}
}
