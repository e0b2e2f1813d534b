// Package claimer keeps non-idempotent requests from running twice. A row of
// the platform's table, written after a slot was granted and before the first
// byte is sent, gives one daemon the right to send a request, once and for
// all: the right never passes to another daemon, so a holder that was paused
// for any time does no harm when it wakes.
package claimer

import (
	"context"
	"errors"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
)

// Spans of the claimer's own work after a deadline.
const (
	// commitGrace is how long Claim waits for the reply of a transaction that
	// was in flight at the deadline.
	commitGrace = platform.CallTimeout + 500*clock.Millisecond
	// abandonTime bounds the tries to give back a claim that nobody uses.
	abandonTime = 1 * clock.Minute
	// fresh is how long a claim needs no second look before the send.
	fresh = 2 * clock.Second
)

// Errors of Claim.
var (
	// ErrTaken means that the key has another holder or an answer.
	ErrTaken = errors.New("the key is claimed")
	// ErrNotClaimed means that the deadline came first. No claim exists.
	ErrNotClaimed = errors.New("not claimed before the deadline")
	// ErrDoubtful means that the deadline came first and that a claim may
	// exist or come to exist, although this daemon will never use it.
	ErrDoubtful = errors.New("the table did not tell whether the claim was written")
	// ErrLost means that the row no longer is what this daemon wrote.
	ErrLost = errors.New("the claim was lost")
)

// Committer commits one Op; Writer is one.
type Committer interface {
	// Commit returns the end of op, soon after its deadline at the latest.
	Commit(ctx context.Context, op Op) Result
}

// Claimer claims keys for this daemon. Its exported fields are set before use.
type Claimer struct {
	Committer Committer
	Reader    *Reader
	Clock     clock.Clock
	// Holder is the name of this daemon.
	Holder string
	// Registerer takes the counters; nil for none.
	Registerer prometheus.Registerer

	counters counters
}

// Claim is the right of this daemon to send a request.
type Claim struct {
	claimer *Claimer
	record  Record
	key     string
	version int64
	// at is when the row was last known to be ours.
	at clock.Millis
}

// Look reads the row of a key. found is false where the key may be claimed.
func (c *Claimer) Look(ctx context.Context, organisation, key string) (record Record, found bool, err error) {
	record, _, err = c.look(ctx, RowKey(organisation, key))
	return record, record.State == Claimed || record.State == Answered, err
}

func (c *Claimer) look(ctx context.Context, key string) (record Record, version int64, err error) {
	row, err := c.Reader.Read(ctx, key)
	if err != nil || row.Version == 0 {
		return record, 0, err
	}
	record, err = decode(row.Value)
	return record, row.Version, err
}

// Claim writes the row, unless it names a holder already. It waits for the
// table until the deadline and not much longer. Where it fails, no byte may
// be sent.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, fingerprint uint64, deadline clock.Millis) (claim *Claim, err error) {
	ctx, span := otel.Tracer("claimer").Start(ctx, "claim")
	defer span.End()
	defer func() { c.counters.claimed(c.Registerer, err) }()
	claim = &Claim{claimer: c, key: RowKey(organisation, key), record: Record{
		State: Claimed, Holder: c.Holder, Nonce: uuid.NewString(), Fingerprint: fingerprint, Time: c.Clock.Now(),
	}}
	op := Op{Key: claim.key, Value: encode(claim.record), Deadline: deadline}
	for {
		result := c.commit(ctx, op)
		if result.Verdict == Conflict && free(result.Row) {
			op.Version = result.Row.Version
			continue
		}
		if result.Verdict == Applied {
			claim.version = result.Row.Version
			claim.at = c.Clock.Now()
			return claim, nil
		}
		return nil, c.failure(ctx, claim, op, result)
	}
}

// free tells whether a row allows a claim.
func free(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	record, err := decode(row.Value)
	return err == nil && record.State == Released
}

// commit waits a little longer than the deadline of op.
func (c *Claimer) commit(ctx context.Context, op Op) Result {
	span := max(op.Deadline-c.Clock.Now(), 0) + commitGrace
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	return c.Committer.Commit(ctx, op)
}

func (c *Claimer) failure(ctx context.Context, claim *Claim, op Op, result Result) error {
	switch result.Verdict {
	case Conflict:
		return ErrTaken
	case Expired:
		return ErrNotClaimed
	case Doubtful, Applied:
	}
	go claim.abandon(context.WithoutCancel(ctx), op)
	return ErrDoubtful
}

// abandon makes sure that a claim that may come to exist does not stay: it
// puts a released row in the claim's place, or releases the claim.
func (k *Claim) abandon(ctx context.Context, op Op) {
	record := k.record
	record.State = Released
	last := Op{Key: op.Key, Version: op.Version, Value: encode(record), Deadline: k.claimer.Clock.Now() + abandonTime}
	result := k.claimer.commit(ctx, last)
	if result.Verdict != Conflict {
		return
	}
	if present, err := decode(result.Row.Value); err == nil && present.Nonce == k.record.Nonce {
		last.Version = result.Row.Version
		k.claimer.commit(ctx, last)
	}
}

// Check tells whether the request may be sent now. After a long pause it
// reads the row again.
func (k *Claim) Check(ctx context.Context) (err error) {
	now := k.claimer.Clock.Now()
	if now-k.at < fresh {
		return nil
	}
	record, version, err := k.claimer.look(ctx, k.key)
	if err != nil {
		return err
	}
	if record.Nonce != k.record.Nonce || version != k.version || record.State != Claimed {
		return ErrLost
	}
	k.at = now
	return nil
}

// Release gives the key back. It must only be called where no byte was sent
// and none ever will be. A nil error means that the row reads released.
func (k *Claim) Release(ctx context.Context) (err error) {
	record := k.record
	record.State = Released
	return k.replace(ctx, record, releaseTime)
}

// Spans of the tries to change a row that is ours.
const (
	releaseTime = 3 * clock.Second
	finishTime  = 1 * clock.Minute
)

// Finish keeps the answer with the key.
func (k *Claim) Finish(ctx context.Context, answer *Answer) (err error) {
	record := k.record
	record.State = Answered
	record.Answer = answer
	return k.replace(ctx, record, finishTime)
}

// Nonce returns the nonce, which names the claim among all claims.
func (k *Claim) Nonce() string { return k.record.Nonce }

// replace writes the row if it is still as this daemon wrote it.
func (k *Claim) replace(ctx context.Context, record Record, span clock.Millis) (err error) {
	result := k.claimer.commit(ctx, Op{
		Key: k.key, Version: k.version, Value: encode(record), Deadline: k.claimer.Clock.Now() + span,
	})
	switch result.Verdict {
	case Applied:
		k.version = result.Row.Version
		return nil
	case Conflict:
		return ErrLost
	case Expired, Doubtful:
	}
	return ErrDoubtful
}

// Refusable tells whether a refusal may say that the request did not run:
// the row, read now, is absent or released. The caller has sent no byte and
// holds no claim.
func (c *Claimer) Refusable(ctx context.Context, organisation, key string) bool {
	_, found, err := c.Look(ctx, organisation, key)
	return err == nil && !found
}
