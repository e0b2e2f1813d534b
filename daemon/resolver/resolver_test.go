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

func order(members []gossiper.Member, region string) (names []string) {
	regions := []inventory.Region{{Name: "a", Nearest: []string{"c", "b"}}, {Name: "b"}, {Name: "c"}}
	for _, a := range resolver.Order(members, regions, region, func() float64 { return 0.5 }) {
		names = append(names, a.Address)
	}
	return names
}

func TestOrderFollowsRegionThenLoad(t *testing.T) {
	got := order([]gossiper.Member{
		member("b1", "b", gossiper.Alive, 1, 0), member("c1", "c", gossiper.Alive, 1, 0.9),
		member("a1", "a", gossiper.Alive, 1, 0.8), member("a2", "a", gossiper.Alive, 1, 0.1),
	}, "a")
	if want := []string{"a2", "a1", "c1", "b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestLeavingAndUnprovedAreNeverNamedBesideAProvedOne(t *testing.T) {
	got := order([]gossiper.Member{
		member("a1", "a", gossiper.Leaving, 1, 0), member("a2", "a", gossiper.Suspect, 1, 0),
		member("a3", "a", gossiper.Alive, 0, 0), member("a4", "a", gossiper.Dead, 1, 0),
		member("b1", "b", gossiper.Alive, 1, 1),
	}, "a")
	if want := []string{"b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func TestAllDoubtfulStillGetsTheBestKnown(t *testing.T) {
	got := order([]gossiper.Member{
		member("a1", "a", gossiper.Leaving, 1, 0), member("a2", "a", gossiper.Dead, 1, 0),
		member("a3", "a", gossiper.Suspect, 1, 0), member("b1", "b", gossiper.Alive, 0, 0),
	}, "a")
	slices.Sort(got)
	if want := []string{"a2", "a3", "b1"}; !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
	if got = order([]gossiper.Member{member("a1", "a", gossiper.Leaving, 1, 0)}, "a"); !slices.Equal(got, []string{"a1"}) {
		t.Fatalf("only one that leaves: got %v", got)
	}
}

func TestAnswerIsBounded(t *testing.T) {
	var members []gossiper.Member
	for i := range 60 {
		members = append(members, member("a"+string(rune('A'+i)), "a", gossiper.Alive, 1, 0))
		members = append(members, member("b"+string(rune('A'+i)), "b", gossiper.Alive, 1, 0))
	}
	if got := order(members, "a"); len(got) != 16 || got[15][0] != 'b' {
		t.Fatalf("got %v", got)
	}
}

// known is a Members that never changes.
type known []gossiper.Member

func (k known) Self() gossiper.Member    { return k[0] }
func (k known) Known() []gossiper.Member { return k }

type source inventory.Config

func (s source) Current() *inventory.Config { return (*inventory.Config)(&s) }

func TestDaemonThatHasJustStartedNamesOthersForAShortTime(t *testing.T) {
	ready := false
	v := &resolver.Resolver{
		Source:  source{},
		Members: known{member("a1", "a", gossiper.Alive, 0, 0), member("a2", "a", gossiper.Alive, 1, 0)},
		Ready:   func() bool { return ready },
	}
	got := v.Answer("a")
	if len(got.Addresses) != 1 || got.Addresses[0].Address != "a2" || got.LifetimeMS != inventory.MinAddressLifetime {
		t.Fatalf("before it is ready: %+v", got)
	}
	ready = true
	if got = v.Answer("a"); got.LifetimeMS != inventory.DefaultAddressLifetime {
		t.Fatalf("once it is ready: %+v", got)
	}
}

func TestDaemonCutOffOrRetiredIsNotNamedBesideAnother(t *testing.T) {
	v := &resolver.Resolver{
		Source:  source{},
		Members: known{member("a1", "a", gossiper.Alive, 1, 0), member("a2", "a", gossiper.Alive, 1, 0)},
		CutOff:  func() bool { return true },
	}
	if got := v.Answer("a").Addresses; len(got) != 1 || got[0].Address != "a2" {
		t.Fatalf("cut off: %+v", got)
	}
	v.CutOff = nil
	v.Retired = func(m gossiper.Member) bool { return m.Name == "a2" }
	if got := v.Answer("a").Addresses; len(got) != 1 || got[0].Address != "a1" {
		t.Fatalf("retired: %+v", got)
	}
}
