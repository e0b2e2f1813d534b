package surveyor

import (
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
)

// Message is one of the message types of Core.
type Message interface{ message() }

// Reached reports an answer of an upstream, or data of one.
type Reached struct{ Upstream string }

// Unreached reports a connection to an upstream that could not be opened, or one that
// broke or was given up without an answer.
type Unreached struct{ Upstream string }

// DialEnded reports the end of a Dial.
type DialEnded struct {
	Upstream string
	Address  string
	// Started is when the dial began.
	Started clock.Millis
	// Opened means that the upstream accepted the connection.
	Opened bool
}

// Tick starts the dials that are due. One is due each TickInterval, and after each
// Unreached and each DialEnded.
type Tick struct {
	// Upstreams are those in force. They are not modified.
	Upstreams []inventory.Upstream
}

func (Reached) message()   {}
func (Unreached) message() {}
func (DialEnded) message() {}
func (Tick) message()      {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// Dial asks to open a connection within DialTimeout, to close it, and to report a
// DialEnded.
type Dial struct {
	Upstream string
	Address  string
}

// Changed reports that the belief has changed, with what it rests on.
type Changed struct {
	CutOff bool
	// Reason names what changed it.
	Reason string
	// Upstream is the one that was reached; empty if none was.
	Upstream string
	// Unreached and Failed are the reported failures and the failed dials of a cut.
	Unreached, Failed []Evidence
	// LastReached is the age of the last answer or opened connection, -1 for none.
	LastReached clock.Millis
	// Lasted is how long the belief that ended was held.
	Lasted clock.Millis
}

// Evidence is a failure at one upstream.
type Evidence struct {
	Upstream string
	// Age is the time since the failure was reported, or since the dial began.
	Age clock.Millis
}

func (Dial) effect()    {}
func (Changed) effect() {}
