// Package attributor finds out which requests crash the upstreams that run them. It
// compares the requests that were running at crashes by their keys: a key identifies a part
// of prompts, or a whole request. The key that was running at most crashes, while no request
// with it was completed, is blocked, and its crashes count for no other key.
package attributor

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccaspread/common/clock"
)

// Limits of the evidence.
const (
	// blockingCrashes is the number of crashes, at different times, that block a key.
	blockingCrashes = 3
	// blockingUpstreams is the number of upstreams whose crashes block a part even if all
	// were at the same time. The platform counts five; one may not have been seen.
	blockingUpstreams = 4
	// blockingRequests is the number of different requests among them that block a part:
	// one request alone is blocked by its own key.
	blockingRequests = 2
	// minExplainedShare is the share of all crashes, between the first and the last one of
	// a key, that the key must explain: where upstreams crash all the time for other
	// reasons, some key has been there by chance.
	minExplainedShare = 1.0 / 3
	// minCrashGap separates crashes that count apart: upstreams that go down together
	// may have a fault of their own in common.
	minCrashGap = 100 * clock.Millisecond
	// provenWindow is how long before a crash a request with the key may have been
	// completed for the key not to be suspected.
	provenWindow = 5 * clock.Second
	// coldWindow is how long after its start a daemon that has completed nothing blocks nothing: until
	// then all parts that requests share look alike.
	coldWindow = 2 * clock.Second
	// maxKeys and maxReportsPerKey bound the reports, maxCrashes the crashes that are kept.
	maxKeys          = 512
	maxCrashes       = 256
	maxReportsPerKey = 16
	// maxDoublings bounds how often the time for which a key is blocked doubles.
	maxDoublings = 5
)

// Report states that an upstream crashed while a request with a key was running.
type Report struct {
	Key uint64
	// Request is the fingerprint of the request. It equals Key if that identifies the
	// request.
	Request uint64
	// Upstream names one run of an upstream process.
	Upstream string
	At       clock.Millis
	// Void is set if a request with the key was completed since, or shortly before.
	Void bool
}

// isOfRequest reports whether the key identifies a whole request.
func (r Report) isOfRequest() bool { return r.Key == r.Request }

// digest returns a hash that is equal for equal reports of different daemons.
func (r Report) digest() uint64 {
	buffer := binary.LittleEndian.AppendUint64([]byte(r.Upstream), r.Key)
	if r.Void {
		buffer = append(buffer, 1)
	}
	return xxhash.Sum64(buffer)
}

// Message is one of the message types of Core.
type Message interface{ message() }

// Crashed reports that an upstream crashed while a request with the keys was running.
type Crashed struct {
	Keys     []uint64
	Request  uint64
	Upstream string
}

// Completed reports that a request with the keys was completed.
type Completed struct{ Keys []uint64 }

// Received holds reports of another daemon.
type Received struct{ Reports []Report }

func (Crashed) message()   {}
func (Completed) message() {}
func (Received) message()  {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Spread asks to send reports to other daemons.
type Spread struct{ Reports []Report }

// Collect asks to send first reports of requests to the daemons that collect those of their keys,
// which spread them if a second one comes.
type Collect struct{ Reports []Report }

// Blocked tells that requests with all keys of a block are refused from now on.
type Blocked struct{ Block Block }

// Unblocked tells that requests with the keys of a block are no longer refused for them: one
// was completed, or other keys explain the crashes better.
type Unblocked struct{ Block Block }

func (Spread) effect()    {}
func (Collect) effect()   {}
func (Blocked) effect()   {}
func (Unblocked) effect() {}

// Core attributes crashes to keys. It does no I/O and is not safe for concurrent use.
type Core struct {
	// Retention is how long a key is blocked after its last crash, or suspected. It
	// doubles with each crash after the one that blocked the key; above 0.
	Retention clock.Millis
	// Started is when this daemon started. It can't tell which keys were proven before.
	Started clock.Millis

	// reports holds the reports of each key, sorted by time.
	reports map[uint64][]Report
	// crashes holds the crashes of upstreams, whatever was running there, sorted by time.
	crashes []crash
	// completed and completedBefore hold when requests with a key were last completed,
	// in the current and in the previous window of provenWindow.
	completed, completedBefore map[uint64]clock.Millis
	// windowStart is when the current window began, sweptAt when old reports were last
	// dropped.
	windowStart, sweptAt clock.Millis
	// blocks follow from reports.
	blocks []Block
	// trials holds the last trial of each provisional block, by its id.
	trials map[uint64]trial
}

type crash struct {
	upstream string
	at       clock.Millis
}

// Step handles one message at the time now and returns the effects.
func (c *Core) Step(now clock.Millis, message Message) (effects []Effect) {
	c.sweep(now)
	var changed []Report
	switch m := message.(type) {
	case Crashed:
		c.noteCrash(m.Upstream, now)
		for _, key := range m.Keys {
			report := Report{Key: key, Request: m.Request, Upstream: m.Upstream, At: now}
			// A key that is proven sound here is not worth a message.
			if !c.isProven(report) {
				changed = c.apply(report, changed)
			}
		}
	case Received:
		for _, report := range m.Reports {
			c.noteCrash(report.Upstream, report.At)
			report.Void = report.Void || c.isProven(report)
			changed = c.apply(report, changed)
		}
	case Completed:
		wasCold := c.isCold(now)
		changed = c.complete(now, m.Keys)
		if wasCold && len(changed) == 0 {
			return c.updateBlocks(now)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	effects = c.updateBlocks(now)
	spread, first := c.splitFirst(changed)
	if len(spread) > 0 {
		effects = append(effects, Spread{Reports: spread})
	}
	if _, isOwn := message.(Crashed); isOwn && len(first) > 0 {
		effects = append(effects, Collect{Reports: first})
	}
	return effects
}

// Reports returns the reports of the blocked keys and of the named ones, and a digest of the
// former. Reports that block nothing travel once, when they are new.
func (c *Core) Reports(keys ...uint64) (reports []Report, digest uint64) {
	var blocked []uint64
	for _, b := range c.blocks {
		blocked = append(blocked, b.Keys...)
	}
	for _, key := range blocked {
		for _, report := range c.reports[key] {
			digest ^= report.digest()
			reports = append(reports, report)
		}
	}
	for _, key := range keys {
		if !slices.Contains(blocked, key) {
			reports = append(reports, c.reports[key]...)
		}
	}
	return reports, digest
}

// apply merges a report and appends the reports that other daemons may lack to changed.
func (c *Core) apply(report Report, changed []Report) []Report {
	list := c.reports[report.Key]
	index := slices.IndexFunc(list, func(r Report) bool { return r.Upstream == report.Upstream })
	switch {
	case index >= 0 && (list[index].Void || !report.Void):
		return changed
	case index >= 0:
		list[index].Void = true
		return append(changed, list[index])
	case len(list) == 0 && !c.makeRoom(), !isUseful(list, report):
		return changed
	}
	list = append(list, report)
	slices.SortStableFunc(list, func(a, b Report) int { return cmp.Compare(a.At, b.At) })
	list = list[max(len(list)-maxReportsPerKey, 0):]
	c.reports[report.Key] = list
	if report.isOfRequest() {
		// The first report was not sent when it came.
		return append(changed, list...)
	}
	return append(changed, report)
}

// noteCrash records a crash of an upstream, the newest maxCrashes of them.
func (c *Core) noteCrash(upstream string, at clock.Millis) {
	if slices.ContainsFunc(c.crashes, func(k crash) bool { return k.upstream == upstream }) {
		return
	}
	index, _ := slices.BinarySearchFunc(c.crashes, at, func(k crash, at clock.Millis) int { return cmp.Compare(k.at, at) })
	c.crashes = slices.Insert(c.crashes, index, crash{upstream, at})
	c.crashes = c.crashes[max(len(c.crashes)-maxCrashes, 0):]
}

// isUseful reports whether a report may add to those of its key. What is dropped here must
// not be sent on: every daemon would send it again to every other.
func isUseful(list []Report, report Report) bool {
	if len(list) >= maxReportsPerKey && report.At <= list[0].At {
		return false
	}
	return len(list) < maxReportsPerKey/2 || !slices.ContainsFunc(list, func(r Report) bool {
		return !r.Void && max(r.At-report.At, report.At-r.At) < minCrashGap
	})
}

// complete records that requests with the keys can be completed.
func (c *Core) complete(now clock.Millis, keys []uint64) (changed []Report) {
	if c.completed == nil {
		c.completed = map[uint64]clock.Millis{}
	}
	for _, key := range keys {
		c.completed[key] = now
		for _, report := range slices.Clone(c.reports[key]) {
			report.Void = true
			changed = c.apply(report, changed)
		}
	}
	return changed
}

// isProven reports whether a request with the key of a report was completed after the
// crash, or shortly before.
func (c *Core) isProven(report Report) bool {
	at, found := c.completed[report.Key]
	if !found {
		at, found = c.completedBefore[report.Key]
	}
	return found && at >= report.At-provenWindow
}

// isCold reports whether nothing tells sound parts from bad ones yet: this daemon has just started,
// has completed no request and knows of no crash before its start.
func (c *Core) isCold(now clock.Millis) bool {
	return now < c.Started+coldWindow && c.completed == nil && c.completedBefore == nil &&
		(len(c.crashes) == 0 || c.crashes[0].at >= c.Started)
}

// splitFirst splits reports into those that other daemons need and the first ones of requests. A
// request that was running at one crash is common; it becomes news with the second one.
func (c *Core) splitFirst(reports []Report) (spread, first []Report) {
	for _, r := range reports {
		if r.isOfRequest() && len(c.reports[r.Key]) < 2 {
			first = append(first, r)
		} else {
			spread = append(spread, r)
		}
	}
	return spread, first
}

// makeRoom drops the key whose last crash is the oldest, among those that are not blocked,
// if no more keys may be kept. It reports whether there is room.
func (c *Core) makeRoom() bool {
	if c.reports == nil {
		c.reports = map[uint64][]Report{}
	}
	if len(c.reports) < maxKeys {
		return true
	}
	var oldest uint64
	var oldestAt clock.Millis
	for key, list := range c.reports {
		at := list[len(list)-1].At
		if c.blockEnd(key) == 0 && (oldestAt == 0 || at < oldestAt) {
			oldest, oldestAt = key, at
		}
	}
	delete(c.reports, oldest)
	return len(c.reports) < maxKeys
}

// sweep drops what is too old to matter, at most once a second.
func (c *Core) sweep(now clock.Millis) {
	if now-c.sweptAt < clock.Second {
		return
	}
	c.sweptAt = now
	if now-c.windowStart > provenWindow {
		c.completedBefore, c.completed, c.windowStart = c.completed, nil, now
	}
	c.sweepTrials()
	for key, list := range c.reports {
		// A key that was blocked is remembered longer: its next crash blocks it again.
		if now > max(list[len(list)-1].At, c.blockEnd(key))+c.Retention {
			delete(c.reports, key)
		}
	}
}
