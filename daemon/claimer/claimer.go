// Package claimer keeps non-idempotent requests from running twice. After a
// slot was granted and before the first byte is sent, a daemon claims the
// request by writing a row of the platform's table. A claim never passes to
// another daemon, so a holder that resumes after a pause of any length cannot
// send a request that another daemon has sent meanwhile.
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

// Timeouts and intervals of claims.
const (
	// commitGrace is how long Claim waits for the reply of a transaction that
	// was in flight at the deadline.
	commitGrace = platform.CallTimeout + 500*clock.Millisecond
	// abandonTimeout bounds the attempts to release a claim whose write ended
	// in doubt and that will not be used.
	abandonTimeout = 1 * clock.Minute
	// recheckAfter is the age of the last confirmation of a claim from which on
	// Check reads the row again before the request is sent.
	recheckAfter = 2 * clock.Second
)

// Errors of Claim.
var (
	// ErrTaken means that another claim holds the key or that it has an answer.
	ErrTaken = errors.New("key is already claimed or answered")
	// ErrNotClaimed means that the deadline passed and no claim exists.
	ErrNotClaimed = errors.New("claim was not written before the deadline")
	// ErrDoubtful means that the deadline passed without a definite reply from
	// the table: the write may have taken effect or may do so later. After
	// Claim returns it, this daemon never uses such a claim.
	ErrDoubtful = errors.New("deadline passed with the claim write unconfirmed")
	// ErrLost means that the row differs from what this daemon wrote.
	ErrLost = errors.New("claim row was changed by another writer")
)

// Committer commits one Op. Writer and Router implement it.
type Committer interface {
	// Commit returns the result of op, shortly after its deadline at the latest.
	Commit(ctx context.Context, op Op) Result
}

// Claimer claims keys for this daemon. Its exported fields are set before use.
type Claimer struct {
	Committer Committer
	Reader    *Reader
	Clock     clock.Clock
	// Holder is the name of this daemon.
	Holder string
	// Registerer registers the counters; nil leaves them unregistered.
	Registerer prometheus.Registerer

	counters counters
}

// Claim is the exclusive right of this daemon to send one request.
type Claim struct {
	claimer *Claimer
	record  Record
	key     string
	version int64
	// confirmedAt is when the row was last known to hold this claim.
	confirmedAt clock.Millis
}

// Look reads the claim row of a key. found reports whether the key is claimed
// or answered; a key without a row, or with a released one, may be claimed.
func (c *Claimer) Look(ctx context.Context, organisation, key string) (record Record, found bool, err error) {
	record, _, err = c.readRecord(ctx, RowKey(organisation, key))
	return record, record.State == Claimed || record.State == Answered, err
}

func (c *Claimer) readRecord(ctx context.Context, key string) (record Record, version int64, err error) {
	row, err := c.Reader.Read(ctx, key)
	if err != nil || row.Version == 0 {
		return record, 0, err
	}
	record, err = decode(row.Value)
	return record, row.Version, err
}

// Claim writes the claim row of the key, unless the key is claimed or answered.
// It waits for the table until the deadline and at most commitGrace longer. If
// it returns an error, no byte of the request may be sent.
func (c *Claimer) Claim(ctx context.Context, organisation, key string, fingerprint uint64, deadline clock.Millis) (claim *Claim, err error) {
	ctx, span := otel.Tracer("claimer").Start(ctx, "claim")
	defer span.End()
	defer func() { c.counters.countClaim(c.Registerer, err) }()
	claim = &Claim{claimer: c, key: RowKey(organisation, key), record: Record{
		State: Claimed, Holder: c.Holder, Nonce: uuid.NewString(), Fingerprint: fingerprint, Time: c.Clock.Now(),
	}}
	op := Op{Key: claim.key, Value: encode(claim.record), Deadline: deadline}
	for {
		result := c.commit(ctx, op)
		if result.Verdict == Conflict && isClaimable(result.Row) {
			op.Version = result.Row.Version
			continue
		}
		if result.Verdict == Applied {
			claim.version = result.Row.Version
			claim.confirmedAt = c.Clock.Now()
			return claim, nil
		}
		return nil, c.failClaim(ctx, claim, op, result)
	}
}

// isClaimable reports whether the row is absent or released.
func isClaimable(row platform.Row) bool {
	if row.Version == 0 {
		return true
	}
	record, err := decode(row.Value)
	return err == nil && record.State == Released
}

// commit waits for the result of op until its deadline plus commitGrace.
func (c *Claimer) commit(ctx context.Context, op Op) Result {
	timeout := max(op.Deadline-c.Clock.Now(), 0) + commitGrace
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	return c.Committer.Commit(ctx, op)
}

// failClaim returns the error of Claim for a result other than Applied. If the
// write may have taken effect, it starts to release the claim.
func (c *Claimer) failClaim(ctx context.Context, claim *Claim, op Op, result Result) error {
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

// abandon releases a claim whose write may have taken effect or may do so
// later. It writes a released row over the version that the claim expected, so
// that a late claim write conflicts; if the claim is already in the row, it
// releases that.
func (k *Claim) abandon(ctx context.Context, op Op) {
	record := k.record
	record.State = Released
	release := Op{Key: op.Key, Version: op.Version, Value: encode(record), Deadline: k.claimer.Clock.Now() + abandonTimeout}
	result := k.claimer.commit(ctx, release)
	if result.Verdict != Conflict {
		return
	}
	if current, err := decode(result.Row.Value); err == nil && current.Nonce == k.record.Nonce {
		release.Version = result.Row.Version
		k.claimer.commit(ctx, release)
	}
}

// Check returns nil if the request may be sent now. It reads the row again if
// the claim was last confirmed recheckAfter ago or earlier, and returns ErrLost
// if the row has changed.
func (k *Claim) Check(ctx context.Context) (err error) {
	now := k.claimer.Clock.Now()
	if now-k.confirmedAt < recheckAfter {
		return nil
	}
	record, version, err := k.claimer.readRecord(ctx, k.key)
	if err != nil {
		return err
	}
	if record.Nonce != k.record.Nonce || version != k.version || record.State != Claimed {
		return ErrLost
	}
	k.confirmedAt = now
	return nil
}

// Release makes the key claimable again. It must only be called if no byte was
// sent and none ever will be. A nil error means that the row is in the state
// Released.
func (k *Claim) Release(ctx context.Context) (err error) {
	record := k.record
	record.State = Released
	return k.replace(ctx, record, releaseTimeout)
}

// Timeouts of the writes to a row that this daemon has claimed.
const (
	releaseTimeout = 3 * clock.Second
	finishTimeout  = 1 * clock.Minute
)

// Finish stores the answer in the claim row and marks the key as answered.
func (k *Claim) Finish(ctx context.Context, answer *Answer) (err error) {
	record := k.record
	record.State = Answered
	record.Answer = answer
	return k.replace(ctx, record, finishTimeout)
}

// Nonce returns the identifier of the claim, unique among all claims.
func (k *Claim) Nonce() string { return k.record.Nonce }

// replace writes record if the row still has the version that this daemon
// wrote. It returns ErrLost on a conflict and ErrDoubtful if the write was not
// confirmed in time.
func (k *Claim) replace(ctx context.Context, record Record, timeout clock.Millis) (err error) {
	result := k.claimer.commit(ctx, Op{
		Key: k.key, Version: k.version, Value: encode(record), Deadline: k.claimer.Clock.Now() + timeout,
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

// IsUnclaimed reports whether a refusal may say that the request did not run:
// the row, read now, is absent or released. It is only valid for a caller that
// has sent no byte and holds no claim.
func (c *Claimer) IsUnclaimed(ctx context.Context, organisation, key string) bool {
	_, found, err := c.Look(ctx, organisation, key)
	return err == nil && !found
}
