package attributor

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/sharder"
)

// Timing and extent of the exchange of reports.
const (
	// spreadPeers is the number of random daemons to which a new report is sent. Each of
	// them sends it on, so that it reaches a fleet of 350 in five hops.
	spreadPeers = 4
	// collectors is the number of daemons that collect the first reports of a request; one of
	// them may have just ended.
	collectors = 2
	// comparisonInterval is the time between two comparisons with a random daemon, while
	// there are blocks. They reach daemons that missed a report.
	comparisonInterval = 1 * clock.Second
	exchangeTimeout    = 800 * clock.Millisecond
	// maxReports bounds the reports that are taken from one message.
	maxReports = maxKeys * maxReportsPerKey
)

// Spreader exchanges the reports of an Attributor with other daemons. Its exported fields
// are set before use.
type Spreader struct {
	Attributor *Attributor
	View       gossiper.View
	Connector  *connector.Connector
	Clock      clock.Clock
}

// Run compares reports with random daemons until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	for clock.Sleep(ctx, comparisonInterval) {
		if _, digest := s.Attributor.Reports(); digest == 0 {
			continue
		}
		for _, m := range s.randomPeers(1) {
			s.compare(ctx, m)
		}
	}
}

// Spread sends reports to some random daemons. It doesn't block.
func (s *Spreader) Spread(reports []Report) {
	for _, m := range s.randomPeers(spreadPeers) {
		go s.send(m, reports)
	}
}

// Collect sends each report to the daemons that collect those of its key. It doesn't block.
func (s *Spreader) Collect(reports []Report) {
	self, byCollector := s.View.Self().Name, map[string][]Report{}
	alive := s.aliveMembers()
	for _, r := range reports {
		key := strconv.FormatUint(r.Key, 16)
		slices.SortFunc(alive, func(a, b gossiper.Member) int {
			return cmp.Compare(sharder.Rank(b.Name, key), sharder.Rank(a.Name, key))
		})
		for _, m := range alive[:min(collectors, len(alive))] {
			byCollector[m.Name] = append(byCollector[m.Name], r)
		}
	}
	for _, m := range alive {
		if collected := byCollector[m.Name]; m.Name != self && len(collected) > 0 {
			go s.send(m, collected)
		}
	}
}

// send sends reports to a daemon.
func (s *Spreader) send(m gossiper.Member, reports []Report) {
	if _, err := s.exchange(context.Background(), m, &wire.CrashReports{Reports: s.toWire(reports)}); err != nil {
		klog.V(1).InfoS("reports of crashes not sent; comparisons and other daemons bring them", "daemon", m.Name, "error", err.Error())
	}
}

// compare exchanges reports with a daemon that does not have the same blocks.
func (s *Spreader) compare(ctx context.Context, m gossiper.Member) {
	reports, digest := s.Attributor.Reports()
	reply, err := s.exchange(ctx, m, &wire.CrashReports{Digest: digest})
	if err == nil && reply.GetDigest() != digest {
		reply, err = s.exchange(ctx, m, &wire.CrashReports{Digest: digest, Reports: s.toWire(reports)})
		s.Attributor.HandleReports(s.fromWire(reply.GetReports()))
	}
	if err != nil {
		klog.V(1).InfoS("reports of crashes not compared; the next comparison is with another daemon", "daemon", m.Name, "error", err.Error())
	}
}

func (s *Spreader) exchange(ctx context.Context, m gossiper.Member, in *wire.CrashReports) (reply *wire.CrashReports, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	conn := s.Connector.PooledConn(ctx, m.PeerListen)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCCrashesClient(conn).Exchange(ctx, in)
}

// HasTurn chooses one of the daemons that are alive for each turn of a block.
func (s *Spreader) HasTurn(block uint64, turn int64) bool {
	var names []string
	for _, m := range s.aliveMembers() {
		names = append(names, m.Name)
	}
	return sharder.HighestRanked(names, strconv.FormatUint(block, 16)+"/"+strconv.FormatInt(turn, 10)) == s.View.Self().Name
}

// aliveMembers returns the daemons that are alive, this one among them.
func (s *Spreader) aliveMembers() (alive []gossiper.Member) {
	self := s.View.Self()
	alive = append(alive, self)
	for _, m := range s.View.Members() {
		if m.State == gossiper.Alive && m.Name != self.Name {
			alive = append(alive, m)
		}
	}
	return alive
}

// randomPeers returns at most count distinct random daemons.
func (s *Spreader) randomPeers(count int) (chosen []gossiper.Member) {
	self, members := s.View.Self(), s.View.Members()
	for _, i := range rand.Perm(len(members)) {
		if m := members[i]; len(chosen) < count && m.Name != self.Name && m.State != gossiper.Dead {
			chosen = append(chosen, m)
		}
	}
	return chosen
}

// Register registers the service for other daemons at mux.
func (s *Spreader) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterCrashes(mux, (*server)(s))
}

type server Spreader

// Exchange implements wire.DRPCCrashesServer.
func (s *server) Exchange(_ context.Context, in *wire.CrashReports) (out *wire.CrashReports, err error) {
	x := (*Spreader)(s)
	var keys []uint64
	if len(in.GetReports()) > 0 {
		received := x.fromWire(in.GetReports())
		x.Attributor.HandleReports(received)
		for _, r := range received {
			keys = append(keys, r.Key)
		}
	}
	out = &wire.CrashReports{}
	if in.GetDigest() == 0 {
		return out, nil
	}
	slices.Sort(keys)
	reports, digest := x.Attributor.Reports(slices.Compact(keys)...)
	out.Digest = digest
	if len(keys) > 0 {
		out.Reports = x.toWire(reports)
	}
	return out, nil
}

func (s *Spreader) toWire(reports []Report) (out []*wire.CrashReport) {
	now := s.Clock.Now()
	for _, r := range reports {
		out = append(out, &wire.CrashReport{
			Key: r.Key, Request: r.Request, Upstream: r.Upstream, CrashedMsAgo: int64(max(now-r.At, 0)), Void: r.Void,
		})
	}
	return out
}

func (s *Spreader) fromWire(in []*wire.CrashReport) (reports []Report) {
	now := s.Clock.Now()
	for _, r := range in[:min(len(in), maxReports)] {
		reports = append(reports, Report{
			Key: r.GetKey(), Request: r.GetRequest(), Upstream: r.GetUpstream(), At: now - clock.Millis(max(r.GetCrashedMsAgo(), 0)), Void: r.GetVoid(),
		})
	}
	return reports
}
