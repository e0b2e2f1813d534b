package reserver_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sharder"
)

// members is a gossiper.View whose first member is the daemon itself.
type members []gossiper.Member

func (m members) Self() gossiper.Member      { return m[0] }
func (m members) Members() []gossiper.Member { return m }

// TestStartingDaemonAsksOnesThatMayKnow guards against a daemon that learns what upstreams say from one of another
// region, or from one that has just started too, while a better one is there.
func TestStartingDaemonAsksOnesThatMayKnow(t *testing.T) {
	const started = int64(clock.Hour)
	view := members{
		{Name: "self", Region: "a", Incarnation: started},
		{Name: "far", Region: "b", Incarnation: started - int64(clock.Minute)},
		{Name: "leaving", Region: "a", State: gossiper.Leaving},
		{Name: "old", Region: "a", Incarnation: started - int64(clock.Minute)},
		{Name: "young", Region: "a", Incarnation: started - int64(clock.Second)},
	}
	dialled := startRemote(t, view, nil)
	for _, want := range []string{"old", "young"} {
		if name := receive(t, dialled); name != want {
			t.Errorf("asked %s, want %s", name, want)
		}
	}
}

func receive(t *testing.T, names <-chan string) string {
	t.Helper()
	select {
	case name := <-names:
		return name
	case <-time.After(5 * time.Second):
		t.Fatal("no daemon was asked")
		return ""
	}
}

// TestStartingDaemonWaitsForItsRegion guards against a daemon that asks one of another region while it has not
// found those of its own.
func TestStartingDaemonWaitsForItsRegion(t *testing.T) {
	view := members{{Name: "self", Region: "a"}, {Name: "far", Region: "b"}}
	var settled atomic.Bool
	dialled := startRemote(t, view, settled.Load)
	select {
	case name := <-dialled:
		t.Errorf("asked %s before the fleet was known", name)
	case <-time.After(200 * time.Millisecond):
	}
	settled.Store(true)
	if name := receive(t, dialled); name != "far" {
		t.Errorf("asked %s", name)
	}
}

// startRemote starts a Remote that reaches no daemon, and returns the names of those that it dials.
func startRemote(t *testing.T, view members, settled func() bool) (dialled <-chan string) {
	t.Helper()
	source, names := &fixedSource{}, make(chan string, len(view))
	remote := &reserver.Remote{
		Source: source, View: view, Clock: clock.System{}, Local: &reserver.Local{Source: source, Clock: clock.System{}},
		Assigner: &sharder.Assigner{Source: source, View: view}, Settled: settled,
		Dial: func(_ context.Context, to gossiper.Member) (reserver.Conn, error) {
			names <- to.Name
			return nil, errors.New("connection refused")
		},
	}
	go remote.Run(t.Context())
	return names
}
