package noticer_test

import (
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/noticer"
)

// TestNewestWordOfALimitCounts guards against a limit that an older word of another daemon
// brings back, or ends, and against one that is kept for an upstream that is gone.
func TestNewestWordOfALimitCounts(t *testing.T) {
	var n noticer.Noticer
	check := func(what string, limit float64, named bool) {
		t.Helper()
		if got, _ := n.WordOf("u"); got.Limited != named || got.Limit != limit {
			t.Errorf("%s: %+v, want %v %v", what, got, limit, named)
		}
	}
	check("at first", 0, false)
	n.Learn("u", noticer.Word{Limited: true, Limit: 2, HeardAt: 10})
	check("another daemon's word", 2, true)
	n.Observe(20, "r", "u", noticer.Notice{Limited: true, Limit: 3})
	n.Learn("u", noticer.Word{Limited: true, Limit: 1, HeardAt: 15})
	n.Learn("u", noticer.Word{HeardAt: 15})
	check("an older word", 3, true)
	n.Learn("u", noticer.Word{HeardAt: 25})
	check("a newer word", 0, false)
	n.Observe(30, "r", "u", noticer.Notice{Limited: true, Limit: 0})
	check("a limit of 0", 0, true)
	n.Observe(31, "r", "u", noticer.Notice{})
	check("an answer without a limit", 0, false)
	n.Observe(32, "r", "u", noticer.Notice{Limited: true, Limit: 4})
	gone := func(string) bool { return false }
	n.Retain(clock.Hour, gone)
	check("lapsed", 4, true)
	n.Retain(clock.Hour+10*clock.Second, func(string) bool { return true })
	n.Retain(clock.Hour+2*clock.Minute, gone)
	check("lapsed again", 4, true)
	n.Retain(clock.Hour+4*clock.Minute, gone)
	check("gone", 0, false)
}

// TestBrittlenessFollowsTheNewestWord guards against a brittle upstream that is taken for sound by an older word or
// without any, and against one that stays brittle though its answers no longer say so.
func TestBrittlenessFollowsTheNewestWord(t *testing.T) {
	var n noticer.Noticer
	check := func(what string, brittle bool, maxRefusals int) {
		t.Helper()
		if got, _ := n.WordOf("u"); got.Brittle != brittle || got.MaxRefusals != maxRefusals {
			t.Errorf("%s: %+v", what, got)
		}
	}
	n.Observe(20, "r", "u", noticer.Notice{Brittle: true, MaxRefusals: 3})
	n.Learn("u", noticer.Word{Brittle: true, MaxRefusals: 9, HeardAt: 15})
	check("an older word", true, 3)
	n.Learn("u", noticer.Word{Brittle: true, HeardAt: 25})
	check("a newer word", true, 0)
	n.Pause("u", 40)
	if n.PauseEnd("u") != 40 || !n.Avoids(39, "u") || n.Avoids(40, "u") {
		t.Error("the pause does not hold")
	}
	n.Retain(50, func(string) bool { return true })
	check("no answer for a while", true, 0)
	n.Observe(60, "r", "u", noticer.Notice{})
	check("an answer that does not say so", false, 0)
}

// TestUpstreamThatLeavesStaysAvoided guards against an upstream that gets requests again because an
// answer from before it said that it leaves came later.
func TestUpstreamThatLeavesStaysAvoided(t *testing.T) {
	var n noticer.Noticer
	if n.Avoids(20, "u") {
		t.Error("avoided from the start")
	}
	n.Observe(10, "r", "u", noticer.Notice{Leaving: true})
	n.Observe(11, "r", "u", noticer.Notice{})
	n.Learn("u", noticer.Word{HeardAt: 12})
	if !n.Avoids(20, "u") || n.Avoids(20, "v") {
		t.Error("an upstream that leaves gets requests, or another one none")
	}
	n.Learn("v", noticer.Word{Leaving: true, HeardAt: 5})
	if !n.Avoids(20, "v") {
		t.Error("another daemon's word does not count")
	}
}

// TestAllowanceNeverExceedsItsBurst guards against an allowance that grows while nothing is sent,
// or that a clock reading of the past fills.
func TestAllowanceNeverExceedsItsBurst(t *testing.T) {
	var a noticer.Allowance
	a.Fill(clock.Hour, 0, 0)
	if a.Has() {
		t.Error("full at the start")
	}
	sent := 0
	for now := clock.Hour; now <= clock.Hour+10*clock.Second; now += 10 {
		a.Fill(now, 1.5, 2)
		a.Fill(now-clock.Minute, 1.5, 2)
		if a.Has() {
			a.Take()
			sent++
		}
	}
	if sent < 14 || sent > 15 {
		t.Errorf("%d requests in 10 s at 1.5 a second", sent)
	}
	a.Fill(2*clock.Hour, 1.5, 2)
	for a.Has() {
		a.Take()
		sent++
	}
	if sent > 17 {
		t.Errorf("%d requests after an hour without any, the burst is 2", sent)
	}
}

// TestPauseHoldsUntilItsEnd guards against a pause that a later answer, or a shorter pause, ends early.
func TestPauseHoldsUntilItsEnd(t *testing.T) {
	var n noticer.Noticer
	n.Observe(1000, "r", "u", noticer.Notice{RetryAfter: 500})
	n.Observe(1010, "r", "u", noticer.Notice{})
	n.Observe(1020, "r", "u", noticer.Notice{RetryAfter: 100})
	n.Retain(1300, func(string) bool { return true })
	if !n.Avoids(1499, "u") || n.Avoids(1500, "u") || n.PauseEnd("u") != 1500 {
		t.Errorf("the pause ends at %d", n.PauseEnd("u"))
	}
	n.Retain(1600, func(string) bool { return true })
	if n.PauseEnd("u") != 0 {
		t.Error("a pause that has ended is kept")
	}
}

// TestWordsAreReadBesideTheFirstNotice guards against a data race between the first notice and a reader.
func TestWordsAreReadBesideTheFirstNotice(t *testing.T) {
	var n noticer.Noticer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_ = n.Words()
	}()
	n.Observe(1, "r", "u", noticer.Notice{Brittle: true})
	<-read
	if word := n.Words()["u"]; !word.Brittle {
		t.Errorf("got %+v", word)
	}
}
