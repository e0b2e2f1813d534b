package configurer

import (
	"context"
	"errors"

	"k8s.io/klog/v2"

	"yuccaspread/common/inventory"
)

// maxAskedPeers bounds the daemons that are asked for their revision, besides the
// one with the highest known revision, until this daemon is ready or while the table
// is down. At the start the table alone is not enough, because it may return an older
// state.
const maxAskedPeers = 3

// Peer is another daemon.
type Peer struct {
	Name   string
	Region string
	// Address is the address for calls of other daemons.
	Address string
	// Revision is the revision last reported through the membership.
	Revision int64
}

// PeerStatus is what a peer reports about itself.
type PeerStatus struct {
	Revision int64
	// Ready reports whether the peer has had the newest revision in force, see
	// Configurer.Ready.
	Ready bool
}

// Peers calls the other daemons. Implementations are safe for concurrent use.
type Peers interface {
	// AwaitDiscovery blocks until discovery of the other daemons has finished or ctx
	// ends.
	AwaitDiscovery(ctx context.Context)
	// List returns the live daemons, those of the own region first.
	List() []Peer
	// Status returns the status of the peer.
	Status(ctx context.Context, peer Peer) (status PeerStatus, err error)
	// Fetch returns the changes after the revision, or the whole configuration if
	// the peer no longer has all of them.
	Fetch(ctx context.Context, peer Peer, after int64) (deltas []inventory.Delta, whole *inventory.Config, err error)
	// PushAll sends an accepted change to every peer.
	PushAll(ctx context.Context, revision int64, delta inventory.Delta)
}

// peerAnswers summarises the answers of several peers.
type peerAnswers struct {
	// highestRevision is the highest revision that is known of any peer.
	highestRevision int64
	// anyReady reports whether a peer that is ready answered.
	anyReady bool
}

// syncFromPeers fetches the configuration of the daemon with the highest revision
// if this daemon is behind. Until this daemon is ready, or while the table is down,
// some daemons are asked for their revision; otherwise the membership provides it.
func (c *Configurer) syncFromPeers(ctx context.Context, tableDown bool) (answers peerAnswers, err error) {
	if c.Peers == nil {
		return answers, nil
	}
	var best Peer
	for _, p := range c.Peers.List() {
		if p.Revision > best.Revision {
			best = p
		}
	}
	if !c.Ready() || tableDown {
		answers, best = c.askPeers(ctx, best)
	}
	answers.highestRevision = max(answers.highestRevision, best.Revision)
	if best.Revision <= c.Current().Revision {
		return answers, nil
	}
	return answers, c.fetchFrom(ctx, best)
}

// askPeers asks a few peers for their status, among them best, the one with the
// highest known revision, if any.
func (c *Configurer) askPeers(ctx context.Context, best Peer) (answers peerAnswers, newest Peer) {
	list := c.Peers.List()
	list = list[:min(maxAskedPeers, len(list))]
	if best.Name != "" {
		list = append([]Peer{best}, list...)
	}
	newest = best
	for _, p := range list {
		status, err := c.Peers.Status(ctx, p)
		if err != nil {
			klog.V(1).InfoS("daemon did not return its revision; it is skipped", "daemon", p.Name, "err", err)
			continue
		}
		answers.highestRevision = max(answers.highestRevision, status.Revision)
		answers.anyReady = answers.anyReady || status.Ready
		if status.Revision > newest.Revision {
			newest = p
			newest.Revision = status.Revision
		}
	}
	return answers, newest
}

var errNothingNewer = errors.New("fetched nothing newer from the daemon")

// fetchFrom fetches the newer changes or the whole configuration from the peer and
// puts them in force.
func (c *Configurer) fetchFrom(ctx context.Context, peer Peer) (err error) {
	before := c.Current().Revision
	deltas, whole, err := c.Peers.Fetch(ctx, peer, before)
	if err != nil {
		return err
	}
	if whole != nil {
		c.activate(whole, nil)
	}
	if err = c.applyDeltas(deltas); err != nil {
		return err
	}
	if c.Current().Revision == before {
		return errNothingNewer
	}
	klog.InfoS("configuration fetched from a daemon", "daemon", peer.Name, "revision", c.Current().Revision)
	return nil
}

// ApplyPush puts a pushed change in force if it is the next one and this daemon is
// ready. It reports whether changes before it are missing here.
func (c *Configurer) ApplyPush(revision int64, delta inventory.Delta) (hasGap bool, err error) {
	c.setup()
	if revision != delta.Base+1 {
		return false, errors.New("revision of the pushed change does not follow its base")
	}
	current := c.Current().Revision
	if delta.Base > current || !c.Ready() {
		return delta.Base > current, nil
	}
	return false, c.applyDeltas([]inventory.Delta{delta})
}

// ChangesSince returns the changes after the revision, oldest first, and reports
// whether they are complete: older changes are no longer kept in memory.
func (c *Configurer) ChangesSince(after int64) (deltas []inventory.Delta, complete bool) {
	c.setup()
	current := c.Current().Revision
	for _, d := range c.recentChanges.items() {
		if d.Base >= after {
			deltas = append(deltas, d)
		}
	}
	return deltas, after >= current || len(deltas) > 0 && deltas[0].Base == after
}
