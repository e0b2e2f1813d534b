package resolver_test

import (
	"slices"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
)

func member(name, region string, state gossiper.State, revision int64, load float64) gossiper.Member {
	return gossiper.Member{Name: name, Listen: name, Region: region, State: state, Revision: revision, Load: load}
}

func orderedNames(members []gossiper.Member, region string) (names []string) {
	regions := []inventory.Region{{Name: "a", Nearest: []string{"c", "b"}}, {Name: "b"}, {Name: "c"}}
	for _, a := range resolver.Order(members, regions, region, func() float64 { return 0.5 }) {
		names = append(names, a.Address)
	}
	return names
}

func TestOrderFollowsRegionThenLoad(t *testing.T) {
	got := orderedNames([]gossiper.Member{
		member("b1", "b", gossiper.Alive, 1, 0), member("c1", "c", gossiper.Alive, 1, 0.9),
		member("a1", "a", gossiper.Alive, 1, 0.8), member("a2", "a", gossiper.Alive, 1, 0.1),
	}, "a")
	if want := []string{"a2", "a1", "c1", "b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// A caller must not be sent to a daemon that leaves, is suspected or dead, or has
// no configuration, even if the only eligible one is remote and fully loaded.
func TestIneligibleMembersAreOmittedIfAnEligibleOneExists(t *testing.T) {
	got := orderedNames([]gossiper.Member{
		member("a1", "a", gossiper.Leaving, 1, 0), member("a2", "a", gossiper.Suspect, 1, 0),
		member("a3", "a", gossiper.Alive, 0, 0), member("a4", "a", gossiper.Dead, 1, 0),
		member("b1", "b", gossiper.Alive, 1, 1),
	}, "a")
	if want := []string{"b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

// If no daemon is eligible, an empty answer would turn away all callers.
// Leaving daemons are returned only if there are no others.
func TestBestMembersAreReturnedIfNoneIsEligible(t *testing.T) {
	got := orderedNames([]gossiper.Member{
		member("a1", "a", gossiper.Leaving, 1, 0), member("a2", "a", gossiper.Dead, 1, 0),
		member("a3", "a", gossiper.Suspect, 1, 0), member("b1", "b", gossiper.Alive, 0, 0),
	}, "a")
	slices.Sort(got)
	if want := []string{"a2", "a3", "b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got = orderedNames([]gossiper.Member{member("a1", "a", gossiper.Leaving, 1, 0)}, "a"); !slices.Equal(got, []string{"a1"}) {
		t.Fatalf("with one leaving member only: got %v", got)
	}
}

// A large region must neither make the answer long nor crowd out the addresses
// of other regions.
func TestAnswerIsBounded(t *testing.T) {
	var members []gossiper.Member
	for i := range 60 {
		members = append(members, member("a"+string(rune('A'+i)), "a", gossiper.Alive, 1, 0))
		members = append(members, member("b"+string(rune('A'+i)), "b", gossiper.Alive, 1, 0))
	}
	if got := orderedNames(members, "a"); len(got) != 16 || got[15][0] != 'b' {
		t.Fatalf("got %v, want 16 addresses, the last one in region b", got)
	}
}

// staticMembers is a Members that never changes.
type staticMembers []gossiper.Member

func (m staticMembers) Self() gossiper.Member         { return m[0] }
func (m staticMembers) AllMembers() []gossiper.Member { return m }

type staticSource inventory.Config

func (s staticSource) Current() *inventory.Config { return (*inventory.Config)(&s) }

// A daemon that does not know the configuration yet can't serve, and the default
// lifetime may be longer than the one in force.
func TestDaemonThatIsNotReadyReturnsOthersWithMinimumLifetime(t *testing.T) {
	ready := false
	v := &resolver.Resolver{
		Source:  staticSource{},
		Members: staticMembers{member("a1", "a", gossiper.Alive, 0, 0), member("a2", "a", gossiper.Alive, 1, 0)},
		Ready:   func() bool { return ready },
	}
	got := v.Answer("a", "")
	if len(got.Addresses) != 1 || got.Addresses[0].Address != "a2" || got.LifetimeMS != inventory.MinAddressLifetime {
		t.Fatalf("before it is ready: got %+v", got)
	}
	ready = true
	if got = v.Answer("a", ""); got.LifetimeMS != inventory.DefaultAddressLifetime {
		t.Fatalf("once it is ready: got %+v", got)
	}
}

// Gossip does not show that a daemon is cut off or is about to be removed: the
// daemon itself, or the platform, knows it first.
func TestIsolatedOrRetiredDaemonIsOmittedIfAnotherExists(t *testing.T) {
	v := &resolver.Resolver{
		Source:   staticSource{},
		Members:  staticMembers{member("a1", "a", gossiper.Alive, 1, 0), member("a2", "a", gossiper.Alive, 1, 0)},
		Isolated: func() bool { return true },
	}
	if got := v.Answer("a", "").Addresses; len(got) != 1 || got[0].Address != "a2" {
		t.Fatalf("while cut off: got %+v, want a2 only", got)
	}
	v.Isolated = nil
	v.Retired = func(m gossiper.Member) bool { return m.Name == "a2" }
	if got := v.Answer("a", "").Addresses; len(got) != 1 || got[0].Address != "a1" {
		t.Fatalf("with a2 retired: got %+v, want a1 only", got)
	}
}
