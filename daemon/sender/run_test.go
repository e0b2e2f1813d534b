package sender_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"yuccaspread/daemon/sender"
)

// TestRunStateTellsHowTheUpstreamEnded guards against a run that counts as ended although nothing
// shows that its upstream has stopped.
func TestRunStateTellsHowTheUpstreamEnded(t *testing.T) {
	finish := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch r.URL.Path {
		case "/breaks":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("abc"))
			panic(http.ErrAbortHandler)
		case "/hangs":
			<-finish
		case "/empty":
		default:
			_, _ = w.Write([]byte("whole"))
		}
	}))
	defer server.Close()
	defer close(finish)
	for path, want := range map[string]sender.RunState{
		"/whole": sender.Answered, "/empty": sender.Answered, "/breaks": sender.ClosedByUpstream, "/hangs": sender.Open,
	} {
		run := &sender.Run{}
		if got := run.State(); got != sender.NotStarted {
			t.Errorf("%s: %v before the call", path, got)
		}
		call := newCall(server, "body", false)
		call.Path, call.Run = path, run
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		res, err := (&sender.Sender{}).Send(ctx, call)
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
		}
		cancel()
		if got := run.State(); got != want {
			t.Errorf("%s: %v, want %v", path, got, want)
		}
		if failed := want == sender.ClosedByUpstream || want == sender.Open; failed != (err != nil) {
			t.Errorf("%s: %v", path, err)
		}
	}
}

// maxOverlap is how long an upstream may go on with a call after the call is made again.
const maxOverlap = 400 * time.Millisecond

// endsRun sends a call whose answer never ends to serve, ends it some time after the head of the
// answer, and reports whether the upstream is known to have stopped.
func endsRun(t *testing.T, after time.Duration, serve func(conn net.Conn)) (known bool) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n")
			serve(conn)
		}
	}()
	run := &sender.Run{}
	ctx, cancel := context.WithCancel(t.Context())
	res, err := (&sender.Sender{}).Send(ctx, sender.Call{Method: http.MethodGet, Address: socket.Addr().String(), Path: "/", Run: run})
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(after)
	cancel()
	_ = res.Body.Close()
	return run.AwaitEnd(t.Context())
}

// TestEndOfRunIsKnownOnceTheUpstreamCloses guards against a call that is made again although its
// upstream has not noticed the end of the first one.
func TestEndOfRunIsKnownOnceTheUpstreamCloses(t *testing.T) {
	if !endsRun(t, 0, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }) {
		t.Error("the upstream has closed the connection")
	}
	writes := make(chan error, 1)
	if endsRun(t, 0, func(conn net.Conn) {
		time.Sleep(200 * time.Millisecond)
		_, err := conn.Write([]byte("x"))
		writes <- err
	}) {
		t.Error("the upstream was not known to look at the connection")
	}
	if err := <-writes; err == nil {
		t.Error("an upstream that only writes has not been stopped by its next write")
	}
}

// TestUpstreamThatWritesOnIsAwaited guards against a call that is made again while an upstream, which
// has written after the end of the first one, is yet to look at the connection once more.
func TestUpstreamThatWritesOnIsAwaited(t *testing.T) {
	const pause = 700 * time.Millisecond
	stopped := make(chan struct{})
	known := endsRun(t, pause, func(conn net.Conn) {
		defer close(stopped)
		time.Sleep(pause + 20*time.Millisecond)
		for {
			if _, err := conn.Write([]byte("x")); err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
	if known {
		t.Error("the upstream was not known to have noticed")
	}
	select {
	case <-stopped:
	case <-time.After(maxOverlap):
		t.Error("the upstream still works on the call")
	}
}

// TestAnswerToTheEndOfACallIsNotTaken guards against a call that was ended in time and yet brings the answer that
// its upstream writes on noticing that end.
func TestAnswerToTheEndOfACallIsNotTaken(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_ = conn.Close()
			}()
		}
	}()
	taken := 0
	const calls = 2000
	var group sync.WaitGroup
	var mu sync.Mutex
	for range 8 {
		group.Go(func() {
			for range calls / 8 {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Millisecond)
				res, err := (&sender.Sender{}).Send(ctx, sender.Call{Method: http.MethodGet, Address: socket.Addr().String(), Path: "/"})
				cancel()
				if err == nil {
					_ = res.Body.Close()
					mu.Lock()
					taken++
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	if taken > 0 {
		t.Errorf("%d of %d calls brought an answer after their end", taken, calls)
	}
}
