// Package resolver serves the list of daemon addresses that callers should use.
// It orders them by state, distance and load and limits how long callers may
// cache the list.
package resolver

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/refuser"
)

// notReadyRetryAfter is the Retry-After time for callers of a daemon that has
// no addresses yet since it has just started.
const notReadyRetryAfter = 1 * clock.Second

// Address is the address of one daemon in an Answer.
type Address struct {
	Address string `json:"address"`
	Region  string `json:"region"`
}

// Answer is the response body for callers.
type Answer struct {
	// Addresses is in the order in which the caller should try them.
	Addresses []Address `json:"addresses"`
	// LifetimeMS is how long the caller may cache the answer, in milliseconds.
	LifetimeMS clock.Millis `json:"lifetime_ms"`
}

// Members provides this daemon and all members that it knows, the dead ones
// included.
type Members interface {
	Self() gossiper.Member
	AllMembers() []gossiper.Member
}

// Resolver serves the addresses over HTTP. Its exported fields are set before
// Register.
type Resolver struct {
	Source  inventory.Source
	Members Members
	// Ready reports whether this daemon knows the configuration in force; nil
	// means that it always does. While it does not, answers hold other daemons
	// only.
	Ready func() bool
	// Retired reports whether the platform is about to remove a daemon, even if
	// that daemon does not know it; nil means that none is.
	Retired func(m gossiper.Member) bool
	// Isolated reports whether this daemon reaches neither the platform nor any
	// other daemon; nil means that it never is isolated.
	Isolated func() bool
	// OwnRegionOnly leaves out the daemons of other regions if the answer holds any
	// daemon of the caller's region, and else those outside of the home regions of the host's
	// routes if it holds any inside.
	OwnRegionOnly bool
}

// Register adds the handler to router.
func (v *Resolver) Register(router *mux.Router) {
	router.HandleFunc("/v1/addresses", v.serveAddresses).Methods(http.MethodGet)
}

func (v *Resolver) serveAddresses(w http.ResponseWriter, r *http.Request) {
	answer := v.Answer(r.URL.Query().Get("region"), "")
	if len(answer.Addresses) == 0 {
		refusal := refuser.New(http.StatusServiceUnavailable, "not ready", "this daemon does not know the others yet")
		refusal.RetryAfter = notReadyRetryAfter
		refusal.Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// Answer returns the answer for a caller of the region that asks for a host; an empty
// region means that of this daemon, and an empty host any.
func (v *Resolver) Answer(region, host string) Answer {
	self := v.Members.Self()
	if region == "" {
		region = self.Region
	}
	config := v.Source.Current()
	members := v.Members.AllMembers()
	if v.Ready != nil && !v.Ready() {
		members = filterMembers(members, func(m gossiper.Member) bool { return m.Name != self.Name })
	}
	members = v.markUnavailable(members, self.Name)
	answer := Answer{
		Addresses:  Order(members, config.Regions, region, rand.Float64),
		LifetimeMS: v.Lifetime(),
	}
	if v.OwnRegionOnly {
		answer.Addresses = preferRegions(answer.Addresses, []string{region}, config.HomesOfHost(host))
	}
	return answer
}

// preferRegions returns the addresses in the first of the sets of regions that has any, or all.
func preferRegions(addresses []Address, sets ...[]string) (preferred []Address) {
	for _, regions := range sets {
		for _, a := range addresses {
			if slices.Contains(regions, a.Region) {
				preferred = append(preferred, a)
			}
		}
		if len(preferred) > 0 {
			return preferred
		}
	}
	return addresses
}

// Lifetime returns how long callers may cache an answer returned now. While the
// lifetime in force is unknown it is the minimum, since callers could keep a
// longer-lived answer beyond the planned stop of a daemon in it.
func (v *Resolver) Lifetime() clock.Millis {
	if v.Ready != nil && !v.Ready() {
		return inventory.MinAddressLifetime
	}
	return v.Source.Current().Limits.WithDefaults().AddressLifetimeMS
}

// markUnavailable returns a copy of members in which alive ones that are about
// to be removed count as leaving, and this daemon as suspected while it is
// isolated.
func (v *Resolver) markUnavailable(members []gossiper.Member, self string) []gossiper.Member {
	isolated := v.Isolated != nil && v.Isolated()
	copied := append([]gossiper.Member(nil), members...)
	for i, m := range copied {
		switch {
		case m.State != gossiper.Alive:
		case v.Retired != nil && v.Retired(m):
			copied[i].State = gossiper.Leaving
		case isolated && m.Name == self:
			copied[i].State = gossiper.Suspect
		}
	}
	return copied
}
