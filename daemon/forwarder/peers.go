package forwarder

import (
	"math/rand/v2"

	"yuccaspread/common/inventory"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/resolver"
)

// Peer is another daemon that may handle requests that this one can't send to any upstream.
type Peer struct {
	Name string
	// Address is the one for callers.
	Address string
}

// Peers returns the other daemons to which requests can be passed on, in the regions that allows names, the
// best first. It is safe for concurrent use.
type Peers interface {
	Candidates(allows func(region string) bool) []Peer
}

// MemberPeers implements Peers by the membership. Its exported fields are set before use.
type MemberPeers struct {
	View   gossiper.View
	Source inventory.Source
}

// Candidates implements Peers. Daemons of this daemon's failure domain come first, then those of its
// region and then others by distance; among equals the spare capacity decides, with a random part.
func (p *MemberPeers) Candidates(allows func(region string) bool) (candidates []Peer) {
	self := p.View.Self()
	names := map[string]string{}
	var near, others []gossiper.Member
	for _, m := range p.View.Members() {
		if m.Name == self.Name || !mayTakeOver(m) || !allows(m.Region) {
			continue
		}
		names[m.Listen] = m.Name
		if m.Region == self.Region && m.FailureDomain == self.FailureDomain {
			near = append(near, m)
			continue
		}
		others = append(others, m)
	}
	regions := p.Source.Current().Regions
	for _, group := range [][]gossiper.Member{near, others} {
		for _, a := range resolver.Order(group, regions, self.Region, rand.Float64) {
			candidates = append(candidates, Peer{Name: names[a.Address], Address: a.Address})
		}
	}
	return candidates
}

// mayTakeOver reports whether a daemon can handle requests for another one.
func mayTakeOver(m gossiper.Member) bool {
	return m.State == gossiper.Alive && m.Revision > 0 && !m.CutOff && m.TakesRequests
}
