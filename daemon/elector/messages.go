// Package elector decides which daemon leads: the one whose lease stands in a
// row of the platform's table. It is pure: clock readings and results of calls
// to the table go in, calls to make come out. It is safe when a holder is
// paused at any point, when replies are lost, when clocks run at slightly
// unequal rates and when the table is away.
package elector

import "yuccaspread/common/clock"

// LeaseKey is the key of the row.
const LeaseKey = "moves/lease"

// Lease is the content of the row.
type Lease struct {
	// Holder names the process that leads; empty after a planned stop.
	Holder string `json:"holder"`
	// Epoch grows by one with each new holder and serves as fencing number.
	Epoch int64 `json:"epoch"`
	// Span is how long the lease lasts from the moment at which the holder
	// began to write it.
	Span clock.Millis `json:"span_ms"`
	// Nonce is unique to each write.
	Nonce string `json:"nonce"`
}

// Message is one of the message types of this package.
type Message interface{ message() }

// Tick lets time pass.
type Tick struct{ At clock.Millis }

// ReadDone is the result of a Read.
type ReadDone struct {
	At clock.Millis
	// Failed tells that nothing was read; the other fields are then unset.
	Failed bool
	// Version is that of the row, 0 for no row.
	Version int64
	Lease   Lease
}

// WriteDone is the result of a Write.
type WriteDone struct {
	At clock.Millis
	// Unknown tells that the write may have taken effect.
	Unknown bool
	// Applied tells that it did; Version is then that of the row.
	Applied bool
	Version int64
}

// Resign gives the lease up, or the wish for it, for good.
type Resign struct{ At clock.Millis }

func (Tick) message()      {}
func (ReadDone) message()  {}
func (WriteDone) message() {}
func (Resign) message()    {}

// Effect is one of the effect types of this package. At most one is returned
// and its result must come back as a message before there is another.
type Effect interface{ effect() }

// Read asks for the row.
type Read struct{}

// Write asks for a write of the row if it has the version.
type Write struct {
	Version int64
	Lease   Lease
}

func (Read) effect()  {}
func (Write) effect() {}
