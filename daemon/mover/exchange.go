package mover

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/judge"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/stager"
)

// exchangeTimeout bounds one exchange between the leader and a daemon.
const exchangeTimeout = 800 * clock.Millisecond

// evidence holds the windows of the moves, by the name of the move.
type evidence map[string]judge.Window

func (e evidence) merge(other evidence) {
	for move, window := range other {
		if e[move] == nil {
			e[move] = judge.Window{}
		}
		e[move].Merge(window)
	}
}

// Register adds the drpc service for other daemons to mux.
func (m *Mover) Register(mux drpc.Mux) error {
	m.prepare()
	return wire.DRPCRegisterMoves(mux, &server{mover: m})
}

type server struct{ mover *Mover }

// Exchange implements wire.DRPCMovesServer.
func (s *server) Exchange(_ context.Context, in *wire.MovePlans) (out *wire.MoveEvidence, err error) {
	plans := make([]stager.Plan, 0, len(in.GetPlans()))
	for _, p := range in.GetPlans() {
		plans = append(plans, decodePlan(p))
	}
	if !s.mover.acceptPlans(in.GetEpoch(), in.GetLeader(), plans, in.GetRows()) {
		return nil, fmt.Errorf("epoch %d is older than that of the last accepted plans", in.GetEpoch())
	}
	return s.mover.collectEvidence(in.GetAcknowledged())
}

// Stop implements wire.DRPCMovesServer.
func (s *server) Stop(_ context.Context, in *wire.MoveStop) (out *wire.MoveStopped, err error) {
	stop, err := decodeStop(in)
	if err != nil {
		return nil, err
	}
	s.mover.handleStop(stop)
	return &wire.MoveStopped{}, nil
}

// collectEvidence returns the evidence that the leader has not acknowledged,
// with the reports of the upstreams and all known stops. acknowledged is the
// number of the last evidence that the leader has received.
func (m *Mover) collectEvidence(acknowledged int64) (out *wire.MoveEvidence, err error) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unacknowledged == nil || acknowledged == m.evidenceNumber {
		m.unacknowledged = evidence{}
	}
	for name, w := range m.watches {
		m.unacknowledged.merge(evidence{name: w.unsentWindow})
		w.unsentWindow = judge.Window{}
	}
	m.evidenceNumber++
	out = &wire.MoveEvidence{Number: m.evidenceNumber}
	for move, window := range m.unacknowledged {
		for key, counts := range window {
			out.Groups = append(out.Groups, encodeGroup(move, key, counts))
		}
	}
	for name, r := range m.reports {
		out.Reports = append(out.Reports, &wire.UpstreamReport{
			Upstream: name, AgeMs: int64(now - r.At), Version: r.Version, Loaded: r.Loaded, Loading: r.Loading,
		})
	}
	for _, stop := range m.stops {
		encoded, err := encodeStop(stop)
		if err != nil {
			return nil, err
		}
		out.Stops = append(out.Stops, encoded)
	}
	return out, nil
}

func (m *Mover) callExchange(ctx context.Context, to gossiper.Member, in *wire.MovePlans) (out *wire.MoveEvidence, err error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	conn := m.Connector.PooledConn(ctx, to.PeerListen)
	defer func() { _ = conn.Close() }()
	return wire.NewDRPCMovesClient(conn).Exchange(ctx, in)
}

func (m *Mover) callStop(ctx context.Context, to gossiper.Member, stop stager.Stop) (err error) {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout.Duration())
	defer cancel()
	in, err := encodeStop(stop)
	if err != nil {
		return err
	}
	conn := m.Connector.PooledConn(ctx, to.PeerListen)
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCMovesClient(conn).Stop(ctx, in)
	return err
}

func encodePlan(p stager.Plan) *wire.MovePlan {
	return &wire.MovePlan{
		Move: p.Move, Pool: p.Pool, From: p.From, To: p.To, Regions: p.Regions, Attempt: int64(p.Attempt),
		Shares: p.Shares.Shares, NonIdempotent: p.Shares.NonIdempotent, Watched: p.Watched,
	}
}

func decodePlan(p *wire.MovePlan) stager.Plan {
	return stager.Plan{
		Move: p.GetMove(), Pool: p.GetPool(), From: p.GetFrom(), To: p.GetTo(), Regions: p.GetRegions(),
		Attempt: clock.Millis(p.GetAttempt()), Watched: p.GetWatched(),
		Shares: scheduler.Shares{Shares: p.GetShares(), NonIdempotent: p.GetNonIdempotent()},
	}
}

func encodeStop(s stager.Stop) (out *wire.MoveStop, err error) {
	verdict, err := json.Marshal(s.Verdict)
	return &wire.MoveStop{Move: s.Move, Attempt: int64(s.Attempt), Daemon: s.Daemon, Verdict: verdict}, err
}

func decodeStop(in *wire.MoveStop) (s stager.Stop, err error) {
	s = stager.Stop{Move: in.GetMove(), Attempt: clock.Millis(in.GetAttempt()), Daemon: in.GetDaemon()}
	err = json.Unmarshal(in.GetVerdict(), &s.Verdict)
	return s, err
}

func encodeGroup(move string, key judge.Key, c *judge.Counts) *wire.EvidenceGroup {
	return &wire.EvidenceGroup{
		Move: move, Version: key.Version, Route: key.Route, Generation: key.Generation, Load: uint32(key.Load),
		Requests: c.Requests, Failed: c.Failed, Empty: c.Empty,
		First: encodeHistogram(&c.First), Gap: encodeHistogram(&c.Gap), Length: encodeHistogram(&c.Length),
	}
}

func decodeGroup(g *wire.EvidenceGroup) (key judge.Key, c *judge.Counts) {
	key = judge.Key{Version: g.GetVersion(), Route: g.GetRoute(), Generation: g.GetGeneration(), Load: uint8(min(g.GetLoad(), 3))}
	c = &judge.Counts{Requests: g.GetRequests(), Failed: g.GetFailed(), Empty: g.GetEmpty()}
	decodeHistogram(g.GetFirst(), &c.First)
	decodeHistogram(g.GetGap(), &c.Gap)
	decodeHistogram(g.GetLength(), &c.Length)
	return key, c
}

// encodeHistogram returns the index and the count of each bucket that is not
// empty.
func encodeHistogram(h *judge.Histogram) (out []uint32) {
	for bucket, count := range h {
		if count > 0 {
			out = append(out, uint32(bucket), count)
		}
	}
	return out
}

// decodeHistogram adds pairs of index and count to h. It ignores unknown buckets
// and an incomplete pair.
func decodeHistogram(in []uint32, h *judge.Histogram) {
	for pair := range slices.Chunk(in, 2) {
		if len(pair) == 2 && pair[0] < judge.Buckets {
			h[pair[0]] += pair[1]
		}
	}
}
