package limiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// Server serves Limiter.Lend to other daemons over drpc.
type Server struct {
	Limiter *Limiter

	repeats repeats
}

// Borrow implements wire.DRPCLimitServer.
func (s *Server) Borrow(ctx context.Context, req *wire.BorrowRequest) (reply *wire.BorrowReply, err error) {
	wants := make([]Want, 0, len(req.GetWants()))
	for _, w := range req.GetWants() {
		wants = append(wants, Want{
			Organisation: w.GetOrganisation(), Requests: int(w.GetRequests()), Tokens: int(w.GetTokens()), Slots: int(w.GetSlots()),
			ReturnedRequests: int(w.GetReturnedRequests()), ReturnedTokens: int(w.GetReturnedTokens()),
			LeastTokens: int(w.GetLeastTokens()),
		})
	}
	// A daemon that has just started knows the fleet soon; Lend returns an error if the
	// caller doesn't wait so long.
	s.Limiter.awaitSettled(ctx)
	reply = &wire.BorrowReply{RecognisesRepeats: true}
	lend := func(ctx context.Context) ([]Loan, error) { return s.Limiter.Lend(ctx, req.GetDaemon(), wants) }
	var loans []Loan
	if req.GetCall() == 0 {
		loans, err = lend(ctx)
	} else {
		loans, err = s.repeats.lendOnce(ctx, s.Limiter.Clock.Now(), callID{req.GetDaemon(), req.GetCall()}, lend)
	}
	if err != nil {
		return nil, err
	}
	for _, l := range loans {
		reply.Loans = append(reply.Loans, &wire.Loan{
			Requests: int32(l.Requests), Tokens: int64(l.Tokens), Slots: int32(l.Slots), RetryAfterMs: int64(l.RetryAfter), Home: l.Home,
		})
	}
	return reply, nil
}

// Release implements wire.DRPCLimitServer.
func (s *Server) Release(_ context.Context, req *wire.ReleaseRequest) (reply *wire.ReleaseReply, err error) {
	out := s.Limiter.Release(req.GetDaemon(), req.GetOrganisation())
	return &wire.ReleaseReply{Refused: out.Refused, Lent: out.Lent, LentAgoMs: int64(out.LentAgo), RecognisesRepeats: true}, nil
}

// errRepeated means that a daemon which forgets what it has released may have told it to the first
// one of two calls.
var errRepeated = errors.New("the call was repeated, and its answer may be that to the second one")

// NewReleaseFunc returns the function for Limiter.AskRelease that calls other daemons
// over drpc. A call is repeated on a new connection; where an older build answers it, the
// answer to the second one does not count.
func NewReleaseFunc(peers *connector.Connector, self string) func(ctx context.Context, member gossiper.Member, organisation string) (Released, error) {
	return func(ctx context.Context, member gossiper.Member, organisation string) (out Released, err error) {
		conn := peers.RepeatingConn(ctx, member.PeerListen)
		defer func() { _ = conn.Close() }()
		reply, err := wire.NewDRPCLimitClient(conn).Release(ctx, &wire.ReleaseRequest{Daemon: self, Organisation: organisation})
		if err != nil {
			return out, err
		}
		if connector.IsRepeated(conn) && !reply.GetRecognisesRepeats() {
			return out, errRepeated
		}
		return Released{Refused: reply.GetRefused(), Lent: reply.GetLent(), LentAgo: clock.Millis(reply.GetLentAgoMs())}, nil
	}
}

// NewBorrowFunc returns the function for Limiter.Borrow that calls other daemons over
// drpc. A call that returns something is repeated on a new connection only to a home that
// recognises it: others would count it twice.
func NewBorrowFunc(peers *connector.Connector, self string) func(ctx context.Context, home gossiper.Member, wants []Want) ([]Loan, error) {
	// recognising holds the incarnations, by name, of daemons that have told that they recognise repeats.
	var recognising sync.Map
	return func(ctx context.Context, home gossiper.Member, wants []Want) (loans []Loan, err error) {
		req := &wire.BorrowRequest{Daemon: self, Call: rand.Uint64()}
		for _, w := range wants {
			req.Wants = append(req.Wants, &wire.Want{
				Organisation: w.Organisation, Requests: int32(w.Requests), Tokens: int64(w.Tokens), Slots: int32(w.Slots),
				ReturnedRequests: int32(w.ReturnedRequests), ReturnedTokens: int64(w.ReturnedTokens),
				LeastTokens: int64(w.LeastTokens),
			})
		}
		returns := slices.ContainsFunc(wants, func(w Want) bool { return w.ReturnedRequests > 0 || w.ReturnedTokens > 0 })
		open := peers.RepeatingConn
		if incarnation, _ := recognising.Load(home.Name); returns && incarnation != home.Incarnation {
			open = peers.PooledConn
		}
		conn := open(ctx, home.PeerListen)
		defer func() { _ = conn.Close() }()
		reply, err := wire.NewDRPCLimitClient(conn).Borrow(ctx, req)
		if err != nil {
			return nil, err
		}
		if reply.GetRecognisesRepeats() {
			recognising.Store(home.Name, home.Incarnation)
		} else {
			recognising.Delete(home.Name)
		}
		for _, l := range reply.GetLoans() {
			loans = append(loans, Loan{
				Requests: int(l.GetRequests()), Tokens: int(l.GetTokens()), Slots: int(l.GetSlots()),
				RetryAfter: clock.Millis(l.GetRetryAfterMs()), Home: l.GetHome(),
			})
		}
		return loans, nil
	}
}
