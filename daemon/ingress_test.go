package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"yuccaspread/common/clock"
)

// TestPartialBodyHoldsNoConnection sends part of a body to a handler that replies
// without reading it. It guards against connections that stay open because the
// server waits for the rest of the body.
func TestPartialBodyHoldsNoConnection(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	server := httptest.NewServer(limitBodyReadTime(50*clock.Millisecond, handler))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err = io.WriteString(conn, "POST /v1/admin/config HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	// Without the deadline this read never returns and the test fails by timeout.
	if _, err = io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
}
