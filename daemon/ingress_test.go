package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"yuccaspread/common/clock"
)

// TestHalfBodiesHoldNoConnection sends half a body to a page that refuses
// without reading it: the connection must end all the same.
func TestHalfBodiesHoldNoConnection(t *testing.T) {
	page := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	server := httptest.NewServer(boundBodies(50*clock.Millisecond, page))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err = io.WriteString(conn, "POST /v1/admin/config HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf"); err != nil {
		t.Fatal(err)
	}
	// Without the bound this read has no end, and the test's own timeout fails it.
	if _, err = io.ReadAll(conn); err != nil {
		t.Fatal(err)
	}
}
