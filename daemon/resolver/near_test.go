package resolver_test

import (
	"testing"

	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
)

// With OwnRegionOnly a caller must not be sent to another region while its own has
// a daemon, but must not get an empty answer either.
func TestOwnRegionOnlyAddsOtherRegionsIfOwnHasNone(t *testing.T) {
	v := &resolver.Resolver{Source: staticSource{}, OwnRegionOnly: true, Members: staticMembers{
		member("a1", "a", gossiper.Alive, 1, 0), member("a2", "a", gossiper.Alive, 1, 0), member("b1", "b", gossiper.Alive, 1, 0),
	}}
	if got := v.Answer("a", "").Addresses; len(got) != 2 || got[0].Region != "a" || got[1].Region != "a" {
		t.Errorf("got %+v, want the 2 addresses of region a", got)
	}
	if got := v.Answer("c", "").Addresses; len(got) != 3 {
		t.Errorf("for a region without daemons: got %+v, want 3 addresses", got)
	}
}
