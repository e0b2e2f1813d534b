package scheduler

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/estimator"
	"yuccaspread/daemon/guarantor"
	"yuccaspread/daemon/placer"
	"yuccaspread/daemon/queuer"
)

// Defaults of the options.
const (
	defaultGrantLifetime        = 5 * clock.Second
	defaultOutputQuantile       = 0.5
	defaultConservativeQuantile = 0.9
)

// State is the scheduler of one shard. The zero value works; its exported
// fields are set before the first Update. It is not safe for concurrent use.
type State struct {
	// GrantLifetime is how long a grant is valid without a Confirm; 0 means 5 s.
	GrantLifetime clock.Millis
	// OutputQuantile is the quantile of output lengths by which deadlines are
	// judged, in (0, 1); 0 means the median.
	OutputQuantile float64
	// ConservativeQuantile replaces OutputQuantile for a tier in which many asks
	// wait, in (0, 1); 0 means 0.9.
	ConservativeQuantile float64
	// CacheBlocks is meant to bound the prompt blocks in the cache index, where 0
	// means a default. It is not applied: the index always uses its default.
	CacheBlocks int

	now     clock.Millis
	effects []Effect

	// asks holds every waiting or running ask.
	asks  map[AskID]*ask
	queue queuer.Queue[*ask]
	// guarantor names the kinds of requests and the organisations that get less than
	// their minimum.
	guarantor guarantor.Guarantor
	// unconfirmed holds the grants to check for expiry, in order of expiry.
	unconfirmed []*ask

	// upstreams are sorted by name; those that are no longer listed stay until
	// their last request ends.
	upstreams []*upstream
	speeds    estimator.Speeds
	lengths   estimator.Lengths
	// lengthSeenAt is when the last completed answer of each route ended.
	lengthSeenAt map[string]clock.Millis
	index        placer.Index

	order  inventory.TierOrder
	limits inventory.Limits
	// coldLimits holds what the upstreams of each pool take while they are cold.
	coldLimits map[string]inventory.ColdLimit
	// memory holds the memory of the upstreams of each pool, in tokens.
	memory map[string]int
	// evacuated names the failure domains whose upstreams get nothing new.
	evacuated          []string
	firstTokenTargetMS float64
	tokenGapTargetMS   float64

	shares shares
	// usedSince is when a daemon first asked here or announced a slot, 0 before that.
	usedSince clock.Millis
	// divided is set while another scheduler may use the same upstreams.
	divided bool
	// part is the share of the fleet that this scheduler serves, 0 for all.
	part   float64
	region region
	pace   pace

	// links are the daemons with failures since their last answer, sorted by name.
	links         []*links
	nextHangCheck clock.Millis
}

// ask is an ask with its state.
type ask struct {
	Ask
	entry     queuer.Entry[*ask]
	arrivedAt clock.Millis
	// expectedOutput is the expected number of output tokens, and
	// conservativeOutput a number that is rarely exceeded.
	expectedOutput, conservativeOutput int
	// latestStart is when serving it has to start to meet its deadline and the
	// caller's patience.
	latestStart clock.Millis

	// upstream is nil while the ask waits.
	upstream  *upstream
	version   string
	grantedAt clock.Millis
	confirmed bool
	// cachedTokens is the number of prompt tokens that are expected to be cached.
	cachedTokens int
	// prefillMS is the expected prefill time by the upstream's speed.
	prefillMS float64
	// generationPrefillMS is the same by the speed of the hardware generation, and
	// generationAheadMS that of the prompts ahead of it.
	generationPrefillMS, generationAheadMS float64
	// firstTokenAt is when the first token arrived, 0 before.
	firstTokenAt clock.Millis
	// runningIntegral is the upstream's integral of running requests over time at
	// the first token.
	runningIntegral float64
	// onCold is set if the upstream was cold when the slot was granted.
	onCold bool
	// occupiedAtGrant is the number of requests on the upstream with this one when the slot was granted.
	occupiedAtGrant int
	// firstTokenMS is the expected time from the grant to the first token.
	firstTokenMS float64
	// held is set while the ask waits outside of the queue, and trialOf is not nil while it tries the links
	// of its daemon.
	held    bool
	trialOf *links
	// hung is set once the ask counts as a failure of its daemon's links, and discounted while it occupies
	// no slot.
	hung, discounted bool
	// isProbe is set if the ask probes an ejected upstream. slowdown is the largest
	// ratio of a measured time to the expected one, 0 while there is none.
	isProbe  bool
	slowdown float64
}

// Update handles a message and returns the resulting effects. Time never goes
// back: a clock reading before the last one counts as the last one.
func (s *State) Update(now clock.Millis, m Message) []Effect {
	s.now = max(s.now, now)
	s.effects = nil
	s.handle(m)
	s.expireGrants()
	s.shedOverdue()
	s.releaseTrials()
	s.dispatch()
	s.announceLowest()
	return s.effects
}

// handle dispatches a message to its handler.
//
//nolint:gocyclo // One switch over all messages, one line each.
func (s *State) handle(m Message) {
	switch m := m.(type) {
	case Ask:
		s.noteUse()
		s.handleAsk(m)
	case Cancel:
		s.handleCancel(m)
	case Confirm:
		s.handleConfirm(m)
	case FirstToken:
		s.handleFirstToken(m)
	case End:
		s.handleEnd(m)
	case Announce:
		s.noteUse()
		s.handleAnnounce(m)
	case DaemonGone:
		s.handleDaemonGone(m)
	case Upstreams:
		s.handleUpstreams(m)
	case Rules:
		s.handleRules(m)
	case Load:
		s.handleLoad(m)
	case CacheChange:
		s.handleCacheChange(m)
	case Health:
		s.handleHealth(m)
	case Notice:
		s.handleNotice(m)
	case Fleet:
		s.divided, s.part = m.Divided, m.Part
	case Shares:
		s.shares.replace(m)
	case RegionTier:
		s.region.handleReport(s.now, m)
	case Tick:
		s.checkUpstreams()
		s.checkHangs()
		s.guarantor.Refresh(s.now)
	}
}

func (s *State) handleRules(m Rules) {
	ranks := make([]int, len(m.Tiers))
	for i, t := range m.Tiers {
		ranks[i] = t.Rank
	}
	s.order = inventory.NewTierOrder(ranks, m.TierOffsets)
	s.pace.retain(func(lane int) bool {
		return s.order.IsUsed(lane/lanesPerTier) || lane == s.lateLane(s.order.Last()) || s.queue.Waiting(lane) > 0
	})
	s.limits = m.Limits.WithDefaults()
	s.queue.Weights = m.Weights
	s.queue.Capacity = s.limits.QueuePerShard
	s.guarantor.Floor, s.guarantor.CheapShare = s.limits.KindFloor, s.limits.CheapKindShare
	s.coldLimits, s.evacuated, s.memory = m.Cold, m.Evacuated, m.Memory
	s.markEvacuated()
	s.firstTokenTargetMS = 0
	s.tokenGapTargetMS = 0
	for _, t := range m.Tiers {
		s.firstTokenTargetMS = strictest(s.firstTokenTargetMS, float64(t.FirstTokenMS))
		s.tokenGapTargetMS = strictest(s.tokenGapTargetMS, float64(t.TokenGapMS))
	}
}

// strictest returns the smaller of two targets, where 0 is no target.
func strictest(a, b float64) float64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}
