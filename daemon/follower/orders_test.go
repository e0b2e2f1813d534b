package follower

import (
	"fmt"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// orderDecoder decodes orders of the form "pool version", under keys that begin with "o/".
type orderDecoder struct{ testDecoder }

func (orderDecoder) ReleaseOrder(key string, value []byte) (order inventory.ReleaseOrder, isOrder bool, err error) {
	if !strings.HasPrefix(key, "o/") {
		return order, false, nil
	}
	_, err = fmt.Sscan(string(value), &order.Pool, &order.Version)
	return order, true, err
}

// TestOrdersFollowTheirRows guards against orders that are hidden by rows which can't be decoded,
// that outlast their rows, or of which an older one wins.
func TestOrdersFollowTheirRows(t *testing.T) {
	f := &Follower{Tables: Tables{Config: "c", ConfigKey: "k", Upstreams: "u"}, Clock: &manualClock{now: 1000}, Decoder: orderDecoder{}}
	f.setup()
	for i, step := range []struct {
		rows []Row
		want string
	}{
		{[]Row{{Key: "o/a", Value: []byte("a v2"), Version: 5}, {Key: "other", Value: []byte("a v9"), Version: 6}}, "a v2 5"},
		{[]Row{{Key: "o/b", Value: []byte("?"), Version: 7}, {Key: "o/c", Value: []byte("c v2"), Version: 8}}, "a v2 5, c v2 8"},
		{[]Row{{Key: "o/a2", Value: []byte("a v3"), Version: 9}}, "a v3 9, c v2 8"},
		{[]Row{{Key: "o/a2", Removed: true, Version: 10}}, "a v2 5, c v2 8"},
		{[]Row{{Key: "o/a", Removed: true, Version: 11}, {Key: "o/c", Removed: true, Version: 12}}, ""},
	} {
		newest := Version(0)
		for j := range step.rows {
			step.rows[j].Table = f.Tables.Config
			newest = max(newest, step.rows[j].Version)
		}
		f.mu.Lock()
		f.applyChanges(f.replica.ApplyFeed(f.Tables.Config, step.rows, newest), "test")
		f.mu.Unlock()
		var got []string
		for _, o := range f.ReleaseOrders() {
			got = append(got, fmt.Sprint(o.Pool, " ", o.Version, " ", o.RowVersion.Number()))
		}
		if text := strings.Join(got, ", "); text != step.want {
			t.Errorf("step %d: orders are %q, want %q", i, text, step.want)
		}
	}
}
