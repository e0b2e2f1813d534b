package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/listener"
)

// testTimeout ends a wait that would otherwise hang; no check depends on its length.
const testTimeout = 20 * time.Second

// TestSlowBodyIsRefusedAndItsConnectionClosed guards against a caller that stops in the
// middle of a body and keeps its connection open forever, also when it is refused for
// its token before the body is read.
func TestSlowBodyIsRefusedAndItsConnectionClosed(t *testing.T) {
	server := httptest.NewServer(&listener.Listener{Source: config(), Clock: clock.System{}, BodyTimeout: 50 * clock.Millisecond})
	t.Cleanup(server.Close)
	for token, status := range map[string]int{"secret": http.StatusRequestTimeout, "unknown": http.StatusUnauthorized} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if err = conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "POST /bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", token)
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		_ = conn.Close()
		if res.StatusCode != status || !res.Close {
			t.Errorf("%s, closes: %v, want %d", res.Status, res.Close, status)
		}
	}
}

// TestLateAnswerIsWhole guards against an answer that is cut because it goes on, or its caller reads it,
// after the deadline of the request.
func TestLateAnswerIsWhole(t *testing.T) {
	const pieces, deadline, pause = 8, 50 * time.Millisecond, 500 * time.Millisecond
	server := startServer(t, func(w http.ResponseWriter, _ *classifier.Request) error {
		for range pieces {
			time.Sleep(pause)
			if _, err := w.Write([]byte("piece ")); err != nil {
				return err
			}
			_ = http.NewResponseController(w).Flush()
		}
		return nil
	})
	res, err := post(t, server, "/v1/completions", `{"model":"guide"}`, "X-Request-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || string(body) != strings.Repeat("piece ", pieces) {
		t.Errorf("%d bytes after the deadline, %v", len(body), err)
	}
}
