package claimer

import (
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

const (
	// WritersPerRegion is the number of daemons of a region that write claims.
	WritersPerRegion = 2
	// MaxWritesPerSecond bounds the transactions of the writers of all regions
	// together.
	MaxWritesPerSecond = 280
	// remoteTimeout bounds the attempts of the chosen daemon before this one
	// writes the row itself.
	remoteTimeout = 3 * clock.Second
	// remoteGrace is how long after that the reply may still arrive.
	remoteGrace = 500 * clock.Millisecond
)

// Spacing returns the minimum time between two transactions of one writer, so
// that the writers of all regions together stay within MaxWritesPerSecond.
func Spacing(regions int) clock.Millis {
	writers := clock.Millis(max(regions, 1) * WritersPerRegion)
	return (writers*clock.Second + MaxWritesPerSecond - 1) / MaxWritesPerSecond
}

// Router sends each Op to one of the WritersPerRegion daemons that write claims
// in the region, so that the table gets few transactions with many rows each.
// Its exported fields are set before use.
type Router struct {
	Local     *Writer
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
}

// Commit implements Committer. If the chosen writer fails, this daemon commits
// op itself. That is safe, because the row shows whether the value was already
// written.
func (r *Router) Commit(ctx context.Context, op Op) (result Result) {
	address, isSelf := r.chooseWriter(op.Key)
	if isSelf || op.Deadline <= r.Clock.Now() {
		return r.Local.Commit(ctx, op)
	}
	result, err := r.commitRemote(ctx, address, op)
	if err == nil && (result.Verdict == Applied || result.Verdict == Conflict) {
		return result
	}
	doubtful := err != nil || result.Verdict == Doubtful
	result = r.Local.Commit(ctx, op)
	if doubtful && result.Verdict == Expired {
		result.Verdict = Doubtful
	}
	return result
}

// chooseWriter returns the peer address of the daemon that writes the row;
// isSelf reports whether it is this daemon. The writers of a region are the
// alive members with the lowest hashes of their names.
func (r *Router) chooseWriter(key string) (address string, isSelf bool) {
	self := r.View.Self()
	var alive []gossiper.Member
	for _, m := range r.View.Members() {
		if m.Region == self.Region && m.State == gossiper.Alive {
			alive = append(alive, m)
		}
	}
	slices.SortFunc(alive, func(a, b gossiper.Member) int {
		return compareHash(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	writers := alive[:min(len(alive), WritersPerRegion)]
	if len(writers) == 0 {
		return "", true
	}
	chosen := writers[xxhash.Sum64String(key)%uint64(len(writers))]
	return chosen.PeerListen, chosen.Name == self.Name
}

func compareHash(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// commitRemote has the daemon at address commit op. A reply without a known
// verdict counts as Doubtful, and so does Expired where the daemon may get op twice: the
// other one may still take effect. Twice is safe, as for Commit.
func (r *Router) commitRemote(ctx context.Context, address string, op Op) (result Result, err error) {
	timeout := min(op.Deadline-r.Clock.Now(), remoteTimeout)
	ctx, cancel := context.WithTimeout(ctx, (timeout + remoteGrace).Duration())
	defer cancel()
	conn := r.Connector.RepeatingConn(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCClaimingClient(conn).Commit(ctx, &wire.ClaimCommit{
		Key: op.Key, Version: op.Version, Value: op.Value, RemainingMs: int64(timeout),
	})
	if err != nil {
		return result, err
	}
	result.Row = platform.Row{Key: op.Key, Value: reply.GetValue(), Version: reply.GetVersion()}
	switch reply.GetVerdict() {
	case wire.ClaimVerdict_CLAIM_VERDICT_APPLIED:
		result.Verdict = Applied
	case wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT:
		result.Verdict = Conflict
	case wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED:
		result.Verdict = Expired
		if connector.IsRepeated(conn) {
			result.Verdict = Doubtful
		}
	case wire.ClaimVerdict_CLAIM_VERDICT_DOUBTFUL, wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED:
		result.Verdict = Doubtful
	}
	return result, nil
}

// Server commits the Ops that other daemons send. Its exported fields are set
// before Register.
type Server struct {
	Local *Writer
	Clock clock.Clock
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterClaiming(mux, s)
}

// Commit implements the RPC: it commits the Op with the local writer.
func (s *Server) Commit(ctx context.Context, m *wire.ClaimCommit) (reply *wire.ClaimResult, err error) {
	result := s.Local.Commit(ctx, Op{
		Key: m.GetKey(), Version: m.GetVersion(), Value: m.GetValue(),
		Deadline: s.Clock.Now() + clock.Millis(m.GetRemainingMs()),
	})
	verdicts := [...]wire.ClaimVerdict{
		Applied: wire.ClaimVerdict_CLAIM_VERDICT_APPLIED, Conflict: wire.ClaimVerdict_CLAIM_VERDICT_CONFLICT,
		Expired: wire.ClaimVerdict_CLAIM_VERDICT_EXPIRED, Doubtful: wire.ClaimVerdict_CLAIM_VERDICT_DOUBTFUL,
	}
	return &wire.ClaimResult{Verdict: verdicts[result.Verdict], Value: result.Row.Value, Version: result.Row.Version}, nil
}
