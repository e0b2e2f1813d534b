package joiner

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/refuser"
)

// copier copies an answer that comes over one connection after the other, each time from its
// start. What has been copied is compared, because the holder may have another answer by then.
type copier struct {
	answer *deduplicator.Answer
	// head is the head that was copied, nil before; size that of the body that was copied, in
	// bytes, and hash its hash.
	head *deduplicator.Head
	size int
	hash xxhash.Digest
	// heardAt is when the last message came, or the join began.
	heardAt clock.Millis

	// seen is the size of the body that the present connection has brought, at most size, and
	// seenHash its hash.
	seen     int
	seenHash xxhash.Digest
}

// begin begins with a new connection.
func (c *copier) begin() {
	c.seen = 0
	c.seenHash.Reset()
	if c.size == 0 {
		c.hash.Reset()
	}
}

// mayGoOn reports whether a new connection may bring the rest after an error.
func (c *copier) mayGoOn(err error) bool {
	var refusal *refuser.Refusal
	if err == nil || errors.As(err, &refusal) || errors.Is(err, errOtherAnswer) {
		return false
	}
	return errors.Is(err, errSilent) || c.answer.HasHead()
}

// apply applies a message to the answer; end reports whether the answer is complete. The error
// is a *refuser.Refusal if the holder refused.
func (c *copier) apply(ctx context.Context, message *wire.JoinPiece) (end bool, err error) {
	switch piece := message.GetPiece().(type) {
	case *wire.JoinPiece_Head:
		return false, c.applyHead(piece.Head)
	case *wire.JoinPiece_Body:
		return false, c.applyBody(ctx, piece.Body)
	case *wire.JoinPiece_End:
		if c.seen < c.size {
			return false, errOtherAnswer
		}
		return true, nil
	case *wire.JoinPiece_Refusal:
		refusal := piece.Refusal
		if refusal.GetNotRun() {
			return false, refuser.New(int(refusal.GetStatus()), refusal.GetTitle(), refusal.GetDetail())
		}
		return false, refuser.NewUnknown(int(refusal.GetStatus()), refusal.GetTitle(), refusal.GetDetail())
	}
	return false, nil
}

func (c *copier) applyHead(in *wire.JoinHead) (err error) {
	head := deduplicator.Head{Status: int(in.GetStatus()), Header: http.Header{}}
	for _, h := range in.GetHeaders() {
		head.Header[h.GetName()] = h.GetValues()
	}
	if c.head == nil {
		c.head = &head
		c.answer.SetHead(head)
		return nil
	}
	if head.Status != c.head.Status || !maps.EqualFunc(head.Header, c.head.Header, slices.Equal) {
		return errOtherAnswer
	}
	return nil
}

func (c *copier) applyBody(ctx context.Context, body []byte) (err error) {
	known := min(len(body), c.size-c.seen)
	_, _ = c.seenHash.Write(body[:known])
	if c.seen += known; known == len(body) && c.seen < c.size {
		return nil
	}
	if known > 0 && c.seenHash.Sum64() != c.hash.Sum64() {
		return errOtherAnswer
	}
	rest := body[known:]
	if err = c.answer.Append(ctx, rest); err != nil {
		return err
	}
	_, _ = c.hash.Write(rest)
	c.size += len(rest)
	c.seen = c.size
	return nil
}
