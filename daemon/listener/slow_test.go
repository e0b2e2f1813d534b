package listener_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"yuccaspread/common/clock"
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
