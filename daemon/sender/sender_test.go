package sender_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"yuccaspread/common/allocator"
	"yuccaspread/daemon/sender"
)

// droppingServer answers its first request and closes the connection of every later
// one without an answer, as an upstream that dies does.
type droppingServer struct {
	requests atomic.Int64
}

func (d *droppingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if d.requests.Add(1) == 1 {
		_, _ = w.Write([]byte("first"))
		return
	}
	panic(http.ErrAbortHandler)
}

func newCall(server *httptest.Server, body string, newConnection bool) sender.Call {
	return sender.Call{
		Method: http.MethodPost, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), NewConnection: newConnection,
	}
}

// sendError sends a call and returns its error only.
func sendError(ctx context.Context, s *sender.Sender, c sender.Call) error {
	res, err := s.Send(ctx, c)
	if err == nil {
		_ = res.Body.Close()
	}
	return err
}

// TestReusedConnectionNeverSendsTwice guards against the retry of net/http's
// transport: it resends a request with an Idempotency-Key if a reused connection
// breaks. The upstream must see the request exactly once.
func TestReusedConnectionNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "body"} {
		d := &droppingServer{}
		server := httptest.NewServer(d)
		s := &sender.Sender{}
		res, err := s.Send(t.Context(), newCall(server, "warm", false))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		err = sendError(t.Context(), s, newCall(server, body, false))
		if err == nil || !sender.WasSent(err) {
			t.Fatalf("body %q: got %v, want an error after bytes were sent", body, err)
		}
		server.Close()
		if n := d.requests.Load(); n != 2 {
			t.Fatalf("body %q: the upstream saw %d requests, want 2", body, n)
		}
	}
}

// TestPlainTransportSendsTwice shows that the sender's guard is still needed: a
// plain transport of net/http does resend the request.
func TestPlainTransportSendsTwice(t *testing.T) {
	d := &droppingServer{}
	server := httptest.NewServer(d)
	defer server.Close()
	client := server.Client()
	for range 2 {
		req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, http.NoBody)
		req.Header.Set("Idempotency-Key", "k")
		res, err := client.Do(req)
		if err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
	}
	if n := d.requests.Load(); n <= 2 {
		t.Fatalf("the upstream saw %d requests; the guard of the sender may no longer be needed", n)
	}
}

// TestRefusedConnectionIsNotSent guards against a refused connection that counts as
// sent: its request could then not be retried.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	var free allocator.Allocator
	t.Cleanup(free.Close)
	addresses, err := free.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	err = sendError(t.Context(), &sender.Sender{}, sender.Call{Method: http.MethodPost, Address: addresses[0], Path: "/", NewConnection: true})
	var failed *sender.Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Fatalf("got %v, want not sent", err)
	}
}

// TestUnansweredRequestCountsAsSent guards against a timeout that counts as not sent
// although the request was written: the request would run twice.
func TestUnansweredRequestCountsAsSent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = sendError(ctx, &sender.Sender{}, sender.Call{
		Method: http.MethodPost, Address: socket.Addr().String(), Path: "/", Body: []byte("x"), NewConnection: true,
	})
	if !sender.WasSent(err) {
		t.Fatalf("got %v, want sent", err)
	}
}
