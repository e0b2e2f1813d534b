package reserver

import (
	"cmp"
	"context"
	"errors"
	"maps"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/sharder"
)

// Sizes in bytes and tokens from which the volume of a request is estimated.
const (
	// headerBytes is the assumed size of all headers.
	headerBytes = 1024
	// streamedTokenBytes is the size of a streamed event with one token.
	streamedTokenBytes   = 200
	unstreamedTokenBytes = 4
	// assumedTokens is the length of the answer where the request sets no limit.
	assumedTokens = 256
)

// spill asks the other regions, the nearest first, for a request that its own
// region can't serve in time. isRequired means that the region has no upstream of
// the pool. Then the volume is counted but not limited by the budget, since the
// operators have placed the pool elsewhere.
func (r *Remote) spill(ctx context.Context, w want, isRequired bool) (res *reservation, err error) {
	var refused, unreachable error
	layout := r.Assigner.Current().Layout
	for _, region := range layout.Nearest(r.View.Self().Region) {
		shards := r.rankedShards(region, w.request)
		if len(shards) == 0 {
			continue
		}
		bytes := estimateVolume(w.request, assumedTokens)
		if !r.chargeVolume(w.request.Tier, bytes, isRequired) {
			break
		}
		if res, err = r.reserveAny(ctx, w, shards); err == nil {
			res.chargedBytes = bytes
			return res, nil
		}
		r.chargeVolume(w.request.Tier, -bytes, true)
		switch {
		case ctx.Err() != nil:
			return nil, err
		case errors.Is(err, errSchedulerUnreachable):
			unreachable = err
		default:
			refused = tellingRefusal(refused, err)
		}
	}
	return nil, cmp.Or(refused, unreachable, error(errNoUpstream(w.request.Pool)))
}

// reserveAny asks the shards one after the other and returns the first slot, or
// the last error.
func (r *Remote) reserveAny(ctx context.Context, w want, shards []sharder.Shard) (res *reservation, err error) {
	for _, shard := range shards {
		res, err = r.reserveAt(ctx, w, shard)
		if err == nil || ctx.Err() != nil {
			return res, err
		}
	}
	return nil, err
}

// estimateVolume returns the estimated bytes between regions of a request whose
// answer has the number of tokens. A limit that the request sets overrides tokens.
func estimateVolume(req *classifier.Request, tokens int) int64 {
	perToken := int64(unstreamedTokenBytes)
	if req.Stream {
		perToken = streamedTokenBytes
	}
	if req.MaxTokens > 0 {
		tokens = req.MaxTokens
	}
	return int64(len(req.Body)) + headerBytes + int64(tokens)*perToken
}

// settleVolume counts the volume of a finished request, estimated anew from its
// output tokens or its token limit, and refunds the rest of what was charged.
func (r *Remote) settleVolume(res *reservation, usage Usage) {
	if res.chargedBytes == 0 {
		return
	}
	var bytes int64
	if usage.Outcome != NotSent {
		bytes = estimateVolume(res.request, usage.OutputTokens)
	}
	r.metrics.recordCrossRegion(res.request, bytes)
	if bytes < res.chargedBytes {
		r.chargeVolume(res.request.Tier, bytes-res.chargedBytes, true)
	}
}

// chargeVolume adds bytes to the tier's volume of the last hour; negative bytes
// are a refund. Without force, it counts nothing and returns false where the sum
// would exceed this daemon's part of the tier's budget.
func (r *Remote) chargeVolume(tier int, bytes int64, force bool) bool {
	budget := r.hourlyBudget(tier)
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.crossRegionBytes[tier]
	if m == nil {
		m = &hourMeter{}
		maps.DeleteFunc(r.crossRegionBytes, func(_ int, m *hourMeter) bool { return m.sum(now) == 0 })
		r.crossRegionBytes[tier] = m
	}
	if !force && m.sum(now)+bytes > budget {
		return false
	}
	m.add(now, bytes)
	return true
}

// hourlyBudget returns this daemon's part, in bytes, of what a tier may send
// between regions in an hour, so that all daemons together stay within the tier's
// limit.
func (r *Remote) hourlyBudget(tier int) int64 {
	daemons := max(len(r.Assigner.Current().Members), 1)
	return tierByRank(r.Source.Current(), tier%inventory.TierSpan).CrossRegionBytesPerHour / int64(daemons)
}

func tierByRank(config *inventory.Config, rank int) (tier inventory.Tier) {
	for _, t := range config.Tiers {
		if t.Rank == rank {
			return t
		}
	}
	return tier
}

// meterMinutes is the number of minutes that an hourMeter covers.
const meterMinutes = 60

// hourMeter counts bytes over the last hour, with a counter for each minute.
type hourMeter struct {
	minutes [meterMinutes]int64
	// lastMinute is the minute of the newest counter, counted from 0 of the clock.
	lastMinute int64
}

// advanceTo resets the counters of the minutes since the last call.
func (m *hourMeter) advanceTo(now clock.Millis) {
	minute := int64(now / clock.Minute)
	if minute-m.lastMinute >= meterMinutes {
		m.minutes = [meterMinutes]int64{}
		m.lastMinute = minute
	}
	for m.lastMinute < minute {
		m.lastMinute++
		m.minutes[m.lastMinute%meterMinutes] = 0
	}
}

func (m *hourMeter) add(now clock.Millis, bytes int64) {
	m.advanceTo(now)
	m.minutes[m.lastMinute%meterMinutes] += bytes
}

func (m *hourMeter) sum(now clock.Millis) (total int64) {
	m.advanceTo(now)
	for _, bytes := range m.minutes {
		total += bytes
	}
	return max(total, 0)
}
