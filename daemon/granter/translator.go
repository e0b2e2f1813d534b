package granter

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// tierOf returns the number of an ask's tier. An older build tells its position only.
func tierOf(order inventory.TierOrder, a *wire.Ask) int {
	if number := a.GetTierNumber(); number > 0 {
		return int(number - 1)
	}
	return order.At(int(a.GetTier()))
}

func toAsk(daemon string, order inventory.TierOrder, now clock.Millis, a *wire.Ask) scheduler.Ask {
	var hashes []uint64
	for _, h := range a.GetPrefixHashes() {
		hashes = append(hashes, uint64(h))
	}
	ask := scheduler.Ask{
		ID:           scheduler.AskID{Daemon: daemon, Number: a.GetAskId()},
		Organisation: a.GetOrganisation(), Route: a.GetRoute(), Tier: tierOf(order, a),
		Deadline: now + clock.Millis(a.GetRemainingMs()), PromptTokens: int(a.GetPromptTokens()),
		MaxTokens: int(a.GetMaxTokens()), Idempotent: a.GetIdempotent(), PrefixHashes: hashes,
		Fingerprint: a.GetFingerprint(), Excluded: a.GetExcluded(), Stream: a.GetStream(), ObjectiveOnly: a.GetObjectiveOnly(), Avoided: a.GetAvoided(),
	}
	for i, hash := range a.GetPartHashes() {
		if tokens := a.GetPartTokens(); i < len(tokens) {
			ask.Parts = append(ask.Parts, keeper.Part{Hash: uint64(hash), Tokens: int(max(tokens[i], 0))})
		}
	}
	if a.GetHasObjective() {
		ask.Objective = now + clock.Millis(a.GetObjectiveMs())
	}
	if a.GetPatienceMs() != 0 {
		ask.Patience = now + clock.Millis(a.GetPatienceMs())
	}
	return ask
}

func toAnnounce(daemon string, order inventory.TierOrder, now clock.Millis, a *wire.Announce) scheduler.Announce {
	return scheduler.Announce{Ask: toAsk(daemon, order, now, a.GetAsk()), Upstream: a.GetUpstream(), FirstToken: a.GetFirstTokenSeen()}
}

func toConfirm(daemon string, c *wire.Confirm) input {
	return input{message: scheduler.Confirm{ID: scheduler.AskID{Daemon: daemon, Number: c.GetAskId()}}}
}

func toFirstToken(daemon string, f *wire.FirstToken) input {
	cached := int(f.GetCachedTokens())
	if f.GetCachedUnknown() {
		cached = reserver.CachedUnknown
	}
	return input{
		message: scheduler.FirstToken{
			ID: scheduler.AskID{Daemon: daemon, Number: f.GetAskId()}, CachedTokens: cached, Told: toTold(f.GetTold()),
		},
		duration: clock.Millis(f.GetWaitedMs()),
	}
}

func toCancel(daemon string, c *wire.CancelAsk) input {
	return input{message: scheduler.Cancel{ID: scheduler.AskID{Daemon: daemon, Number: c.GetAskId()}}}
}

func toEnd(daemon string, e *wire.End) input {
	return input{
		message: scheduler.End{
			ID:    scheduler.AskID{Daemon: daemon, Number: e.GetAskId()},
			Usage: reserver.Usage{Outcome: toOutcome(e.GetOutcome()), OutputTokens: int(e.GetOutputTokens()), NotRun: e.GetNotRun()},
			Told:  toTold(e.GetTold()),
		},
		duration: clock.Millis(e.GetDecodeMs()),
	}
}

func toTold(t *wire.ToldLoad) scheduler.Told {
	return scheduler.Told{
		Age: clock.Millis(max(t.GetHeardMsAgo(), 0)), Running: int(t.GetRunning()), Waiting: int(t.GetWaiting()), Slots: int(t.GetSlots()),
	}
}

func toNotice(now clock.Millis, n *wire.UpstreamNotice) input {
	return input{message: scheduler.Notice{
		Upstream: n.GetUpstream(), HeardAt: now - clock.Millis(max(n.GetHeardMsAgo(), 0)), Limited: n.GetLimited(), Limit: n.GetLimit(),
		Leaving: n.GetLeaving(), Brittle: n.GetBrittle(), MaxRefusals: int(n.GetMaxRefusals()),
	}}
}

func toOutcome(o wire.Outcome) reserver.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_WHOLE:
		return reserver.Completed
	case wire.Outcome_OUTCOME_FAILED:
		return reserver.Failed
	case wire.Outcome_OUTCOME_NOT_SENT:
		return reserver.NotSent
	case wire.Outcome_OUTCOME_CANCELLED:
		return reserver.Cancelled
	case wire.Outcome_OUTCOME_BROKE:
		return reserver.ConnectionBroken
	case wire.Outcome_OUTCOME_UPSTREAM_DIED, wire.Outcome_OUTCOME_UNSPECIFIED:
		return reserver.UpstreamDied
	default:
		return reserver.UpstreamDied
	}
}

func toRefusalReason(r scheduler.Reason) wire.RefusalReason {
	switch r {
	case scheduler.ReasonQueueFull:
		return wire.RefusalReason_REFUSAL_REASON_QUEUE_FULL
	case scheduler.ReasonObjective:
		return wire.RefusalReason_REFUSAL_REASON_OBJECTIVE
	case scheduler.ReasonNoPath:
		return wire.RefusalReason_REFUSAL_REASON_NO_PATH
	case scheduler.ReasonNoUpstream:
		return wire.RefusalReason_REFUSAL_REASON_NO_UPSTREAM
	case scheduler.ReasonDeadline:
		return wire.RefusalReason_REFUSAL_REASON_DEADLINE
	default:
		return wire.RefusalReason_REFUSAL_REASON_UNSPECIFIED
	}
}
