// Package retirer knows which upstreams the platform is about to take away
// and marks them in the configuration that all other duties read, so that
// nobody gives them new work.
package retirer

import (
	"context"
	"maps"
	"net/netip"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// pollInterval is the time between two looks at the list. With one call it
// stays below the three seconds after which no new work may come.
const pollInterval = 1500 * clock.Millisecond

// callTimeout bounds one look at the list.
const callTimeout = 1 * clock.Second

// The roles of VMs in the platform's list.
const (
	RoleDaemon   = "daemon"
	RoleUpstream = "upstream"
)

// Retirer is an inventory.Source that adds what the platform's list says to
// the configuration of another one. Its exported fields are set before Run.
type Retirer struct {
	Next inventory.Source
	List platform.VMList

	// vms is what the list said last; nil before the first answer.
	vms atomic.Pointer[[]platform.VM]
	// seen is replaced only when other upstreams leave than before.
	seen atomic.Pointer[sight]
	// marked is the last configuration that was made from Next and seen.
	marked atomic.Pointer[marking]
}

// sight is what answers of the list lead to; it is never changed.
type sight struct {
	// leaving holds names and addresses of upstreams that leave. One that left
	// the list meanwhile stays in it until it is listed as live again.
	leaving map[string]bool
}

// marking remembers a configuration together with what it was made from.
type marking struct {
	from   *inventory.Config
	seen   *sight
	result *inventory.Config
}

// Run asks for the list until ctx ends.
func (r *Retirer) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := r.Poll(ctx); err != nil && ctx.Err() == nil {
			klog.ErrorS(err, "list of VMs not read")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Poll asks for the list once; what it said before holds where that fails.
func (r *Retirer) Poll(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	vms, err := r.List.VMs(ctx)
	if err != nil {
		return err
	}
	var known map[string]bool
	if old := r.seen.Load(); old != nil {
		known = old.leaving
	}
	r.vms.Store(&vms)
	if leaving := merge(known, vms); !maps.Equal(known, leaving) {
		r.seen.Store(&sight{leaving: leaving})
	}
	return nil
}

// merge returns the names and addresses of the upstreams that leave.
func merge(known map[string]bool, vms []platform.VM) map[string]bool {
	leaving := make(map[string]bool, len(known))
	for key := range known {
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

// VMs returns the list as it was last told, nil before the first answer.
func (r *Retirer) VMs() []platform.VM {
	if vms := r.vms.Load(); vms != nil {
		return *vms
	}
	return nil
}

// Leaving tells whether the platform is about to take the upstream away, by
// its name, its address or the IP number of its address.
func (r *Retirer) Leaving(u inventory.Upstream) bool {
	seen := r.seen.Load()
	return seen != nil && seen.has(u)
}

func (s *sight) has(u inventory.Upstream) bool {
	if len(s.leaving) == 0 {
		return false
	}
	if s.leaving[u.Name] || s.leaving[u.Address] {
		return true
	}
	address, err := netip.ParseAddrPort(u.Address)
	return err == nil && s.leaving[address.Addr().String()]
}

// DaemonLeaving tells whether the platform is about to take away the VM of a
// daemon, by its name or by its address for other daemons.
func (r *Retirer) DaemonLeaving(name, address string) bool {
	for _, vm := range r.VMs() {
		if vm.Role == RoleDaemon && vm.Leaving && (vm.Name == name || vm.Address == address) {
			return true
		}
	}
	return false
}

// Current implements inventory.Source.
func (r *Retirer) Current() *inventory.Config {
	config, seen := r.Next.Current(), r.seen.Load()
	if seen == nil || len(seen.leaving) == 0 {
		return config
	}
	last := r.marked.Load()
	if last != nil && last.from == config && last.seen == seen {
		return last.result
	}
	next := &marking{from: config, seen: seen}
	if last != nil && last.seen == seen && same(last.from.Upstreams, config.Upstreams) {
		// Others compare lists by identity: one that did not change is kept.
		next.result = with(config, last.result.Upstreams)
	} else {
		next.result = mark(config, seen)
	}
	r.marked.Store(next)
	return next.result
}

// mark returns the configuration with the upstreams that leave marked, or
// config itself where the list adds nothing.
func mark(config *inventory.Config, seen *sight) *inventory.Config {
	var upstreams []inventory.Upstream
	for i, u := range config.Upstreams {
		if u.Leaving || !seen.has(u) {
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
	return with(config, upstreams)
}

// with returns a copy of config with other upstreams.
func with(config *inventory.Config, upstreams []inventory.Upstream) *inventory.Config {
	copied := *config
	copied.Upstreams = upstreams
	return &copied
}

// same tells whether two lists are one and the same memory.
func same(a, b []inventory.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
