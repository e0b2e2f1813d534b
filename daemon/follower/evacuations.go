package follower

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// evacuation is a failure domain to whose upstreams nothing new is sent.
type evacuation struct {
	domain string
	// version is that of the newest row that asked for it.
	version Version
	// endsAt is when it ends although its row was not removed by its writer: the register was
	// restored from a copy without the row, which may be written again. 0 while there is a row.
	endsAt clock.Millis
}

// applyEvacuations puts the evacuations in force that the rows of the register ask for. It is
// called with mu held.
func (f *Follower) applyEvacuations(origin string) {
	next := map[string]evacuation{}
	for _, row := range f.replica.Rows(f.Tables.Config) {
		domain, isEvacuation, err := f.Decoder.Evacuation(row.Key)
		switch {
		case !isEvacuation:
		case err != nil:
			if row.Key != f.Tables.ConfigKey {
				klog.ErrorS(err, "evacuation can't be followed", "key", row.Key, "row_version", row.Version, "from", origin)
			}
		default:
			next[row.Key] = evacuation{domain: domain, version: row.Version}
		}
	}
	for key, known := range f.evacuations {
		if _, present := next[key]; !present && f.outlivesRow(key, &known) {
			next[key] = known
		}
	}
	for key, e := range next {
		if _, known := f.evacuations[key]; !known {
			klog.InfoS("failure domain is evacuated", "failure_domain", e.domain, "row_version", e.version, "from", origin)
		}
	}
	for key, e := range f.evacuations {
		if _, still := next[key]; !still {
			klog.InfoS("evacuation has ended", "failure_domain", e.domain, "row_version", e.version, "from", origin)
		}
	}
	f.evacuations = next
	f.metrics.evacuated.Set(float64(len(next)))
}

// outlivesRow reports whether an evacuation without a row goes on for a while: its row is missing
// in the copy from which the register was restored. It is called with mu held.
func (f *Follower) outlivesRow(key string, e *evacuation) bool {
	if e.endsAt > 0 {
		return f.Clock.Now() < e.endsAt
	}
	if f.replica.VersionOf(f.Tables.Config, key).Era() <= e.version.Era() {
		return false
	}
	e.endsAt = f.Clock.Now() + rewriteGrace
	time.AfterFunc(rewriteGrace.Duration(), f.expireLapses)
	return true
}

// expireEvacuations ends those whose row was not written again in time, and reports whether there
// were any. It is called with mu held.
func (f *Follower) expireEvacuations() (expired bool) {
	now := f.Clock.Now()
	maps.DeleteFunc(f.evacuations, func(_ string, e evacuation) bool {
		ended := e.endsAt > 0 && now >= e.endsAt
		if ended {
			klog.InfoS("evacuation has ended: its row is not in the restored register", "failure_domain", e.domain, "row_version", e.version)
		}
		expired = expired || ended
		return ended
	})
	if expired {
		f.metrics.evacuated.Set(float64(len(f.evacuations)))
	}
	return expired
}

// regionsWithEvacuations returns the regions of the configuration with their evacuated failure
// domains, which are those in force before if nothing has changed. It is called with mu held.
func (f *Follower) regionsWithEvacuations(previous []inventory.Region) []inventory.Region {
	regions := f.config.Regions
	if len(f.evacuations) > 0 {
		regions = slices.Clone(regions)
		for i, region := range regions {
			regions[i].Evacuated = f.evacuatedOf(region)
		}
	}
	if slices.EqualFunc(regions, previous, isSameRegion) {
		// Callers compare lists by identity: an unchanged list is reused.
		return previous
	}
	return regions
}

func isSameRegion(a, b inventory.Region) bool {
	return a.Name == b.Name && slices.Equal(a.FailureDomains, b.FailureDomains) && slices.Equal(a.Nearest, b.Nearest) &&
		slices.Equal(a.Evacuated, b.Evacuated)
}

// evacuatedOf returns the evacuated failure domains of a region, sorted by name.
func (f *Follower) evacuatedOf(region inventory.Region) (domains []string) {
	for _, e := range f.evacuations {
		if slices.Contains(region.FailureDomains, e.domain) {
			domains = append(domains, e.domain)
		}
	}
	slices.SortFunc(domains, cmp.Compare[string])
	return domains
}
