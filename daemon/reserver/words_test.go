package reserver_test

import (
	"context"
	"errors"
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
	source := &fixedSource{}
	dialled := make(chan string, len(view))
	remote := &reserver.Remote{
		Source: source, View: view, Clock: clock.System{}, Local: &reserver.Local{Source: source, Clock: clock.System{}},
		Assigner: &sharder.Assigner{Source: source, View: view},
		Dial: func(_ context.Context, to gossiper.Member) (reserver.Conn, error) {
			dialled <- to.Name
			return nil, errors.New("connection refused")
		},
	}
	go remote.Run(t.Context())
	for _, want := range []string{"old", "young"} {
		select {
		case name := <-dialled:
			if name != want {
				t.Errorf("asked %s, want %s", name, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("%s was not asked", want)
		}
	}
}
