package gossiper_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket
}

// launch runs a gossiper that others reach at the address.
func launch(t *testing.T, name, address string, socket net.Listener, seeds ...string) *gossiper.Gossiper {
	t.Helper()
	g := &gossiper.Gossiper{
		Own:   gossiper.Member{Name: name, Region: "r", PeerListen: address, Incarnation: 1},
		Clock: clock.System{}, Connector: connector.New(nil, nil), Seeds: func() []string { return seeds },
		// Long enough that a busy machine is not taken for a silent connection.
		Timeout: 3 * clock.Second,
	}
	mux := drpcmux.New()
	if err := g.Register(mux); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = drpcserver.New(mux).Serve(ctx, socket) })
	wait.Go(func() { g.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return g
}

// silencer passes connections on. Those that are open when it is told to
// hush stay open and carry nothing any more.
type silencer struct {
	generation atomic.Int64
	passed     atomic.Int64
}

func (s *silencer) serve(socket net.Listener, to string) {
	for {
		from, err := socket.Accept()
		if err != nil {
			return
		}
		conn, err := net.Dial("tcp", to)
		if err != nil {
			_ = from.Close()
			continue
		}
		s.passed.Add(1)
		born := s.generation.Load()
		go s.pass(from, conn, born)
		go s.pass(conn, from, born)
	}
}

func (s *silencer) pass(from io.ReadCloser, to io.WriteCloser, born int64) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		if s.generation.Load() == born {
			_, _ = to.Write(buffer[:n])
		}
	}
}

func TestSilentConnectionIsReplacedAndNoDeath(t *testing.T) {
	first, second, between := listen(t), listen(t), listen(t)
	way := &silencer{}
	go way.serve(between, second.Addr().String())
	a := launch(t, "a", first.Addr().String(), first, between.Addr().String())
	launch(t, "b", between.Addr().String(), second)
	for end := time.Now().Add(20 * time.Second); len(a.Members()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("they did not find each other")
		}
	}
	before := way.passed.Load()
	way.generation.Add(1)
	// The time of two tries and the next tick.
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range a.Members() {
			if m.State != gossiper.Alive {
				t.Fatalf("%s is %v", m.Name, m.State)
			}
		}
	}
	if way.passed.Load() == before {
		t.Error("no new connection was opened")
	}
	if len(a.Members()) != 2 {
		t.Fatalf("members %+v", a.Members())
	}
}
