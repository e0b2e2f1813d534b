package dispatcher

import (
	"context"
	"net/url"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"

	"yuccaspread/common/logger"
	"yuccaspread/daemon/claimer"
)

// Bounds of the answers that are stored for repeats.
const (
	// rowAnswerBytes is the largest body that is stored in the claim's row; a
	// larger one goes into the object store.
	rowAnswerBytes = 4 << 10
	// objectsPerSecond and objectsBurst limit the rate of this daemon's writes to
	// the object store.
	objectsPerSecond = 0.5
	objectsBurst     = 20
)

//nolint:gochecknoglobals // One object store for the whole process.
var objectWrites = rate.NewLimiter(objectsPerSecond, objectsBurst)

// storeAnswer stores the complete answer with the claim, so that a repeated request
// gets it after this daemon has stopped. An answer that can't be stored remains in
// memory only.
func (r *requestState) storeAnswer(ctx context.Context) {
	head, body, kept := r.entry.Answer.Content()
	if !kept {
		return
	}
	answer := &claimer.Answer{Status: head.Status, Header: head.Header.Clone(), Body: body}
	if len(body) > rowAnswerBytes {
		answer.Body = nil
		answer.Object = objectName(r.req.Organisation, r.claim.Nonce())
		if !objectWrites.Allow() {
			return
		}
		if err := r.Objects.Put(ctx, answer.Object, body); err != nil {
			klog.ErrorS(err, "answer not stored; it stays in memory only", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation)
			return
		}
	}
	claim := r.claim
	r.running.Go(func() {
		if err := claim.Finish(context.WithoutCancel(ctx), answer); err != nil {
			klog.ErrorS(err, "answer not stored; it stays in memory only", logger.KeyRequest, r.req.ID, logger.KeyOrganisation, r.req.Organisation)
		}
	})
}

// objectName returns the name of a stored answer's object.
func objectName(organisation, nonce string) string {
	return "answer/" + url.PathEscape(organisation) + "/" + nonce
}
