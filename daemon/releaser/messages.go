// Package releaser follows orders to bring a pool to another version while both versions run.
// Until the order's time is over the new version gets a small share of the requests. It is
// compared with the old one all the while, by all daemons together, and stopped once it is
// worse. Core decides and does no I/O; Releaser connects it to the schedulers, the other
// daemons and the register.
package releaser

import (
	"yuccaspread/common/clock"
	"yuccaspread/daemon/scheduler"
)

// Order asks to bring a pool to a version.
type Order struct {
	// ID is that of the row that holds the order; an order that is written again has
	// another one.
	ID string
	// Pool is the pool, To the version that it has to come to.
	Pool, To string
	// Duration is the time within which this is wanted, above 0.
	Duration clock.Millis
}

// State is how far an order is.
type State int

// The states, of which each follows only earlier ones. Stopped is final.
const (
	// Unknown stands for no state.
	Unknown State = iota
	// Testing means that the new version gets a small share.
	Testing
	// Sharing means that the order's time is over, and that both versions get requests alike.
	Sharing
	// Stopped means that the new version is worse and gets no requests.
	Stopped
)

// String returns the state in snake case, as logs show it.
func (s State) String() string { return [...]string{"unknown", "testing", "sharing", "stopped"}[s] }

// Cell identifies the requests that are compared: those on one route, of the new version or
// not.
type Cell struct {
	Route string
	New   bool
}

// Counts holds the results of the requests of a cell.
type Counts struct {
	// Requests counts the requests that an upstream has begun to answer, or failed, and
	// Failed those of them that failed.
	Requests, Failed int
	// Slow counts those that were slower than usual on the route, by slowShares.
	Slow SlowCounts
}

// SlowCounts holds a number of requests for each of slowShares.
type SlowCounts [len(slowShares)]int

func (c Counts) plus(other Counts) Counts {
	c.Requests += other.Requests
	c.Failed += other.Failed
	for level := range c.Slow {
		c.Slow[level] += other.Slow[level]
	}
	return c
}

func (c Counts) minus(other Counts) Counts {
	c.Requests -= other.Requests
	c.Failed -= other.Failed
	for level := range c.Slow {
		c.Slow[level] -= other.Slow[level]
	}
	return c
}

// Report is what a daemon knows of an order.
type Report struct {
	Daemon string
	// Order is the ID of the order, Pool its pool; the pool is not sent.
	Order string
	Pool  string
	// Age is how long the order has been known to any daemon.
	Age clock.Millis
	// Stopped is set if the new version was found worse.
	Stopped bool
	// Written is the latest state that the daemon has written for the operator.
	Written State
	// Cells holds what the daemon's schedulers have counted since the order was known.
	Cells map[Cell]Counts
}

// Message is one of the message types of Core.
type Message interface{ message() }

// Orders replaces the orders, of which each is for another pool.
type Orders struct {
	List []Order
	// Served holds the versions of each pool that have upstreams which are not leaving.
	Served map[string][]string
	// Ranks holds, for each pool with an order, how many daemons come before this one in
	// writing its state for the operator.
	Ranks map[string]int
}

// Begun reports the first token of a request, after the given time since its grant.
type Begun struct {
	Pool, Version, Route string
	FirstTokenTime       clock.Millis
}

// Ended reports the end of a request.
type Ended struct {
	Pool, Version, Route string
	// FirstTokenTime is 0 if the request had no first token; then it was not reported as begun.
	FirstTokenTime clock.Millis
	Failed         bool
}

// Heard holds the report of another daemon.
type Heard struct{ Report Report }

// Written reports that the state of an order was written for the operator.
type Written struct {
	Order string
	State State
}

// Tick advances the clock.
type Tick struct{}

func (Orders) message()  {}
func (Begun) message()   {}
func (Ended) message()   {}
func (Heard) message()   {}
func (Written) message() {}
func (Tick) message()    {}

// Effect is one of the effect types of Core.
type Effect interface{ effect() }

// SetShares sets the shares of traffic by version of a pool.
type SetShares struct {
	Pool   string
	Shares scheduler.Shares
}

// Found tells that the new version of an order was found worse here.
type Found struct {
	Order    Order
	Evidence Evidence
}

// Write asks to write the state of an order for the operator. It is repeated until Written
// comes.
type Write struct {
	Order Order
	State State
}

func (SetShares) effect() {}
func (Found) effect()     {}
func (Write) effect()     {}
