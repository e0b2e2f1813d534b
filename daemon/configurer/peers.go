package configurer

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
)

// askedPeers is the number of daemons asked at the start, when the table
// alone may answer with an older state.
const askedPeers = 3

// Peer is another daemon.
type Peer struct {
	Name   string
	Region string
	// Address is the one for other daemons.
	Address string
	// Revision is the one that the membership last told.
	Revision int64
}

// Told is what a peer answers about itself.
type Told struct {
	Revision int64
	// Ready tells whether the peer has proved that it knows the newest one.
	Ready bool
}

// Peers reaches the other daemons. Implementations are safe for concurrent
// use.
type Peers interface {
	// Await returns once the other daemons were looked for.
	Await(ctx context.Context)
	// List returns the live ones, those of the own region first.
	List() []Peer
	// Ask returns what is in force at the peer.
	Ask(ctx context.Context, peer Peer) (told Told, err error)
	// Fetch returns the changes after the revision, or a whole configuration
	// where the peer no longer has all of them.
	Fetch(ctx context.Context, peer Peer, after int64) (deltas []inventory.Delta, whole *inventory.Config, err error)
	// PushAll brings an accepted change to every peer.
	PushAll(ctx context.Context, revision int64, delta inventory.Delta)
}

// answers is what several peers told.
type answers struct {
	// revision is the highest one.
	revision int64
	// proved tells whether a peer that is ready answered.
	proved bool
}

// followPeers fetches what another daemon has in force and this one has not.
// Until this daemon is ready, or while the table is down, some are asked
// themselves; later the membership tells.
func (c *Configurer) followPeers(ctx context.Context, down bool) (told answers, err error) {
	if c.Peers == nil {
		return told, nil
	}
	var best Peer
	for _, p := range c.Peers.List() {
		if p.Revision > best.Revision {
			best = p
		}
	}
	if !c.Ready() || down {
		told, best = c.askSome(ctx, best)
	}
	told.revision = max(told.revision, best.Revision)
	if best.Revision <= c.Current().Revision {
		return told, nil
	}
	return told, c.fetch(ctx, best)
}

// askSome asks a few peers, the best known one among them.
func (c *Configurer) askSome(ctx context.Context, best Peer) (told answers, newest Peer) {
	list := c.Peers.List()
	list = list[:min(askedPeers, len(list))]
	if best.Name != "" {
		list = append([]Peer{best}, list...)
	}
	newest = best
	for _, p := range list {
		answer, err := c.Peers.Ask(ctx, p)
		if err != nil {
			klog.V(1).InfoS("daemon did not tell its revision", "daemon", p.Name, "err", err)
			continue
		}
		told.revision = max(told.revision, answer.Revision)
		told.proved = told.proved || answer.Ready
		if answer.Revision > newest.Revision {
			newest = p
			newest.Revision = answer.Revision
		}
	}
	return told, newest
}

var errNothingFetched = errors.New("the daemon gave nothing newer")

// fetch takes over what the peer has.
func (c *Configurer) fetch(ctx context.Context, peer Peer) (err error) {
	before := c.Current().Revision
	deltas, whole, err := c.Peers.Fetch(ctx, peer, before)
	if err != nil {
		return err
	}
	if whole != nil {
		c.advance(whole, nil)
	}
	if err = c.applyAll(deltas); err != nil {
		return err
	}
	if c.Current().Revision == before {
		return errNothingFetched
	}
	klog.InfoS("configuration taken from a daemon", "daemon", peer.Name, "revision", c.Current().Revision)
	return nil
}

// Take brings a pushed change in force where it is the next one, and tells
// whether changes before it are missing here.
func (c *Configurer) Take(revision int64, delta inventory.Delta) (missing bool, err error) {
	c.setup()
	if revision != delta.Base+1 {
		return false, errors.New("the revision does not follow the base of the change")
	}
	present := c.Current().Revision
	if delta.Base > present || !c.Ready() {
		return delta.Base > present, nil
	}
	return false, c.applyAll([]inventory.Delta{delta})
}

// Since returns the changes after the revision, oldest first, and false where
// they are no longer all at hand.
func (c *Configurer) Since(after int64) (deltas []inventory.Delta, all bool) {
	c.setup()
	present := c.Current().Revision
	for _, d := range c.recent.items() {
		if d.Base >= after {
			deltas = append(deltas, d)
		}
	}
	return deltas, after >= present || len(deltas) > 0 && deltas[0].Base == after
}
