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

	"yuccaspread/daemon/sender"
)

// dropper answers the first request of each connection and closes the
// connection when the second one has come, as an upstream that dies does.
type dropper struct {
	requests atomic.Int64
}

func (d *dropper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if d.requests.Add(1) == 1 {
		_, _ = w.Write([]byte("first"))
		return
	}
	panic(http.ErrAbortHandler)
}

func call(server *httptest.Server, body string, once bool) sender.Call {
	return sender.Call{
		Method: http.MethodPost, Address: strings.TrimPrefix(server.URL, "http://"), Path: "/",
		Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body), Once: once,
	}
}

// failure sends a call and returns its error alone.
func failure(ctx context.Context, s *sender.Sender, c sender.Call) error {
	res, err := s.Send(ctx, c)
	if err == nil {
		_ = res.Body.Close()
	}
	return err
}

// The transport of net/http sends a keyed request again by itself on a reused
// connection that breaks; here it reaches the upstream exactly once.
func TestReusedConnectionNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "body"} {
		d := &dropper{}
		server := httptest.NewServer(d)
		s := &sender.Sender{}
		res, err := s.Send(t.Context(), call(server, "warm", false))
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		err = failure(t.Context(), s, call(server, body, false))
		if err == nil || !sender.WasSent(err) {
			t.Fatalf("body %q: got %v, want an error after bytes were sent", body, err)
		}
		server.Close()
		if n := d.requests.Load(); n != 2 {
			t.Fatalf("body %q: the upstream saw %d requests, want 2", body, n)
		}
	}
}

// The comparison shows that the danger is real: the plain transport resends.
func TestPlainTransportWouldSendTwice(t *testing.T) {
	d := &dropper{}
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

func TestRefusedConnectionIsNotSent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := socket.Addr().String()
	_ = socket.Close()
	err = failure(t.Context(), &sender.Sender{}, sender.Call{Method: http.MethodPost, Address: address, Path: "/", Once: true})
	var failed *sender.Error
	if !errors.As(err, &failed) || failed.Sent {
		t.Fatalf("got %v, want not sent", err)
	}
}

func TestSilentUpstreamIsSent(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	err = failure(ctx, &sender.Sender{}, sender.Call{
		Method: http.MethodPost, Address: socket.Addr().String(), Path: "/", Body: []byte("x"), Once: true,
	})
	if !sender.WasSent(err) {
		t.Fatalf("got %v, want sent", err)
	}
}
