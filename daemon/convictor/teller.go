package convictor

import (
	"context"
	"sync"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// tellTimeout bounds the call to one daemon; the region knows within it.
const tellTimeout = 800 * clock.Millisecond

// Teller passes deaths on to the daemons of the region. Its exported fields
// are set before use.
type Teller struct {
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
}

// Tell calls all daemons of the region at once and waits for them.
func (t *Teller) Tell(death Death) {
	self := t.View.Self()
	now := t.Clock.Now()
	message := &wire.UpstreamDeath{
		Fingerprint: death.Fingerprint, Upstream: death.Upstream,
		StartedAgoMs: int64(now - death.Started), DiedAgoMs: int64(now - death.Time),
	}
	var wait sync.WaitGroup
	for _, m := range t.View.Members() {
		if m.Name == self.Name || m.Region != self.Region {
			continue
		}
		wait.Go(func() {
			if err := t.call(m.PeerListen, message); err != nil {
				klog.ErrorS(err, "death not told", "daemon", m.Name)
			}
		})
	}
	wait.Wait()
}

func (t *Teller) call(address string, message *wire.UpstreamDeath) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
	defer cancel()
	conn := t.Connector.Call(ctx, address)
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCConvictingClient(conn).Tell(ctx, message)
	return err
}

// Server takes the news of other daemons. Its exported fields are set before
// Register.
type Server struct {
	Convictor *Convictor
	Clock     clock.Clock
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterConvicting(mux, s)
}

// Tell implements the service.
func (s *Server) Tell(_ context.Context, message *wire.UpstreamDeath) (heard *wire.UpstreamDeathHeard, err error) {
	now := s.Clock.Now()
	s.Convictor.Hear(Death{
		Fingerprint: message.GetFingerprint(), Upstream: message.GetUpstream(),
		Started: now - clock.Millis(message.GetStartedAgoMs()), Time: now - clock.Millis(message.GetDiedAgoMs()),
	})
	return &wire.UpstreamDeathHeard{}, nil
}
