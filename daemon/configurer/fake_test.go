package configurer_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/configurer"
)

var errDown = errors.New("down")

// table is a platform.Table in memory with faults.
type table struct {
	mu      sync.Mutex
	version int64
	rows    map[string]platform.Row
	// older answers reads in place of rows while it is not nil.
	older map[string]platform.Row
	down  bool
	// lose makes this share of the applied transactions lose their replies.
	lose   float64
	random *rand.Rand
}

func newTable() *table {
	return &table{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(7, 7))}
}

func (t *table) set(change func(t *table)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *table) reads() (rows map[string]platform.Row, err error) {
	if t.down {
		return nil, &platform.Error{Op: "table.read", Certainty: platform.NotDone, Err: errDown}
	}
	if t.older != nil {
		return t.older, nil
	}
	return t.rows, nil
}

func (t *table) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, err := t.reads()
	for _, key := range keys {
		if row, found := all[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, err
}

func (t *table) Scan(_ context.Context, prefix, from string, limit int) (rows []platform.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, err := t.reads()
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if strings.HasPrefix(key, prefix) && key >= from && len(rows) < limit {
			rows = append(rows, all[key])
		}
	}
	return rows, err
}

func (t *table) Apply(_ context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return result, &platform.Error{Op: "table.apply", Certainty: platform.NotDone, Err: errDown}
	}
	result.Applied = true
	for _, c := range txn.Conditions {
		row, found := t.rows[c.Key]
		if found {
			result.Rows = append(result.Rows, row)
		}
		result.Applied = result.Applied && row.Version == c.Version
	}
	if !result.Applied {
		return result, nil
	}
	result.Rows = nil
	t.version++
	result.Version = t.version
	for _, w := range txn.Writes {
		delete(t.rows, w.Key)
		if !w.Delete {
			t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: t.version}
		}
	}
	if t.random.Float64() < t.lose {
		return platform.TxnResult{}, &platform.Error{Op: "table.apply", Certainty: platform.Unknown, Err: errDown}
	}
	return result, nil
}

// objects is a platform.ObjectStore in memory.
type objects struct{ sync.Map }

func (o *objects) Get(_ context.Context, name string) (value []byte, err error) {
	content, found := o.Load(name)
	if !found {
		return nil, platform.ErrNotFound
	}
	return content.([]byte), nil
}

func (o *objects) Put(_ context.Context, name string, value []byte) error {
	o.Store(name, value)
	return nil
}

func (o *objects) Delete(_ context.Context, name string) error {
	o.Map.Delete(name)
	return nil
}

// peers joins configurers without a network.
type peers struct {
	others []*configurer.Configurer
	// loses tells whether pushes are lost, cut whether all calls fail.
	loses, cut bool
}

func (p *peers) Await(context.Context) {}

func (p *peers) List() (list []configurer.Peer) {
	for i, other := range p.others {
		list = append(list, configurer.Peer{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Revision: other.Current().Revision})
	}
	return list
}

func (p *peers) find(peer configurer.Peer) *configurer.Configurer {
	for i, other := range p.others {
		if fmt.Sprint(i) == peer.Name {
			return other
		}
	}
	return nil
}

func (p *peers) Ask(_ context.Context, peer configurer.Peer) (told configurer.Told, err error) {
	if p.cut {
		return told, errDown
	}
	other := p.find(peer)
	return configurer.Told{Revision: other.Current().Revision, Ready: other.Ready()}, nil
}

func (p *peers) Fetch(_ context.Context, peer configurer.Peer, after int64) (deltas []inventory.Delta, whole *inventory.Config, err error) {
	if p.cut {
		return nil, nil, errDown
	}
	deltas, all := p.find(peer).Since(after)
	if all {
		return deltas, nil, nil
	}
	return nil, p.find(peer).Current(), nil
}

func (p *peers) PushAll(_ context.Context, revision int64, delta inventory.Delta) {
	if p.loses || p.cut {
		return
	}
	for _, other := range p.others {
		_, _ = other.Take(revision, delta)
	}
}

// daemons returns configurers that share the table and know each other.
func daemons(t *testing.T, table *table, count int) (all []*configurer.Configurer) {
	t.Helper()
	store := &objects{}
	for i := range count {
		all = append(all, &configurer.Configurer{
			Table: table, Objects: store, Clock: &clock.Manual{}, Daemon: fmt.Sprint(i), Peers: &peers{},
		})
	}
	for i, c := range all {
		for j, other := range all {
			if i != j {
				c.Peers.(*peers).others = append(c.Peers.(*peers).others, other)
			}
		}
	}
	for _, c := range all {
		if err := c.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// pool returns a change that sets the version of a pool.
func pool(base int64, id, name, version string) inventory.Delta {
	value, _ := json.Marshal(inventory.Pool{Name: name, Kind: inventory.PoolService, Version: version})
	return inventory.Delta{
		Base: base, ChangeID: id, Author: "a",
		Set: []inventory.Entry{{Key: inventory.Key{Kind: inventory.PoolKindEntry, Name: name}, Value: value}},
	}
}

// commit accepts a change on top of what is in force.
func commit(t *testing.T, c *configurer.Configurer, id string) int64 {
	t.Helper()
	revision, err := c.Commit(t.Context(), pool(c.Current().Revision, id, "p", id))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func version(c *configurer.Configurer) string {
	p, _ := inventory.Lookup(c.Current().Pools, "p")
	return p.Version
}
