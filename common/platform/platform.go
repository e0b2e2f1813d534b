// Package platform is the edge towards the platform that yuccaspread runs
// on: a transactional table, an object store, a list of VMs and a store of
// weights. Each is a small interface; the adapters in this package speak HTTP.
package platform

import (
	"context"
	"errors"
	"fmt"

	"yuccaspread/common/clock"
)

// Certainty tells what a failed call has done to the platform.
type Certainty int

const (
	// Unknown means that the call may or may not have taken effect.
	Unknown Certainty = iota
	// NotDone means that the call has had no effect and never will.
	NotDone
	// Done means that the call took effect although its reply is unusable.
	Done
)

// String returns the certainty in snake case, as logs and metrics show it.
func (c Certainty) String() string {
	switch c {
	case NotDone:
		return "not_done"
	case Done:
		return "done"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("certainty_%d", int(c))
	}
}

// Error is returned by every adapter of this package.
type Error struct {
	// Op names the failed call, such as "table.apply".
	Op string
	// Certainty tells whether the call took effect. Reads are always NotDone.
	Certainty Certainty
	// Err is the cause and is never nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Op, e.Certainty, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// StatusError is the cause of an Error where the platform answered with a
// status other than 2xx and 404.
type StatusError struct {
	Status int
	// Text is the first line of the answer.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// CertaintyOf returns what err tells about the effect of a call: Done for
// nil, Unknown for an error of another kind.
func CertaintyOf(err error) Certainty {
	if err == nil {
		return Done
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Certainty
	}
	return Unknown
}

// ErrNotFound is wrapped by ObjectStore.Get when no such object exists.
var ErrNotFound = errors.New("not found")

// Row is one row of the table.
type Row struct {
	// Key is unique in the table and never empty.
	Key string
	// Value is the content; an empty value is a row all the same.
	Value []byte
	// Version grows with each write of this row and is never 0.
	Version int64
}

// Condition must hold for a transaction to be applied.
type Condition struct {
	// Key names the row.
	Key string
	// Version is the version that the row must have; 0 means absent.
	Version int64
}

// Write puts or deletes a row.
type Write struct {
	// Key names the row.
	Key string
	// Value is the new content; unused where Delete is set.
	Value []byte
	// Delete removes the row; removing an absent row is no error.
	Delete bool
}

// Txn is applied whole or not at all.
type Txn struct {
	// Conditions all hold at the moment of the writes.
	Conditions []Condition
	// Writes name each row at most once.
	Writes []Write
}

// TxnResult tells what became of a transaction.
type TxnResult struct {
	// Applied tells whether the conditions held.
	Applied bool
	// Version is the version that the written rows now have, if applied.
	Version int64
	// Rows are the present rows of the conditions' keys, if not applied;
	// absent rows are left out.
	Rows []Row
}

// Table is the transactional table. It orders all transactions.
type Table interface {
	// Read returns those of the rows that exist, in any order.
	Read(ctx context.Context, keys ...string) (rows []Row, err error)
	// Scan returns at most limit rows whose key has the prefix and is not
	// below from, in the order of their keys.
	Scan(ctx context.Context, prefix, from string, limit int) (rows []Row, err error)
	// Apply applies the transaction if all of its conditions hold.
	Apply(ctx context.Context, txn Txn) (result TxnResult, err error)
}

// ObjectStore keeps large values under names.
type ObjectStore interface {
	// Get returns the object, or an error that wraps ErrNotFound.
	Get(ctx context.Context, name string) (value []byte, err error)
	// Put writes the object and replaces what stood there.
	Put(ctx context.Context, name string, value []byte) (err error)
	// Delete removes the object; an absent one is no error.
	Delete(ctx context.Context, name string) (err error)
}

// VM is one entry of the platform's list, which lags behind the truth.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Role is "daemon" or "upstream".
	Role string `json:"role"`
	// Leaving is set on VMs that the platform is about to take away.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform knows it; it may be old.
	VMs(ctx context.Context) (vms []VM, err error)
}

// WeightStatus is what the weight store tells about its rate limit.
type WeightStatus struct {
	// BytesPerSecond is shared by all loads, above 0.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// QueuedBytes is what the loads in progress still have to read.
	QueuedBytes int64 `json:"queued_bytes"`
	// Sizes gives the bytes of each model version, by "model/version".
	Sizes map[string]int64 `json:"sizes"`
}

// WeightStore is the rate-limited store from which engines load weights.
type WeightStore interface {
	// Status returns the rate limit and the loads in progress.
	Status(ctx context.Context) (status WeightStatus, err error)
}

// Client groups the four services. All of its fields are set before use.
type Client struct {
	Table       Table
	ObjectStore ObjectStore
	VMList      VMList
	WeightStore WeightStore
}

// CallTimeout bounds one call to the platform unless the caller's context
// ends earlier.
const CallTimeout = 2 * clock.Second
