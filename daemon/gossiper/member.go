// Package gossiper knows which daemons are alive.
package gossiper

import (
	"fmt"

	"yuccaspread/common/clock"
)

// State is what is known of a daemon.
type State int

// The states, each of which overrides the ones before it at equal incarnation.
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

// Member is one daemon as the others know it.
type Member struct {
	// Name is the name of the VM.
	Name          string
	Region        string
	FailureDomain string
	// Listen is the address for callers, PeerListen the one for daemons.
	Listen     string
	PeerListen string
	// Incarnation is higher after each restart and each refuted suspicion.
	Incarnation int64
	State       State
	// Load is the share of the daemon's capacity in use, in [0, 1].
	Load float64
	// Beat grows with each change of Load or Revision at one incarnation.
	Beat int64
	// Revision is the configuration in force there.
	Revision int64
	// Heard is when this daemon last heard news of the member; it is a reading
	// of this daemon's clock and never sent.
	Heard clock.Millis
}

// View tells the members. Implementations are safe for concurrent use.
type View interface {
	// Self returns this daemon.
	Self() Member
	// Members returns all that are known and not dead, this daemon included,
	// sorted by name. The list is shared and never changed by anyone.
	Members() []Member
}

// Lone is a View of a daemon that knows no other.
type Lone Member

// Self implements View.
func (l Lone) Self() Member { return Member(l) }

// Members implements View.
func (l Lone) Members() []Member { return []Member{Member(l)} }
