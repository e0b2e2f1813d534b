package scheduler

import (
	"math"

	"yuccaspread/common/clock"
)

// Times of the reports by which the schedulers of a region tell each other their
// lowest tiers.
const (
	// shedHold is how long a tier counts as shed after its last ask was shed.
	shedHold = 3 * clock.Second
	// announceInterval is the time between announcements while a tier is shed.
	announceInterval = clock.Second
	// regionReportLifetime is how long the report of another scheduler is valid.
	regionReportLifetime = 5 * clock.Second
)

// regionReport is the last report of another scheduler.
type regionReport struct {
	lowestTier int
	receivedAt clock.Millis
}

// region keeps the lowest tier that each scheduler of the region admits.
type region struct {
	reports map[string]regionReport
	// shedAt is when an ask of each tier was last shed here.
	shedAt          map[int]clock.Millis
	announcedLowest int
	announcedAt     clock.Millis
}

func (g *region) handleReport(now clock.Millis, m RegionTier) {
	if g.reports == nil {
		g.reports = map[string]regionReport{}
	}
	g.reports[m.Scheduler] = regionReport{m.Lowest, now}
}

// admissionFloor returns the lowest tier that may get a slot here: no tier below
// one that another scheduler sheds.
func (g *region) admissionFloor(now clock.Millis) int {
	floor := math.MaxInt
	for _, report := range g.reports {
		if now-report.receivedAt < regionReportLifetime {
			floor = min(floor, report.lowestTier)
		}
	}
	return floor
}

// recordShed records that an ask of a tier was shed because of other asks.
// An ask with an objective does not count: it is shed within a second or two, so
// slots that other schedulers keep free for its tier would mostly stay empty.
func (s *State) recordShed(a *ask) {
	if a.Objective > 0 {
		return
	}
	if s.region.shedAt == nil {
		s.region.shedAt = map[int]clock.Millis{}
	}
	s.region.shedAt[a.Tier] = s.now
}

// AllTiers is the lowest admitted tier of a scheduler that sheds none.
const AllTiers = math.MaxInt

// lowestAdmitted returns the lowest tier that is admitted: the most important of
// the tiers with recently shed asks, or else AllTiers.
func (s *State) lowestAdmitted() int {
	lowest := AllTiers
	for tier, at := range s.region.shedAt {
		if s.now-at < shedHold {
			lowest = min(lowest, tier)
		} else {
			delete(s.region.shedAt, tier)
		}
	}
	return lowest
}

// announceLowest emits the lowest admitted tier when it changes, and repeats it
// while a tier is shed.
func (s *State) announceLowest() {
	lowest := s.lowestAdmitted()
	if s.region.announcedAt == 0 {
		s.region.announcedLowest = AllTiers
	}
	due := lowest < AllTiers && s.now-s.region.announcedAt >= announceInterval
	if lowest == s.region.announcedLowest && !due {
		return
	}
	s.region.announcedLowest = lowest
	s.region.announcedAt = s.now
	s.emit(LowestTier{Lowest: lowest})
}
