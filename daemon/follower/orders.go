package follower

import (
	"maps"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
)

// ReleaseOrder is an order in the register.
type ReleaseOrder struct {
	inventory.ReleaseOrder

	RowVersion Version
}

// ReleaseOrders returns the orders in force, at most one for each pool, sorted by pool. The
// result must not be changed.
func (f *Follower) ReleaseOrders() []ReleaseOrder {
	if orders := f.orders.Load(); orders != nil {
		return *orders
	}
	return nil
}

// applyOrders puts the newest order of each pool in force. It is called with mu held.
func (f *Follower) applyOrders(origin string) {
	newest := map[string]ReleaseOrder{}
	for _, row := range f.replica.Rows(f.Tables.Config) {
		if row.Key == f.Tables.ConfigKey {
			continue
		}
		order, isOrder, err := f.Decoder.ReleaseOrder(row.Key, row.Value)
		switch {
		case err != nil:
			klog.ErrorS(err, "order can't be decoded and is not followed", "key", row.Key, "row_version", row.Version, "from", origin)
		case isOrder && row.Version > newest[order.Pool].RowVersion:
			newest[order.Pool] = ReleaseOrder{order, row.Version}
		}
	}
	orders := slices.SortedFunc(maps.Values(newest), func(a, b ReleaseOrder) int { return strings.Compare(a.Pool, b.Pool) })
	if slices.Equal(orders, f.ReleaseOrders()) {
		return
	}
	f.orders.Store(&orders)
	for _, o := range orders {
		klog.InfoS("order for a version in force", "pool", o.Pool, "version", o.Version, "duration_ms", o.Duration, "row_version", o.RowVersion, "from", origin)
	}
	if len(orders) == 0 {
		klog.InfoS("no order for a version in force", "from", origin)
	}
}
