// Package retirer polls the platform's list of VMs for those that are about to be
// removed, and marks their upstreams as leaving in the configuration that all other
// packages of the daemon read. Leaving upstreams get no new requests.
package retirer

import (
	"context"
	"maps"
	"net/netip"
	"sync/atomic"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// pollInterval is the time between two polls of the list. Together with
// callTimeout it stays below the 3 s after which a leaving upstream must get no
// new requests.
const pollInterval = 1500 * clock.Millisecond

// callTimeout bounds one call for the list.
const callTimeout = 1 * clock.Second

// The roles of VMs in the platform's list.
const (
	RoleDaemon   = "daemon"
	RoleUpstream = "upstream"
)

// Retirer is an inventory.Source that returns the configuration of Next, in which
// it marks the upstreams that List reports as leaving. Its exported fields are set
// before Run.
type Retirer struct {
	Next inventory.Source
	List platform.VMList

	// lastVMs is the last list that was read; nil before the first one.
	lastVMs atomic.Pointer[[]platform.VM]
	// retirements is replaced only when the set of leaving upstreams changes.
	retirements atomic.Pointer[retirementSet]
	// lastMarked is the last configuration that was built from Next and
	// retirements.
	lastMarked atomic.Pointer[markedConfig]
}

// retirementSet is the set of upstreams that leave, accumulated over all lists
// that were read. It is immutable.
type retirementSet struct {
	// leaving holds the names and addresses of VMs of upstreams that leave. A VM
	// that is no longer listed stays in it until it is listed as live again.
	leaving map[string]bool
}

// markedConfig is a configuration together with the values it was built from.
type markedConfig struct {
	source      *inventory.Config
	retirements *retirementSet
	result      *inventory.Config
}

// Run polls the list until ctx ends.
func (r *Retirer) Run(ctx context.Context) {
	ticker := clock.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := r.Poll(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "failed to read the list of VMs; keeping the previous one")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Poll reads the list once. On an error the previous list stays in force.
func (r *Retirer) Poll(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	vms, err := r.List.VMs(ctx)
	if err != nil {
		return err
	}
	var previous map[string]bool
	if old := r.retirements.Load(); old != nil {
		previous = old.leaving
	}
	r.lastVMs.Store(&vms)
	if leaving := mergeLeaving(previous, vms); !maps.Equal(previous, leaving) {
		r.retirements.Store(&retirementSet{leaving: leaving})
	}
	return nil
}

// mergeLeaving returns the names and addresses of the upstreams' VMs that leave:
// those of previous, updated by the list.
func mergeLeaving(previous map[string]bool, vms []platform.VM) map[string]bool {
	leaving := make(map[string]bool, len(previous))
	for key := range previous {
		leaving[key] = true
	}
	for _, vm := range vms {
		if vm.Role != RoleUpstream {
			continue
		}
		for _, key := range []string{vm.Name, vm.Address} {
			delete(leaving, key)
			if vm.Leaving && key != "" {
				leaving[key] = true
			}
		}
	}
	return leaving
}

// VMs returns the list that was last read, nil before the first one. It must not
// be changed.
func (r *Retirer) VMs() []platform.VM {
	if vms := r.lastVMs.Load(); vms != nil {
		return *vms
	}
	return nil
}

// IsLeaving reports whether the platform is about to remove the upstream. Its VM is
// matched by the upstream's name, its address or the IP address in it.
func (r *Retirer) IsLeaving(u inventory.Upstream) bool {
	retirements := r.retirements.Load()
	return retirements != nil && retirements.includes(u)
}

func (s *retirementSet) includes(u inventory.Upstream) bool {
	if len(s.leaving) == 0 {
		return false
	}
	if s.leaving[u.Name] || s.leaving[u.Address] {
		return true
	}
	address, err := netip.ParseAddrPort(u.Address)
	return err == nil && s.leaving[address.Addr().String()]
}

// IsDaemonLeaving reports whether the platform is about to remove the VM of a daemon.
// The VM is matched by the daemon's name or its address for other daemons.
func (r *Retirer) IsDaemonLeaving(name, address string) bool {
	for _, vm := range r.VMs() {
		if vm.Role == RoleDaemon && vm.Leaving && (vm.Name == name || vm.Address == address) {
			return true
		}
	}
	return false
}

// Current implements inventory.Source.
func (r *Retirer) Current() *inventory.Config {
	config, retirements := r.Next.Current(), r.retirements.Load()
	if retirements == nil || len(retirements.leaving) == 0 {
		return config
	}
	last := r.lastMarked.Load()
	if last != nil && last.source == config && last.retirements == retirements {
		return last.result
	}
	next := &markedConfig{source: config, retirements: retirements}
	if last != nil && last.retirements == retirements && sameBackingArray(last.source.Upstreams, config.Upstreams) {
		// Other packages detect changed lists by comparing their backing arrays,
		// so an unchanged list is reused.
		next.result = withUpstreams(config, last.result.Upstreams)
	} else {
		next.result = markLeaving(config, retirements)
	}
	r.lastMarked.Store(next)
	return next.result
}

// markLeaving returns a copy of config with the leaving upstreams marked, or
// config itself where no further upstream has to be marked.
func markLeaving(config *inventory.Config, retirements *retirementSet) *inventory.Config {
	var upstreams []inventory.Upstream
	for i, u := range config.Upstreams {
		if u.Leaving || !retirements.includes(u) {
			continue
		}
		if upstreams == nil {
			upstreams = append(upstreams, config.Upstreams...)
		}
		upstreams[i].Leaving = true
	}
	if upstreams == nil {
		return config
	}
	return withUpstreams(config, upstreams)
}

// withUpstreams returns a copy of config with upstreams in place of its own.
func withUpstreams(config *inventory.Config, upstreams []inventory.Upstream) *inventory.Config {
	copied := *config
	copied.Upstreams = upstreams
	return &copied
}

// sameBackingArray reports whether two slices are the same part of the same array,
// or are both empty.
func sameBackingArray(a, b []inventory.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
