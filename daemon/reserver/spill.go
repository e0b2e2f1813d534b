package reserver

import (
	"cmp"
	"context"
	"errors"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sharder"
)

// Sizes by which the volume of a request is estimated.
const (
	headerBytes = 1024
	// streamedTokenBytes is the size of an event with one token.
	streamedTokenBytes = 200
	wholeTokenBytes    = 4
	// usualTokens is the length of answers to requests that name no bound.
	usualTokens = 256
)

// spill asks the other regions, the nearest first, for a request that its own
// region can't serve in time. needed tells that the region has no upstream of
// the pool: then the volume is counted, and the budget does not bind, since
// the operators have placed the pool elsewhere.
func (r *Remote) spill(ctx context.Context, req *classifier.Request, excluded []string, needed bool) (e *entry, err error) {
	var refused, unreached error
	layout := r.Assigner.Current().Layout
	for _, region := range layout.Nearest(r.View.Self().Region) {
		shards := r.shards(region, req)
		if len(shards) == 0 {
			continue
		}
		bytes := volume(req, usualTokens)
		if !r.pay(req.Tier, bytes, needed) {
			break
		}
		if e, err = r.reserveAny(ctx, req, excluded, shards); err == nil {
			e.bytes = bytes
			return e, nil
		}
		r.pay(req.Tier, -bytes, true)
		switch {
		case ctx.Err() != nil:
			return nil, err
		case errors.Is(err, errUnreached):
			unreached = err
		default:
			refused = cmp.Or(refused, err)
		}
	}
	return nil, cmp.Or(refused, unreached, error(errNoUpstream(req.Pool)))
}

// reserveAny asks the shards one after the other. The error is the last one.
func (r *Remote) reserveAny(ctx context.Context, req *classifier.Request, excluded []string, shards []sharder.Shard) (e *entry, err error) {
	for _, shard := range shards {
		e, err = r.reserveAt(ctx, req, excluded, shard)
		if err == nil || ctx.Err() != nil {
			return e, err
		}
	}
	return nil, err
}

// volume estimates the bytes between regions of a request with an answer of
// so many tokens.
func volume(req *classifier.Request, tokens int) int64 {
	perToken := int64(wholeTokenBytes)
	if req.Stream {
		perToken = streamedTokenBytes
	}
	if req.MaxTokens > 0 {
		tokens = req.MaxTokens
	}
	return int64(len(req.Body)) + headerBytes + int64(tokens)*perToken
}

// settle replaces the estimated volume of a request by what it came to.
func (r *Remote) settle(e *entry, usage Usage) {
	if e.bytes == 0 {
		return
	}
	var bytes int64
	if usage.Outcome != NotSent {
		bytes = volume(e.request, usage.OutputTokens)
	}
	r.metrics.crossRegion(e.request.Tier, bytes)
	if bytes < e.bytes {
		r.pay(e.request.Tier, bytes-e.bytes, true)
	}
}

// pay counts paid volume; without force it fails where that goes beyond this
// daemon's part of the tier's budget.
func (r *Remote) pay(tier int, bytes int64, force bool) bool {
	budget := r.budget(tier)
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.paid[tier]
	if m == nil {
		m = &meter{}
		r.paid[tier] = m
	}
	if !force && m.sum(now)+bytes > budget {
		return false
	}
	m.add(now, bytes)
	return true
}

// budget returns this daemon's part of what a tier may send between regions
// in an hour: all daemons together stay within the rule.
func (r *Remote) budget(tier int) int64 {
	daemons := max(len(r.Assigner.Current().Members), 1)
	return tierOf(r.Source.Current(), tier).CrossRegionBytesPerHour / int64(daemons)
}

func tierOf(config *inventory.Config, rank int) (tier inventory.Tier) {
	for _, t := range config.Tiers {
		if t.Rank == rank {
			return t
		}
	}
	return tier
}

// meterParts is the number of parts of the hour that a meter covers.
const meterParts = 60

// meter counts over the last hour, in parts of a minute.
type meter struct {
	parts [meterParts]int64
	// last is the minute of the newest part.
	last int64
}

// roll empties the parts between the last reading and this one.
func (m *meter) roll(now clock.Millis) {
	minute := int64(now / clock.Minute)
	if minute-m.last >= meterParts {
		m.parts = [meterParts]int64{}
		m.last = minute
	}
	for m.last < minute {
		m.last++
		m.parts[m.last%meterParts] = 0
	}
}

func (m *meter) add(now clock.Millis, bytes int64) {
	m.roll(now)
	m.parts[m.last%meterParts] += bytes
}

func (m *meter) sum(now clock.Millis) (total int64) {
	m.roll(now)
	for _, part := range m.parts {
		total += part
	}
	return max(total, 0)
}
