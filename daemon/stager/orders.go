package stager

import (
	"slices"

	"yuccaspread/common/clock"
)

// Timing of orders.
const (
	// OrderTimeout bounds one order's call. An order is sent only while the
	// lease lasts at least that long.
	OrderTimeout = 2 * clock.Second
	// Quiet is how long a new leader waits before it orders an upstream that
	// does not check fencing numbers: a lease and an order's timeout.
	Quiet = LeaseSpan + OrderTimeout
	// LeaseSpan is the leader's lease.
	LeaseSpan = 10 * clock.Second
	// repeatAfter is the time after which an order that shows no effect is
	// sent again.
	repeatAfter = 10 * clock.Second
	// reportAge is the age from which on a report counts as none: the upstream
	// is then taken to be away.
	reportAge = 15 * clock.Second
	// maxLoads bounds the loads of weights in progress of one move.
	maxLoads = 4
)

// Report is what an upstream says about itself.
type Report struct {
	// At is when it was read by the present leader's clock; 0 for never.
	At clock.Millis
	// Version is the one that new requests run on.
	Version string
	// Loaded are the versions in memory, Loading the one on its way there.
	Loaded  []string
	Loading string
}

// Upstream is one upstream of the pool with its last report.
type Upstream struct {
	Name          string
	Region        string
	Generation    string
	Slots         int
	ChecksFencing bool
	Report        Report
}

// OrderKind names what an order asks for.
type OrderKind string

// The kinds. Each states a wanted end state, so that a repeat changes nothing.
const (
	// OrderLoad wants the version in memory; with Serve, new requests run on it.
	OrderLoad OrderKind = "load"
	// OrderUnload wants the version out of memory once its requests are done.
	OrderUnload OrderKind = "unload"
)

// Order is one order to one upstream.
type Order struct {
	Upstream string    `json:"upstream"`
	Kind     OrderKind `json:"kind"`
	Version  string    `json:"version"`
	Serve    bool      `json:"serve,omitempty"`
	// Move names the cause.
	Move string `json:"move"`
}

// sent remembers an order until its effect is reported.
type sent struct {
	order Order
	at    clock.Millis
}

// wish is the wanted state of an upstream.
type wish struct {
	// serve is the version for new requests.
	serve string
	// load is a version wanted in memory beside it, empty for none.
	load string
	// unload is a version no longer wanted, empty for none.
	unload string
}

// next returns the order that brings the upstream nearer to the wish.
func (w wish) next(u Upstream, move string) (order Order, needed bool) {
	loaded := func(version string) bool { return slices.Contains(u.Report.Loaded, version) }
	order = Order{Upstream: u.Name, Move: move, Kind: OrderLoad}
	switch {
	case u.Report.Version != w.serve:
		order.Version, order.Serve = w.serve, true
		return order, true
	case w.load != "" && !loaded(w.load):
		order.Version = w.load
		return order, true
	case w.unload != "" && (loaded(w.unload) || u.Report.Loading == w.unload):
		order.Kind, order.Version = OrderUnload, w.unload
		return order, true
	}
	return order, false
}

// orders returns what to send now. Loads in progress are bounded, an order
// without effect is repeated only after a while, and nothing goes to an
// upstream whose state was not read since this leader may order it.
func (s *Stager) orders(in Input, ordered []Upstream, wanted func(Upstream) wish) (out []Order) {
	if s.sent == nil {
		s.sent = map[string]sent{}
	}
	loads := 0
	for _, u := range ordered {
		if u.Report.Loading != "" {
			loads++
		}
	}
	for _, u := range ordered {
		order, needed := wanted(u).next(u, in.Move.Name)
		if !needed {
			delete(s.sent, u.Name)
			continue
		}
		if !mayOrder(in, u) || s.pending(in.Now, u, order) {
			continue
		}
		starts := order.Kind == OrderLoad && !slices.Contains(u.Report.Loaded, order.Version) && u.Report.Loading != order.Version
		if starts && loads >= maxLoads {
			continue
		}
		if starts {
			loads++
		}
		s.sent[u.Name] = sent{order: order, at: in.Now}
		out = append(out, order)
	}
	return out
}

// pending tells whether the order is on its way already.
func (s *Stager) pending(now clock.Millis, u Upstream, order Order) bool {
	last, found := s.sent[u.Name]
	if found && last.order == order && now < last.at+repeatAfter {
		return true
	}
	// A load in progress that will end as wanted needs no second order; one
	// that shall also serve is ordered to once it is loaded.
	return order.Kind == OrderLoad && u.Report.Loading == order.Version
}

// away tells whether the upstream has not reported for long. One that has
// never reported gets as long from the beginning of the leadership.
func away(in Input, u Upstream) bool {
	return in.Now > max(u.Report.At, in.LeaderSince)+reportAge
}

// mayOrder tells whether this leader knows the upstream's state well enough.
func mayOrder(in Input, u Upstream) bool {
	from := in.LeaderSince
	if !u.ChecksFencing {
		from += Quiet
	}
	return u.Report.At > 0 && in.Now >= from && u.Report.At >= from
}
