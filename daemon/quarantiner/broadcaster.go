package quarantiner

import (
	"context"
	"slices"
	"sync"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// tellTimeout bounds the call to one daemon, and so the duration of Broadcast,
// which calls all daemons at once.
const tellTimeout = 800 * clock.Millisecond

// Limits of resending deaths to daemons that have not been informed.
const (
	resendInterval = 1 * clock.Second
	maxNotices     = 256
)

// DeathBroadcaster reports deaths to the daemons of the region, including those
// that join later or could not be reached at first. Its exported fields are set
// before use.
type DeathBroadcaster struct {
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
	// Retention returns how long a death is resent.
	Retention func() clock.Millis

	mu      sync.Mutex
	notices []*notice
}

// notice is a death and the daemons that are informed of it.
type notice struct {
	death Death
	// informed holds the daemons that know the death; DeathBroadcaster.mu guards it.
	informed map[recipient]bool
}

// recipient is one run of a daemon. A restarted daemon has a new incarnation and
// is informed again.
type recipient struct {
	name        string
	incarnation int64
}

// Broadcast reports a death to all daemons of the region at once and waits for
// their answers.
func (b *DeathBroadcaster) Broadcast(death Death) {
	n := &notice{death: death, informed: map[recipient]bool{}}
	b.mu.Lock()
	b.notices = append(b.notices, n)
	b.notices = b.notices[max(0, len(b.notices)-maxNotices):]
	b.mu.Unlock()
	b.broadcast(n)
}

// Run resends the deaths to daemons that are not informed, until ctx ends.
func (b *DeathBroadcaster) Run(ctx context.Context) {
	ticker := clock.NewTicker(resendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, n := range b.recentNotices() {
			b.broadcast(n)
		}
	}
}

// recentNotices drops the deaths older than Retention and returns the others.
func (b *DeathBroadcaster) recentNotices() []*notice {
	now, retention := b.Clock.Now(), b.Retention()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notices = slices.DeleteFunc(b.notices, func(n *notice) bool { return now-n.death.Time > retention })
	return slices.Clone(b.notices)
}

// broadcast reports a death to the daemons of the region that are not informed.
func (b *DeathBroadcaster) broadcast(n *notice) {
	self := b.View.Self()
	now := b.Clock.Now()
	message := &wire.UpstreamDeath{
		Fingerprint: n.death.Fingerprint, Upstream: n.death.Upstream,
		StartedAgoMs: int64(now - n.death.Started), DiedAgoMs: int64(now - n.death.Time),
	}
	var calls sync.WaitGroup
	for _, m := range b.View.Members() {
		to := recipient{m.Name, m.Incarnation}
		if m.Name == self.Name || m.Region != self.Region || b.isInformed(n, to) {
			continue
		}
		calls.Go(func() {
			if err := b.sendDeath(m.PeerListen, message); err != nil {
				klog.ErrorS(err, "report of an upstream death to a daemon failed; will resend", "daemon", m.Name)
				return
			}
			b.mu.Lock()
			defer b.mu.Unlock()
			n.informed[to] = true
		})
	}
	calls.Wait()
}

func (b *DeathBroadcaster) isInformed(n *notice, to recipient) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return n.informed[to]
}

func (b *DeathBroadcaster) sendDeath(address string, message *wire.UpstreamDeath) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
	defer cancel()
	conn := b.Connector.PooledConn(ctx, address)
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCConvictingClient(conn).Tell(ctx, message)
	return err
}

// Server receives the deaths that other daemons report. Its exported fields are
// set before Register.
type Server struct {
	Quarantiner *Quarantiner
	Clock       clock.Clock
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterConvicting(mux, s)
}

// Tell implements wire.DRPCConvictingServer.
func (s *Server) Tell(_ context.Context, message *wire.UpstreamDeath) (reply *wire.UpstreamDeathHeard, err error) {
	now := s.Clock.Now()
	s.Quarantiner.HandleRemoteDeath(Death{
		Fingerprint: message.GetFingerprint(), Upstream: message.GetUpstream(),
		Started: now - clock.Millis(message.GetStartedAgoMs()), Time: now - clock.Millis(message.GetDiedAgoMs()),
	})
	return &wire.UpstreamDeathHeard{}, nil
}
