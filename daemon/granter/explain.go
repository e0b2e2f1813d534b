package granter

import (
	"context"
	"encoding/json"
	"errors"

	"yuccaspread/common/clock"
	"yuccaspread/common/reporter"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/scheduler"
)

// Explainer is a Decider that tells what it would decide.
type Explainer interface {
	// Explain returns what would become of an ask that came now, and changes nothing.
	Explain(now clock.Millis, m scheduler.Ask) reporter.Explanation
}

// ErrNotScheduler is returned for a shard that another daemon schedules.
var ErrNotScheduler = errors.New("this daemon does not schedule the shard")

// explainRequest asks a runner to explain an ask. explained has room for one explanation.
type explainRequest struct {
	ask       scheduler.Ask
	explained chan reporter.Explanation
}

// explain answers a request. It runs on the goroutine of the shard, between two decisions.
func (r *runner) explain(request *explainRequest) {
	if decider, explains := r.decider.(Explainer); explains {
		request.explained <- decider.Explain(r.granter.Clock.Now(), request.ask)
	}
	close(request.explained)
}

// Explain returns what the scheduler of the ask's shard would do with it now. The error is
// ErrNotScheduler if that is another daemon, or the context's.
func (g *Granter) Explain(ctx context.Context, ask *wire.Ask) (e reporter.Explanation, err error) {
	g.prepare()
	r := g.runner(ask.GetShard())
	if r == nil {
		return e, ErrNotScheduler
	}
	request := &explainRequest{ask: toAsk("", g.tierOrder(), g.Clock.Now(), ask), explained: make(chan reporter.Explanation, 1)}
	if err = r.inputs.Push(ctx, input{explain: request}); err != nil {
		return e, err
	}
	select {
	case explained, found := <-request.explained:
		if !found {
			return e, ErrNotScheduler
		}
		return explained, nil
	case <-r.stopped:
		return e, ErrNotScheduler
	case <-ctx.Done():
		return e, ctx.Err()
	}
}

// Explain implements wire.DRPCReservationServer.
func (s *Server) Explain(ctx context.Context, in *wire.ExplainRequest) (out *wire.ExplainReply, err error) {
	explained, err := s.Granter.Explain(ctx, in.GetAsk())
	if errors.Is(err, ErrNotScheduler) {
		return &wire.ExplainReply{NotScheduler: true}, nil
	}
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(explained)
	return &wire.ExplainReply{Explanation: text}, err
}
