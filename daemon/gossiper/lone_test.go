package gossiper

import (
	"testing"

	"yuccaspread/common/clock"
)

// TestLoneDaemonIsNoFleet guards against a daemon whose seeds are gone and that takes itself for the
// whole fleet: several of them lend the whole limits each, beside those that they can't find.
func TestLoneDaemonIsNoFleet(t *testing.T) {
	const self = "10.0.0.1:1"
	for name, c := range map[string]struct {
		seeds      []string
		heard      bool
		knowsAfter clock.Millis
	}{
		"its seeds don't answer": {[]string{"10.0.0.2:1", self}, false, loneAge},
		"a seed answers":         {[]string{"10.0.0.2:1"}, true, settleAge},
		"no seed but itself":     {[]string{self}, false, settleAge},
		"no seed":                {nil, false, settleAge},
	} {
		core := NewCore(Member{Name: "a", PeerListen: self}, 1000, 1)
		core.Handle(1000, Seeds{Addresses: c.seeds})
		if c.heard {
			core.Handle(1500, PacketReceived{Packet: Packet{Sender: Member{Name: "b", PeerListen: "10.0.0.2:1", Incarnation: 1}}})
		}
		if core.KnowsFleet(1000+c.knowsAfter-1) || !core.KnowsFleet(1000+c.knowsAfter) {
			t.Errorf("%s: knows the fleet just before %d ms: %t, then: %t", name, c.knowsAfter, core.KnowsFleet(1000+c.knowsAfter-1), core.KnowsFleet(1000+c.knowsAfter))
		}
	}
}
