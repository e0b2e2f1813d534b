package allocator

import (
	"net"
	"testing"
)

// TestPortIsNotEphemeral guards against a program under test whose port is taken by an
// outgoing connection of another before it starts or while it restarts: it then ends with
// "address already in use".
func TestPortIsNotEphemeral(t *testing.T) {
	var a Allocator
	t.Cleanup(a.Close)
	seen := map[int]bool{}
	for range 200 {
		port, err := a.Port()
		if err != nil {
			t.Fatal(err)
		}
		if port < firstPort || port >= ephemeralStart() {
			t.Errorf("port %d, want one from %d below %d", port, firstPort, ephemeralStart())
		}
		if seen[port] {
			t.Errorf("port %d was assigned twice", port)
		}
		seen[port] = true
	}
}

// TestPortInUseIsNotAssigned guards against a port that another test process has assigned,
// or on which somebody listens.
func TestPortInUseIsNotAssigned(t *testing.T) {
	var a Allocator
	t.Cleanup(a.Close)
	port, err := a.Port()
	if err != nil {
		t.Fatal(err)
	}
	if claim, err := claimPort(port); err == nil {
		_ = claim.Close()
		t.Errorf("port %d was claimed twice", port)
	}
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	used := socket.Addr().(*net.TCPAddr).Port
	if claim, err := claimPort(used); err == nil {
		_ = claim.Close()
		t.Errorf("port %d was claimed while it was in use", used)
	}
}
