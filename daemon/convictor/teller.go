package convictor

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// tellTimeout bounds the call to one daemon; the region knows within it.
const tellTimeout = 800 * clock.Millisecond

// Bounds of the deaths that are told again to daemons which have not heard.
const (
	retellInterval = 1 * clock.Second
	retellDeaths   = 256
)

// Teller passes deaths on to the daemons of the region, also to those that
// come later or could not be reached. Its exported fields are set before use.
type Teller struct {
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
	// Memory returns how long a death matters.
	Memory func() clock.Millis

	mu   sync.Mutex
	news []*news
}

// news is a death and who knows it.
type news struct {
	death Death
	// heard names the daemons with their incarnations; Teller.mu guards it.
	heard map[listener]bool
}

type listener struct {
	name        string
	incarnation int64
}

// Tell calls all daemons of the region at once and waits for them.
func (t *Teller) Tell(death Death) {
	n := &news{death: death, heard: map[listener]bool{}}
	t.mu.Lock()
	t.news = append(t.news, n)
	t.news = t.news[max(0, len(t.news)-retellDeaths):]
	t.mu.Unlock()
	t.spread(n)
}

// Run tells the deaths again to those who have not heard, until ctx ends.
func (t *Teller) Run(ctx context.Context) {
	ticker := time.NewTicker(retellInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, n := range t.recent() {
			t.spread(n)
		}
	}
}

// recent returns the deaths that still matter and forgets the others.
func (t *Teller) recent() []*news {
	now, memory := t.Clock.Now(), t.Memory()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return now-n.death.Time > memory })
	return slices.Clone(t.news)
}

// spread tells a death to the daemons of the region that have not heard.
func (t *Teller) spread(n *news) {
	self := t.View.Self()
	now := t.Clock.Now()
	message := &wire.UpstreamDeath{
		Fingerprint: n.death.Fingerprint, Upstream: n.death.Upstream,
		StartedAgoMs: int64(now - n.death.Started), DiedAgoMs: int64(now - n.death.Time),
	}
	var wait sync.WaitGroup
	for _, m := range t.View.Members() {
		who := listener{m.Name, m.Incarnation}
		if m.Name == self.Name || m.Region != self.Region || t.knows(n, who) {
			continue
		}
		wait.Go(func() {
			if err := t.call(m.PeerListen, message); err != nil {
				klog.ErrorS(err, "death not told", "daemon", m.Name)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			n.heard[who] = true
		})
	}
	wait.Wait()
}

func (t *Teller) knows(n *news, who listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return n.heard[who]
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
