package gossiper

// Message is one of the message types that Core handles.
type Message interface{ message() }

// Tick lets time pass; one comes each TickInterval.
type Tick struct{}

// Seeds names addresses at which other daemons may be found.
type Seeds struct {
	Addresses []string
}

// Received brings the packet of another daemon that awaits a reply.
type Received struct {
	Packet Packet
}

// Answered brings the reply to an Exchange.
type Answered struct {
	Packet Packet
}

// Missed tells that an Exchange with the member got no reply.
type Missed struct {
	Name string
}

// Unreached tells that no helper reached the member either.
type Unreached struct {
	Name string
}

// Reached tells that a helper reached the member.
type Reached struct {
	Name string
}

// Report sets this daemon's own load and revision.
type Report struct {
	Load     float64
	Revision int64
}

// Leave begins a planned stop of this daemon.
type Leave struct{}

// Stop ends the membership of this daemon.
type Stop struct{}

func (Tick) message()      {}
func (Seeds) message()     {}
func (Received) message()  {}
func (Answered) message()  {}
func (Missed) message()    {}
func (Unreached) message() {}
func (Reached) message()   {}
func (Report) message()    {}
func (Leave) message()     {}
func (Stop) message()      {}

// Effect is one of the effect types that Core returns.
type Effect interface{ effect() }

// Exchange sends a packet to the address and awaits the reply.
type Exchange struct {
	// Name is empty where the address is a seed.
	Name    string
	Address string
	Packet  Packet
}

// Reach asks the helpers to probe a member that gave no reply.
type Reach struct {
	Name    string
	Address string
	// Helpers are the addresses to ask, at least one.
	Helpers []string
}

// Reply is the answer to a Received packet.
type Reply struct {
	Packet Packet
}

// Changed tells that another daemon is new or has another state.
type Changed struct {
	Member Member
}

func (Changed) effect()  {}
func (Exchange) effect() {}
func (Reach) effect()    {}
func (Reply) effect()    {}

// Packet is what two daemons tell each other.
type Packet struct {
	// Sender is the row of the daemon that sends the packet.
	Sender  Member
	Updates []Member
	// Whole asks for all rows and says that Updates holds all rows.
	Whole bool
	// Digest covers names, incarnations and states of the sender's rows.
	Digest uint64
}
