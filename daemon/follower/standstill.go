package follower

import (
	"context"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
)

// standstillTick is the time between two checks whether the process stood still.
const standstillTick = 200 * clock.Millisecond

// standstillWatch notices that the process stood still, because it was stopped or its VM was
// suspended. What has come in meanwhile was sent at an unknown time, so that the ages that it
// states can't be believed. The zero value has noticed nothing.
type standstillWatch struct {
	// checkedAt is the last reading of a clock that goes on while the VM is suspended, 0 before
	// the first one.
	checkedAt clock.Millis
	// count is the number of standstills.
	count int
	// distrustUntil is the reading until which what comes in may be from before the end of the
	// last one.
	distrustUntil clock.Millis
}

// check takes a reading and reports whether the process has stood still for longer than gap since
// the last one.
func (w *standstillWatch) check(now, gap clock.Millis) (stoodStill bool) {
	stoodStill = w.checkedAt > 0 && now-w.checkedAt > standstillTick+gap
	if stoodStill {
		w.count++
		w.distrustUntil = now + syncTimeout
	}
	w.checkedAt = now
	return stoodStill
}

// checkStandstill drops all confirmations if the process has stood still: their ages don't count
// that time. It reports whether what comes in now can be believed. It is called with mu held.
func (f *Follower) checkStandstill() (isCredible bool) {
	now := f.bootTime()
	before := f.standstill.checkedAt
	if f.standstill.check(now, partOf(f.ApplyBound, standstillPercent)) {
		klog.InfoS("daemon stood still; what it knows is unconfirmed until it reads the register or hears from a peer", "for_ms", now-before)
		for _, known := range f.freshness {
			known.confirmedAt, known.relayedAt = 0, 0
		}
	}
	return now >= f.standstill.distrustUntil
}

// watchStandstills checks for standstills until ctx ends.
func (f *Follower) watchStandstills(ctx context.Context) {
	for {
		f.mu.Lock()
		f.checkStandstill()
		f.mu.Unlock()
		if !clock.Sleep(ctx, standstillTick) {
			return
		}
	}
}
