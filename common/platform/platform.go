// Package platform defines the interfaces of the platform services that
// yuccaspread depends on: a transactional table, an object store, a list of VMs
// and a store of model weights. It holds their adapters over HTTP and a Guard
// that adds rate limits, retries and circuit breakers to them.
package platform

import (
	"context"
	"errors"
	"fmt"

	"yuccaspread/common/clock"
)

// Effect is what is known about the effect of a failed call.
type Effect int

const (
	// EffectUnknown means that the call may or may not have taken effect.
	EffectUnknown Effect = iota
	// NoEffect means that the call has had no effect and never will.
	NoEffect
	// EffectDone means that the call took effect, even if its reply is unusable.
	EffectDone
)

// String returns the effect in snake case, as logs and metrics show it.
func (e Effect) String() string {
	switch e {
	case NoEffect:
		return "not_done"
	case EffectDone:
		return "done"
	case EffectUnknown:
		return "unknown"
	default:
		return fmt.Sprintf("certainty_%d", int(e))
	}
}

// Error is returned by every adapter of this package.
type Error struct {
	// Op names the failed call, such as "table.apply".
	Op string
	// Effect is what is known about the effect of the call. It is NoEffect for
	// reads.
	Effect Effect
	// Err is the cause; it is never nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Op, e.Effect, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// StatusError is the cause of an Error if the platform answered with a status
// other than 2xx and 404.
type StatusError struct {
	Status int
	// Text is the first line of the answer.
	Text string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Text)
}

// EffectOf returns what err says about the effect of a call: the Effect of
// the Error that it wraps, EffectDone for nil, and EffectUnknown for any other error.
func EffectOf(err error) Effect {
	if err == nil {
		return EffectDone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Effect
	}
	return EffectUnknown
}

// ErrNotFound is wrapped by the error of ObjectStore.Get if the object does not
// exist.
var ErrNotFound = errors.New("not found")

// Row is one row of the table.
type Row struct {
	// Key is unique in the table and never empty.
	Key string
	// Value is the content; a row with an empty value exists.
	Value []byte
	// Version increases with each write of the row and is never 0.
	Version int64
}

// Condition must hold for a transaction to be applied.
type Condition struct {
	// Key names the row.
	Key string
	// Version is the version that the row must have; 0 means that the row must
	// not exist.
	Version int64
}

// Write puts or deletes a row.
type Write struct {
	// Key names the row.
	Key string
	// Value is the new content; unused if Delete is set.
	Value []byte
	// Delete removes the row; removing a row that does not exist is no error.
	Delete bool
}

// Txn is a transaction; it is applied as a whole or not at all.
type Txn struct {
	// Conditions must all hold when the writes are applied.
	Conditions []Condition
	// Writes name each row at most once.
	Writes []Write
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	// Applied is set if the conditions held and the writes were applied.
	Applied bool
	// Version is the version that the written rows now have, if applied.
	Version int64
	// Rows are the current rows of the conditions' keys, if not applied; rows
	// that do not exist are omitted.
	Rows []Row
}

// Table is the transactional table. Its transactions are totally ordered.
type Table interface {
	// Read returns the rows that exist among keys, in any order.
	Read(ctx context.Context, keys ...string) (rows []Row, err error)
	// Scan returns at most limit rows whose keys have the prefix and are not
	// less than from, in the order of their keys.
	Scan(ctx context.Context, prefix, from string, limit int) (rows []Row, err error)
	// Apply applies the transaction if all of its conditions hold.
	Apply(ctx context.Context, txn Txn) (result TxnResult, err error)
}

// ObjectStore stores large values by name.
type ObjectStore interface {
	// Get returns the object, or an error that wraps ErrNotFound.
	Get(ctx context.Context, name string) (value []byte, err error)
	// Put writes the object and replaces an existing one.
	Put(ctx context.Context, name string, value []byte) (err error)
	// Delete removes the object; removing one that does not exist is no error.
	Delete(ctx context.Context, name string) (err error)
}

// VM is one entry of the platform's list of VMs, which may be out of date.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Role is "daemon" or "upstream".
	Role string `json:"role"`
	// Leaving is set on VMs that the platform is about to remove.
	Leaving bool `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform knows it; it may be out of date.
	VMs(ctx context.Context) (vms []VM, err error)
}

// WeightStatus is the rate limit and the load of the weight store.
type WeightStatus struct {
	// BytesPerSecond is the rate limit that all loads share, above 0.
	BytesPerSecond int64 `json:"bytes_per_second"`
	// QueuedBytes is the number of bytes that the loads in progress still have
	// to read.
	QueuedBytes int64 `json:"queued_bytes"`
	// Sizes maps "model/version" to the size of the version's weights in bytes.
	Sizes map[string]int64 `json:"sizes"`
}

// WeightStore is the rate-limited store from which engines load weights.
type WeightStore interface {
	// Status returns the rate limit and the loads in progress.
	Status(ctx context.Context) (status WeightStatus, err error)
}

// Client groups the four services. All fields must be set before use.
type Client struct {
	Table       Table
	ObjectStore ObjectStore
	VMList      VMList
	WeightStore WeightStore
}

// CallTimeout is the deadline of one call to the platform unless the caller's
// context ends earlier.
const CallTimeout = 2 * clock.Second
