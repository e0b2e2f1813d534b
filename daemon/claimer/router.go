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
	// RegionWriters is the number of daemons of a region that write claims.
	RegionWriters = 2
	// WritesPerSecond is what the writers of all regions may ask of the table.
	WritesPerSecond = 280
	// handTime bounds the tries at another daemon before this one goes on.
	handTime = 3 * clock.Second
	// handGrace is how much longer the reply of another daemon may take.
	handGrace = 500 * clock.Millisecond
)

// Spacing returns the least time between two transactions of one writer, so
// that the writers of so many regions stay within WritesPerSecond.
func Spacing(regions int) clock.Millis {
	writers := clock.Millis(max(regions, 1) * RegionWriters)
	return (writers*clock.Second + WritesPerSecond - 1) / WritesPerSecond
}

// Router hands each Op to one of the few writers of the region, so that the
// table sees few transactions with many rows. Its exported fields are set
// before use.
type Router struct {
	Local     *Writer
	View      gossiper.View
	Connector *connector.Connector
	Clock     clock.Clock
}

// Commit implements Committer. Where the chosen writer fails, this daemon
// goes on by itself: a value that was written already is found in the row.
func (r *Router) Commit(ctx context.Context, op Op) (result Result) {
	address, own := r.writer(op.Key)
	if own || op.Deadline <= r.Clock.Now() {
		return r.Local.Commit(ctx, op)
	}
	result, err := r.hand(ctx, address, op)
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

// writer returns the peer address of the daemon that writes the row; own
// tells that it is this one.
func (r *Router) writer(key string) (address string, own bool) {
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
	writers := alive[:min(len(alive), RegionWriters)]
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

func (r *Router) hand(ctx context.Context, address string, op Op) (result Result, err error) {
	span := min(op.Deadline-r.Clock.Now(), handTime)
	ctx, cancel := context.WithTimeout(ctx, (span + handGrace).Duration())
	defer cancel()
	conn := r.Connector.Call(ctx, address)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCClaimingClient(conn).Commit(ctx, &wire.ClaimCommit{
		Key: op.Key, Version: op.Version, Value: op.Value, RemainingMs: int64(span),
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
	case wire.ClaimVerdict_CLAIM_VERDICT_DOUBTFUL, wire.ClaimVerdict_CLAIM_VERDICT_UNSPECIFIED:
		result.Verdict = Doubtful
	}
	return result, nil
}

// Server commits the Ops of other daemons. Its exported fields are set before
// Register.
type Server struct {
	Local *Writer
	Clock clock.Clock
}

// Register adds the service to mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterClaiming(mux, s)
}

// Commit implements the service.
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
