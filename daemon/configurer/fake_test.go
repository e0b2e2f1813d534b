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

// fakeTable is a platform.Table in memory with faults.
type fakeTable struct {
	mu      sync.Mutex
	version int64
	rows    map[string]platform.Row
	// staleRows is read instead of rows while it is not nil.
	staleRows map[string]platform.Row
	down      bool
	// lostReplyShare is the share of applied transactions whose reply is lost.
	lostReplyShare float64
	random         *rand.Rand
}

func newTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, random: rand.New(rand.NewPCG(7, 7))}
}

// update changes the rows or faults while no call runs.
func (t *fakeTable) update(change func(t *fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *fakeTable) readableRows() (rows map[string]platform.Row, err error) {
	if t.down {
		return nil, &platform.Error{Op: "table.read", Effect: platform.NoEffect, Err: errDown}
	}
	if t.staleRows != nil {
		return t.staleRows, nil
	}
	return t.rows, nil
}

func (t *fakeTable) Read(_ context.Context, keys ...string) (rows []platform.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, err := t.readableRows()
	for _, key := range keys {
		if row, found := all[key]; found {
			rows = append(rows, row)
		}
	}
	return rows, err
}

func (t *fakeTable) Scan(_ context.Context, prefix, from string, limit int) (rows []platform.Row, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, err := t.readableRows()
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if strings.HasPrefix(key, prefix) && key >= from && len(rows) < limit {
			rows = append(rows, all[key])
		}
	}
	return rows, err
}

func (t *fakeTable) Apply(_ context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return result, &platform.Error{Op: "table.apply", Effect: platform.NoEffect, Err: errDown}
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
	if t.random.Float64() < t.lostReplyShare {
		return platform.TxnResult{}, &platform.Error{Op: "table.apply", Effect: platform.EffectUnknown, Err: errDown}
	}
	return result, nil
}

// memoryObjects is a platform.ObjectStore in memory.
type memoryObjects struct{ sync.Map }

func (o *memoryObjects) Get(_ context.Context, name string) (value []byte, err error) {
	content, found := o.Load(name)
	if !found {
		return nil, platform.ErrNotFound
	}
	return content.([]byte), nil
}

func (o *memoryObjects) Put(_ context.Context, name string, value []byte) error {
	o.Store(name, value)
	return nil
}

func (o *memoryObjects) Delete(_ context.Context, name string) error {
	o.Map.Delete(name)
	return nil
}

// fakePeers connects configurers without a network.
type fakePeers struct {
	others []*configurer.Configurer
	// losesPushes drops all pushes; unreachable also makes Status and Fetch fail.
	losesPushes, unreachable bool
}

func (p *fakePeers) AwaitDiscovery(context.Context) {}

func (p *fakePeers) List() (list []configurer.Peer) {
	for i, other := range p.others {
		list = append(list, configurer.Peer{Name: fmt.Sprint(i), Address: fmt.Sprint(i), Revision: other.Current().Revision})
	}
	return list
}

func (p *fakePeers) find(peer configurer.Peer) *configurer.Configurer {
	for i, other := range p.others {
		if fmt.Sprint(i) == peer.Name {
			return other
		}
	}
	return nil
}

func (p *fakePeers) Status(_ context.Context, peer configurer.Peer) (status configurer.PeerStatus, err error) {
	if p.unreachable {
		return status, errDown
	}
	other := p.find(peer)
	return configurer.PeerStatus{Revision: other.Current().Revision, Ready: other.Ready()}, nil
}

func (p *fakePeers) Fetch(_ context.Context, peer configurer.Peer, after int64) (deltas []inventory.Delta, whole *inventory.Config, err error) {
	if p.unreachable {
		return nil, nil, errDown
	}
	deltas, complete := p.find(peer).ChangesSince(after)
	if complete {
		return deltas, nil, nil
	}
	return nil, p.find(peer).Current(), nil
}

func (p *fakePeers) PushAll(_ context.Context, revision int64, delta inventory.Delta) {
	if p.losesPushes || p.unreachable {
		return
	}
	for _, other := range p.others {
		_, _ = other.ApplyPush(revision, delta)
	}
}

// newDaemons returns configurers that share the table and are peers of each other.
func newDaemons(t *testing.T, table *fakeTable, count int) (daemons []*configurer.Configurer) {
	t.Helper()
	objects := &memoryObjects{}
	for i := range count {
		daemons = append(daemons, &configurer.Configurer{
			Table: table, Objects: objects, Clock: &clock.Manual{}, Daemon: fmt.Sprint(i), Peers: &fakePeers{},
		})
	}
	for i, c := range daemons {
		for j, other := range daemons {
			if i != j {
				c.Peers.(*fakePeers).others = append(c.Peers.(*fakePeers).others, other)
			}
		}
	}
	for _, c := range daemons {
		if err := c.Poll(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return daemons
}

// poolChange returns a change that sets the version of a pool.
func poolChange(base int64, id, name, version string) inventory.Delta {
	value, _ := json.Marshal(inventory.Pool{Name: name, Kind: inventory.PoolService, Version: version})
	return inventory.Delta{
		Base: base, ChangeID: id, Author: "a",
		Set: []inventory.Entry{{Key: inventory.Key{Kind: inventory.PoolEntryKind, Name: name}, Value: value}},
	}
}

// mustCommit commits a change of the pool p on top of the revision in force.
func mustCommit(t *testing.T, c *configurer.Configurer, id string) int64 {
	t.Helper()
	revision, err := c.Commit(t.Context(), poolChange(c.Current().Revision, id, "p", id))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

// poolVersion returns the version of the pool p that is in force.
func poolVersion(c *configurer.Configurer) string {
	p, _ := inventory.Lookup(c.Current().Pools, "p")
	return p.Version
}
