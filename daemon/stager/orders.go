package stager

import (
	"slices"

	"yuccaspread/common/clock"
)

// Timing of orders.
const (
	// OrderTimeout bounds the call that sends an order. An order is sent only
	// while the leader's lease lasts longer than that.
	OrderTimeout = 2 * clock.Second
	// UnfencedOrderDelay is how long a new leader waits before it sends orders to
	// an upstream that does not check fencing numbers. The orders of an earlier
	// leader have ended after the duration of a lease and of an order's call.
	UnfencedOrderDelay = LeaseSpan + OrderTimeout
	// LeaseSpan is the duration of the leader's lease.
	LeaseSpan = 10 * clock.Second
	// resendInterval is the time after which an order without a reported effect
	// is sent again.
	resendInterval = 10 * clock.Second
	// maxReportAge is the age of the last report beyond which the upstream is
	// taken to be away.
	maxReportAge = 15 * clock.Second
	// maxConcurrentLoads is the maximum number of upstreams that load weights for
	// one move at the same time.
	maxConcurrentLoads = 4
)

// Report is the state that an upstream reports.
type Report struct {
	// At is when the report was read, by the present leader's clock; 0 for never.
	At clock.Millis
	// Version is the version that new requests run on.
	Version string
	// Loaded are the versions in memory, Loading is the one being loaded.
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

// OrderKind is the kind of an order.
type OrderKind string

// The kinds. Each order states the desired state, so that it is idempotent.
const (
	// OrderLoad asks for the version in memory; with Serve, also that new requests
	// run on it.
	OrderLoad OrderKind = "load"
	// OrderUnload asks for the version to be removed from memory once its requests
	// are done.
	OrderUnload OrderKind = "unload"
)

// Order is an order to one upstream.
type Order struct {
	Upstream string    `json:"upstream"`
	Kind     OrderKind `json:"kind"`
	Version  string    `json:"version"`
	Serve    bool      `json:"serve,omitempty"`
	// Move is the name of the move that caused the order.
	Move string `json:"move"`
}

// sentOrder is an order whose effect has not been reported yet.
type sentOrder struct {
	order  Order
	sentAt clock.Millis
}

// desiredState is the state that an upstream is to reach.
type desiredState struct {
	// serve is the version for new requests.
	serve string
	// load is a second version to keep in memory, empty for none.
	load string
	// unload is a version to remove from memory, empty for none.
	unload string
}

// nextOrder returns the next order towards the desired state. needed is false if
// the upstream has reached it.
func (d desiredState) nextOrder(u Upstream, move string) (order Order, needed bool) {
	loaded := func(version string) bool { return slices.Contains(u.Report.Loaded, version) }
	order = Order{Upstream: u.Name, Move: move, Kind: OrderLoad}
	switch {
	case u.Report.Version != d.serve:
		order.Version, order.Serve = d.serve, true
		return order, true
	case d.load != "" && !loaded(d.load):
		order.Version = d.load
		return order, true
	case d.unload != "" && (loaded(d.unload) || u.Report.Loading == d.unload):
		order.Kind, order.Version = OrderUnload, d.unload
		return order, true
	}
	return order, false
}

// planOrders returns the orders to send now. The number of concurrent loads is
// bounded, an order without effect is sent again only after resendInterval, and
// no order goes to an upstream whose state was not read since this leader may
// send orders to it.
func (s *Stager) planOrders(in Input, ordered []Upstream, desired func(Upstream) desiredState) (orders []Order) {
	if s.sent == nil {
		s.sent = map[string]sentOrder{}
	}
	loads := 0
	for _, u := range ordered {
		if u.Report.Loading != "" {
			loads++
		}
	}
	for _, u := range ordered {
		order, needed := desired(u).nextOrder(u, in.Move.Name)
		if !needed {
			delete(s.sent, u.Name)
			continue
		}
		if !mayOrder(in, u) || s.isPending(in.Now, u, order) {
			continue
		}
		startsLoad := order.Kind == OrderLoad && !slices.Contains(u.Report.Loaded, order.Version) && u.Report.Loading != order.Version
		if startsLoad && loads >= maxConcurrentLoads {
			continue
		}
		if startsLoad {
			loads++
		}
		s.sent[u.Name] = sentOrder{order: order, sentAt: in.Now}
		orders = append(orders, order)
	}
	return orders
}

// isPending reports whether the order was sent within resendInterval or is being
// carried out.
func (s *Stager) isPending(now clock.Millis, u Upstream, order Order) bool {
	last, found := s.sent[u.Name]
	if found && last.order == order && now < last.sentAt+resendInterval {
		return true
	}
	// A load in progress needs no second order. If the version is also to serve,
	// that is ordered once it is loaded.
	return order.Kind == OrderLoad && u.Report.Loading == order.Version
}

// isAway reports whether the upstream is away: its last report is older than
// maxReportAge. The age counts from the beginning of the leadership if there was
// no report since.
func isAway(in Input, u Upstream) bool {
	return in.Now > max(u.Report.At, in.LeaderSince)+maxReportAge
}

// mayOrder reports whether this leader may send orders to the upstream and has
// read its state since it may.
func mayOrder(in Input, u Upstream) bool {
	earliest := in.LeaderSince
	if !u.ChecksFencing {
		earliest += UnfencedOrderDelay
	}
	return u.Report.At > 0 && in.Now >= earliest && u.Report.At >= earliest
}
