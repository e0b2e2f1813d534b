package gossiper

// Message is one of the message types that Core handles.
type Message interface{ message() }

// Tick starts the probes that are due and ends the suspicions that have timed
// out. One is due each TickInterval.
type Tick struct{}

// Seeds replaces the addresses at which other daemons may be found.
type Seeds struct {
	Addresses []string
}

// PacketReceived delivers a packet of another daemon, which awaits a reply.
type PacketReceived struct {
	Packet Packet
}

// ReplyReceived delivers the reply to an Exchange.
type ReplyReceived struct {
	Packet Packet
}

// ExchangeFailed reports that an Exchange with the member got no reply.
type ExchangeFailed struct {
	Name string
}

// IndirectProbeFailed reports that no helper reached the member either.
type IndirectProbeFailed struct {
	Name string
}

// IndirectProbeSucceeded reports that a helper reached the member.
type IndirectProbeSucceeded struct {
	Name string
}

// Report sets the load and the configuration revision of this daemon, and whether it has no
// path to any upstream. A change of CutOff is sent to others at once.
type Report struct {
	Load     float64
	Revision int64
	CutOff   bool
}

// Leave begins a planned stop of this daemon.
type Leave struct{}

// Stop ends the membership of this daemon.
type Stop struct{}

func (Tick) message()                   {}
func (Seeds) message()                  {}
func (PacketReceived) message()         {}
func (ReplyReceived) message()          {}
func (ExchangeFailed) message()         {}
func (IndirectProbeFailed) message()    {}
func (IndirectProbeSucceeded) message() {}
func (Report) message()                 {}
func (Leave) message()                  {}
func (Stop) message()                   {}

// Effect is one of the effect types that Core returns.
type Effect interface{ effect() }

// Exchange sends a packet to the address and awaits the reply.
type Exchange struct {
	// Name is empty where the address is a seed.
	Name    string
	Address string
	Packet  Packet
}

// IndirectProbe asks the helpers to probe a member that gave no reply.
type IndirectProbe struct {
	Name    string
	Address string
	// Helpers are the addresses to ask, at least one.
	Helpers []string
}

// Reply answers the packet of a PacketReceived.
type Reply struct {
	Packet Packet
}

// MemberChanged reports that another daemon was added or changed state.
type MemberChanged struct {
	Member Member
}

func (MemberChanged) effect() {}
func (Exchange) effect()      {}
func (IndirectProbe) effect() {}
func (Reply) effect()         {}

// Packet is a request or a reply of an Exchange.
type Packet struct {
	// Sender describes the daemon that sends the packet.
	Sender  Member
	Updates []Member
	// FullTable reports whether Updates holds all peers of the sender and, in a request,
	// asks for all peers of the receiver.
	FullTable bool
	// Digest is a hash of the names, incarnations, states and cuts of all members that
	// are not dead for the sender.
	Digest uint64
	// Known, if any, holds the hash of each member that the sender knows, dead ones
	// included. The receiver sends the members whose hash is missing.
	Known []uint64
	// Compared reports whether Updates hold what a comparison found to be missing.
	Compared bool
	// Settled reports whether the sender has found the daemons of the fleet.
	Settled bool
}
