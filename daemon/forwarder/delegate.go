package forwarder

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/logger"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/noticer"
	"yuccaspread/daemon/refuser"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/sender"
)

// Bounds of passing requests on to other daemons.
const (
	// maxPeersAsked bounds the daemons that one request is passed on to.
	maxPeersAsked = 3
	// minUnreached is the number of upstreams to which no connection could be opened, from which on a
	// request goes to another daemon: one that is down is no cut.
	minUnreached = 2
	// maxDelegating bounds the requests that other daemons handle for this one at a time. At the peak
	// that we design for a daemon has about 270 in progress; each holds two connections here.
	maxDelegating = 512
	// peerAnswerTime is the part of the time left that a daemon does not get, at most a quarter, so that
	// its refusal at the deadline still arrives before that of this daemon.
	peerAnswerTime = 50 * clock.Millisecond
	// cutOffRetryAfter is the Retry-After time of a daemon that is cut off and can pass nothing on.
	cutOffRetryAfter = 500 * clock.Millisecond
	// maxTitleBytes bounds what is kept of another daemon's refusal.
	maxTitleBytes = 128
)

// errUnmarked means that an answer does not tell whose it is, so that it can't be believed.
var errUnmarked = errors.New("answer of another daemon without its mark")

// Outcomes of passing on a request, in addition to the ends of attempts.
const (
	outcomeNoPeer = "no_daemon"
	outcomeFull   = "full"
)

// mayDelegate reports whether the request can be passed on to another daemon if need be.
func (r *requestState) mayDelegate() bool {
	return r.Peers != nil && r.CallerProtocol != nil && r.req.DelegatedRuns == 0 && !r.delegationOver
}

// refuseIfCutOff returns a refusal of a request that another daemon has passed on if this one is cut off as
// well, so that a third one can be asked at once.
func (r *requestState) refuseIfCutOff() error {
	if r.req.DelegatedRuns == 0 || !r.isCutOff() {
		return nil
	}
	refusal := refuser.New(http.StatusServiceUnavailable, "cut off", "this daemon reaches no upstream either")
	refusal.RetryAfter = cutOffRetryAfter
	return refusal
}

// delegationReason returns why the request is to be passed on to another daemon now, "" if it is not.
func (r *requestState) delegationReason() string {
	switch {
	case !r.mayDelegate():
		return ""
	case r.isCutOff():
		return "cut_off"
	case r.refusedNoPath:
		return "refused_by_scheduler"
	case len(r.unreached) >= minUnreached:
		return "upstreams_unreached"
	default:
		return ""
	}
}

// delegate passes the request on to other daemons until one of them has taken it. again reports whether
// the request is to go on, here or there; if not, err is its end. A stream that has begun is never ended by a refusal.
func (r *requestState) delegate(ctx context.Context, reason string) (again bool, err error) {
	r.wasToPassOn = true
	if r.delegating.Add(1) > maxDelegating {
		r.delegating.Add(-1)
		return r.giveUpDelegation(reason, outcomeFull, nil)
	}
	defer r.delegating.Add(-1)
	var refused error
	for ctx.Err() == nil {
		peer, found := r.nextPeer()
		if !found {
			return r.giveUpDelegation(reason, outcomeNoPeer, refused)
		}
		end, err := r.delegateTo(ctx, peer, reason)
		if end == notRun && r.isFromOlderConfiguration(err) {
			err = refusedByOlderConfiguration(err)
		}
		switch {
		case end == notSent:
		case end == notRun && r.headWritten && r.retrySpent:
			return false, err
		case end == notRun && (r.headWritten || isElsewhere(err)):
			refused = err
		case end == completed, end == notRun:
			return false, err
		default:
			r.failedPeers = append(r.failedPeers, peer.Name)
			again = r.continues(ctx, end, nil, err)
			if again {
				r.awaitEnd(ctx, end)
			}
			return again, err
		}
	}
	return false, cmp.Or(refused, ctx.Err())
}

// isFromOlderConfiguration reports whether another daemon has no route or credential for a request
// that has both here.
func (r *requestState) isFromOlderConfiguration(err error) bool {
	var refusal *refuser.Refusal
	if !errors.As(err, &refusal) || (refusal.Status != http.StatusNotFound && refusal.Status != http.StatusUnauthorized) {
		return false
	}
	config := r.Source.Current()
	_, hasRoute := inventory.Lookup(config.Routes, r.req.Route)
	_, hasOrganisation := inventory.Lookup(config.Organisations, r.req.Organisation)
	return hasRoute && (hasOrganisation || r.req.Organisation == "")
}

// refusedByOlderConfiguration returns the refusal of a daemon with an older configuration as one
// that does not hold for good.
func refusedByOlderConfiguration(err error) error {
	refusal := refuser.New(http.StatusServiceUnavailable, "configuration may be outdated", err.Error())
	refusal.RetryAfter = cutOffRetryAfter
	return refusal
}

// isElsewhere reports whether the reason of another daemon's refusal may be none at a third one.
func isElsewhere(err error) bool {
	var refusal *refuser.Refusal
	return errors.As(err, &refusal) && refusal.Status == http.StatusServiceUnavailable
}

// giveUpDelegation ends the attempts to pass the request on. It goes on here if no daemon has refused it
// and this one may have a path to an upstream.
func (r *requestState) giveUpDelegation(reason, outcome string, refused error) (again bool, err error) {
	klog.InfoS("request is passed on to no further daemon", logger.KeyRequest, r.req.ID, "reason", reason, "outcome", outcome,
		"asked", r.askedPeers, "runs", r.runs, "left_ms", r.timeLeft())
	r.metrics.delegated.WithLabelValues(outcome).Inc()
	if r.headWritten && (refused != nil || r.isCutOff()) {
		r.forgetRefusals()
		return false, cmp.Or(refused, errCutOff)
	}
	r.delegationOver = true
	if refused != nil {
		return false, refused
	}
	if outcome == outcomeFull && r.isCutOff() {
		refusal := refuser.New(http.StatusServiceUnavailable, "cut off", "this daemon reaches no upstream, and other daemons handle as many requests for it as they may")
		refusal.RetryAfter = cutOffRetryAfter
		return false, refusal
	}
	return true, nil
}

// nextPeer returns the best daemon in the homes of the request that was not asked yet.
func (r *requestState) nextPeer() (peer Peer, found bool) {
	if len(r.askedPeers) >= maxPeersAsked {
		return peer, false
	}
	homes := r.Source.Current().HomesInForce(r.req.Route, r.req.Organisation, r.req.Homes)
	candidates := r.Peers.Candidates(homes.Allow)
	index := slices.IndexFunc(candidates, func(p Peer) bool { return !slices.Contains(r.askedPeers, p.Name) })
	if index < 0 {
		return peer, false
	}
	r.askedPeers = append(r.askedPeers, candidates[index].Name)
	return candidates[index], true
}

// delegateTo passes the request on to one daemon and forwards the answer. The runs that the daemon was
// allowed count as used, whatever it did with them, unless it told that the request has not run.
func (r *requestState) delegateTo(ctx context.Context, peer Peer, reason string) (end attemptEnd, err error) {
	allowed := r.allowedRuns()
	runsBefore := r.runs
	r.lastUpstream, r.lastRun, r.connectionBroke = peer.Name, &sender.Run{}, false
	end, err = r.exchange(ctx, peer, allowed)
	if end != notSent && (end != notRun || !r.headWritten) {
		r.recordAttempt(end)
	}
	if r.runs > runsBefore {
		r.runs = runsBefore + allowed
	}
	klog.InfoS("request was passed on to another daemon", logger.KeyRequest, r.req.ID, "daemon", peer.Name, "address", peer.Address, "reason", reason,
		"end", end.String(), "error", fmt.Sprint(err), "runs_before", runsBefore, "runs_allowed", allowed, "left_ms", r.timeLeft())
	r.metrics.delegated.WithLabelValues(end.String()).Inc()
	return end, err
}

// allowedRuns returns the number of runs that another daemon may use, at least 1. Where more than one is
// left, one stays here, so that the request can go on if that daemon fails.
func (r *requestState) allowedRuns() int {
	if !r.repeatable {
		return 1
	}
	return max(cmp.Or(r.maxRuns, defaultRuns)-r.runs-1, 1)
}

// exchange sends the request to another daemon and forwards the answer.
func (r *requestState) exchange(ctx context.Context, peer Peer, allowed int) (end attemptEnd, err error) {
	left := r.timeLeft()
	r.withheldTime = min(peerAnswerTime, left/4)
	header := r.CallerProtocol.CallerHeader(Attempt{Request: r.req, TimeLeft: left - r.withheldTime, LastEventID: r.resumePoint()})
	header.Set(classifier.HeaderDelegated, strconv.Itoa(allowed))
	// An idle connection may just be closed by the other daemon, which would leave the outcome unknown.
	res, err := r.Sender.Send(ctx, sender.Call{
		Method: r.req.Method, Address: peer.Address, Host: r.req.Host, Path: r.req.Path, Body: r.req.Body, Run: r.lastRun,
		Header: header, NewConnection: true,
	})
	if err != nil {
		if !sender.WasSent(err) {
			return notSent, err
		}
		return unanswered, err
	}
	defer func() { _ = res.Body.Close() }()
	switch mark := res.Header.Get(classifier.HeaderAnsweredBy); mark {
	case classifier.AnsweredByUpstream:
		defer r.endWritesAfter(ctx)()
		end, _, err = r.handleResponse(ctx, res, peerSlot{}, &silenceWatch{request: r})
		return end, err
	case string(refuser.NotRun):
		r.retrySpent = r.retrySpent || res.Header.Get(classifier.HeaderRejected) != ""
		return notRun, r.readRefusal(res, refuser.NotRun)
	case string(refuser.Unknown):
		return unanswered, r.readRefusal(res, refuser.Unknown)
	default:
		sender.Abandon(res)
		return unanswered, fmt.Errorf("%w: status %d, mark %q", errUnmarked, res.StatusCode, mark[:min(len(mark), maxTitleBytes)])
	}
}

// readRefusal returns the refusal that another daemon answered with.
func (r *requestState) readRefusal(res *http.Response, outcome refuser.Outcome) error {
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxTitleBytes))
	title, _, _ := bytes.Cut(text, []byte("\n"))
	return &refuser.Refusal{
		Status: res.StatusCode, Outcome: outcome, Title: strings.ToValidUTF8(string(title), ""), Detail: "told by daemon " + r.lastUpstream,
		RetryAfter: r.Protocol.ResponseInfo(res.StatusCode, res.Header).Notice.RetryAfter,
	}
}

// markRejected tells the daemon that passed the request on that an upstream has rejected it, so that sending it once more
// costs a retry.
func (r *requestState) markRejected(err error) {
	if err != nil && r.req.DelegatedRuns > 0 && r.rejected && !r.headWritten {
		r.w.Header().Set(classifier.HeaderRejected, "1")
	}
}

// peerSlot stands for the slot of a request that another daemon handles, which reserves one itself.
type peerSlot struct{ reserver.Slot }

// Hear implements reserver.Slot.
func (peerSlot) Hear(noticer.Notice) {}

// FirstToken implements reserver.Slot.
func (peerSlot) FirstToken(int) {}
