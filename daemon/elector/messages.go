// Package elector elects the leader among the daemons with a lease in a row of
// the platform's table. It performs no I/O: it takes clock readings and the
// results of calls to the table and returns the calls to make. There is at most
// one leader at a time even if a holder is paused at any point, replies are
// lost, clocks run at slightly different rates or the table is unavailable.
package elector

import "yuccaspread/common/clock"

// LeaseKey is the key of the lease row.
const LeaseKey = "moves/lease"

// Lease is the content of the lease row.
type Lease struct {
	// Holder is the name of the process that leads; empty after a resignation.
	Holder string `json:"holder"`
	// Epoch is the fencing number. It grows by one with each new leadership.
	Epoch int64 `json:"epoch"`
	// Span is the duration of the lease, counted from when the holder began to
	// write it.
	Span clock.Millis `json:"span_ms"`
	// Nonce is unique to each write.
	Nonce string `json:"nonce"`
}

// Message is one of the message types of this package.
type Message interface{ message() }

// Tick tells the time, for renewals, polls and lapsed leases.
type Tick struct{ At clock.Millis }

// ReadDone is the result of a Read.
type ReadDone struct {
	At clock.Millis
	// Failed is set if the row was not read; Version and Lease are then unset.
	Failed bool
	// Version is the version of the row, 0 if there is no row.
	Version int64
	Lease   Lease
}

// WriteDone is the result of a Write.
type WriteDone struct {
	At clock.Millis
	// Unknown is set if the write may have taken effect or may do so later.
	Unknown bool
	// Applied is set if the write took effect; Version is then the version of
	// the row.
	Applied bool
	Version int64
}

// Resign gives up the lease, if held, and stops contending for good.
type Resign struct{ At clock.Millis }

func (Tick) message()      {}
func (ReadDone) message()  {}
func (WriteDone) message() {}
func (Resign) message()    {}

// Effect is one of the effect types of this package. At most one is outstanding:
// its result must be passed to Step before another is returned.
type Effect interface{ effect() }

// Read asks for a read of the lease row.
type Read struct{}

// Write asks for a write of the lease row on the condition that it still has
// Version.
type Write struct {
	Version int64
	Lease   Lease
}

func (Read) effect()  {}
func (Write) effect() {}
