package explainer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"yuccaspread/common/clock"
	"yuccaspread/common/reporter"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/refuser"
)

const (
	// maxQuestionBytes bounds the body of a question.
	maxQuestionBytes = 64 << 10
	// answerTimeout bounds the time to ask all schedulers, and askTimeout that of one.
	answerTimeout = 5 * clock.Second
	askTimeout    = 1 * clock.Second
)

// ServeHTTP implements http.Handler, for anybody.
func (x *Explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x.ServeAs(w, r, func(string) bool { return true })
}

// ServeAs answers a question of somebody who may ask for some organisations: the body is a Question, the
// response an Answer, both in JSON.
func (x *Explainer) ServeAs(w http.ResponseWriter, r *http.Request, mayAsk func(organisation string) bool) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout.Duration())
	defer cancel()
	var question reporter.Question
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxQuestionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&question); err != nil {
		refuser.New(http.StatusBadRequest, "bad question", err.Error()).Write(w)
		return
	}
	if !mayAsk(question.Organisation) {
		refuser.New(http.StatusForbidden, "not allowed", "you may ask for your organisations only").Write(w)
		return
	}
	answer, err := x.Explain(ctx, question)
	var mistake *QuestionError
	switch {
	case errors.As(err, &mistake):
		refuser.New(http.StatusUnprocessableEntity, "bad question", mistake.Error()).Write(w)
	case err != nil:
		refuser.New(http.StatusGatewayTimeout, "no answer", err.Error()).Write(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// NewAskFunc returns a function that asks the schedulers of this daemon directly and those of others
// over drpc.
func NewAskFunc(self string, g *granter.Granter, peers *connector.Connector) func(ctx context.Context, to gossiper.Member, ask *wire.Ask) (reporter.Explanation, error) {
	return func(ctx context.Context, to gossiper.Member, ask *wire.Ask) (e reporter.Explanation, err error) {
		ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		defer cancel()
		if to.Name == self {
			return g.Explain(ctx, ask)
		}
		conn := peers.PooledConn(ctx, to.PeerListen)
		defer func() { _ = conn.Close() }()
		reply, err := wire.NewDRPCReservationClient(conn).Explain(ctx, &wire.ExplainRequest{Ask: ask})
		if err != nil {
			return e, err
		}
		if reply.GetNotScheduler() {
			return e, granter.ErrNotScheduler
		}
		return e, json.Unmarshal(reply.GetExplanation(), &e)
	}
}
