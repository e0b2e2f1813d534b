// Package rationer bounds what a daemon holds in memory for the requests in progress: bodies that
// callers send and answers that are read whole before they are passed on. What doesn't fit is
// refused before it is read, or passed on as it comes.
package rationer

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// defaultMaxBytes is the bound of a daemon that isn't told the memory of its VM.
	defaultMaxBytes = 96 << 20
	// MemoryFraction is the share of a VM's memory that MaxBytes should be. What is held takes
	// up to twice its size while it grows and until it is collected.
	MemoryFraction = 0.25
	// largeBytes is the size from which something counts as large, and smallFraction the share of
	// the bound that large ones leave to the others.
	largeBytes    = 64 << 10
	smallFraction = 0.25
)

// Rationer hands out the memory for requests in progress. Its exported fields are set before use; it
// is safe for concurrent use, and a nil Rationer has no bound.
type Rationer struct {
	// MaxBytes bounds what is held, as the memory of the VM allows; 0 stands for 96 MiB, of which
	// large amounts may take all.
	MaxBytes int64

	held    atomic.Int64
	refused prometheus.Counter
}

// New returns a Rationer whose metrics are registered.
func New(maxBytes int64, registerer prometheus.Registerer) *Rationer {
	r := &Rationer{MaxBytes: maxBytes, refused: prometheus.NewCounter(prometheus.CounterOpts{
		Name: "yuccaspread_held_refusals_total", Help: "Bodies and answers for which the memory for requests in progress had no room.",
	})}
	registerer.MustRegister(r.refused, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "yuccaspread_held_bytes", Help: "Bytes of bodies and answers that are held for requests in progress.",
	}, func() float64 { return float64(r.Held()) }))
	return r
}

// Take takes some bytes and reports whether there was room for them. Large amounts leave a part of
// the memory to small ones, so that a few slow callers with large bodies don't keep out all others.
func (r *Rationer) Take(bytes int64) bool {
	if r == nil {
		return true
	}
	bound := r.MaxBytes
	switch {
	case bound <= 0:
		bound = defaultMaxBytes
	case bytes >= largeBytes:
		bound -= int64(smallFraction * float64(bound))
	}
	if r.held.Add(bytes) <= bound {
		return true
	}
	r.held.Add(-bytes)
	if r.refused != nil {
		r.refused.Inc()
	}
	return false
}

// Held returns the bytes that are held now.
func (r *Rationer) Held() int64 {
	if r == nil {
		return 0
	}
	return r.held.Load()
}

// Return gives back bytes that were taken.
func (r *Rationer) Return(bytes int64) {
	if r != nil {
		r.held.Add(-bytes)
	}
}
