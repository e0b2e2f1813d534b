package gossiper

import "yuccaspread/common/wire"

// encode returns the packet as a wire message.
func encode(p Packet) *wire.GossipPacket {
	out := &wire.GossipPacket{Sender: encodeMember(p.Sender), Whole: p.FullTable, Digest: p.Digest, Known: p.Known, Settled: p.Settled, Compared: p.Compared}
	for _, m := range p.Updates {
		out.Updates = append(out.Updates, encodeMember(m))
	}
	return out
}

func encodeMember(m Member) *wire.GossipMember {
	return &wire.GossipMember{
		Name: m.Name, Region: m.Region, FailureDomain: m.FailureDomain,
		Listen: m.Listen, PeerListen: m.PeerListen,
		Incarnation: m.Incarnation, State: wire.GossipState(m.State),
		Beat: m.ReportVersion, Load: float32(m.Load), Revision: m.Revision, CutOff: m.CutOff, TakesRequests: m.TakesRequests,
	}
}

func decode(p *wire.GossipPacket) Packet {
	out := Packet{Sender: decodeMember(p.GetSender()), FullTable: p.GetWhole(), Digest: p.GetDigest(), Known: p.GetKnown(), Settled: p.GetSettled(), Compared: p.GetCompared()}
	for _, m := range p.GetUpdates() {
		out.Updates = append(out.Updates, decodeMember(m))
	}
	return out
}

func decodeMember(m *wire.GossipMember) Member {
	return Member{
		Name: m.GetName(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain(),
		Listen: m.GetListen(), PeerListen: m.GetPeerListen(),
		Incarnation: m.GetIncarnation(), State: State(m.GetState()),
		ReportVersion: m.GetBeat(), Load: float64(m.GetLoad()), Revision: m.GetRevision(), CutOff: m.GetCutOff(), TakesRequests: m.GetTakesRequests(),
	}
}
