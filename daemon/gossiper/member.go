// Package gossiper maintains the membership list of the daemons with a
// SWIM-style gossip protocol: periodic and indirect probes, suspicion that the
// suspected daemon can refute, and updates carried on the probes. All daemons
// of a region probe each other; only a few delegates of each region probe
// other regions.
package gossiper

import (
	"fmt"

	"yuccaspread/common/clock"
)

// State is the liveness of a daemon as another one knows it.
type State int

// The states. At equal incarnation each overrides the ones before it.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the state in snake case, as logs and metrics show it.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	default:
		return fmt.Sprintf("state_%d", int(s))
	}
}

// Member describes a daemon as the others know it.
type Member struct {
	// Name is the name of the VM.
	Name          string
	Region        string
	FailureDomain string
	// Listen is the address for callers, PeerListen the one to which daemons connect.
	Listen     string
	PeerListen string
	// Incarnation is higher after each restart and each refuted suspicion.
	Incarnation int64
	State       State
	// Load is the share of the daemon's capacity in use, in [0, 1].
	Load float64
	// ReportVersion is the version of Load, Revision and CutOff within an incarnation: it
	// grows with each published change of them.
	ReportVersion int64
	// Revision is the configuration revision in force on the member.
	Revision int64
	// CutOff reports whether the member has no path to any upstream, by its own word.
	CutOff bool
	// TakesRequests reports whether the member handles requests that other daemons pass on to it; those
	// of older versions don't know them.
	TakesRequests bool
	// LastHeard is when the local daemon last heard of the member, by the clock of
	// the local daemon. It is never sent.
	LastHeard clock.Millis
}

// View is the local view of the membership. Implementations are safe for
// concurrent use.
type View interface {
	// Self returns this daemon.
	Self() Member
	// Members returns all members that are not dead, this daemon included,
	// sorted by name. The slice is shared and must not be modified.
	Members() []Member
}

// SingleMember is a View whose only member is the daemon itself.
type SingleMember Member

// Self implements View.
func (l SingleMember) Self() Member { return Member(l) }

// Members implements View.
func (l SingleMember) Members() []Member { return []Member{Member(l)} }
