package configurer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
	"yuccaspread/daemon/connector"
	"yuccaspread/daemon/gossiper"
)

// Limits of the calls between daemons.
const (
	// callTimeout bounds a call that asks for a revision or pushes a change, and
	// fetchTimeout one that fetches changes or a whole configuration.
	callTimeout  = 1 * clock.Second
	fetchTimeout = 10 * clock.Second
	// fetchSilence is the time without any piece after which a fetch ends: its connection may be
	// dead, and the daemon polls nothing else until then.
	fetchSilence = 2 * clock.Second
	// maxParallelPushes bounds the daemons that a change is pushed to at once.
	maxParallelPushes = 32
	// pieceBytes is the size of one message of a fetched document, in bytes.
	pieceBytes = 256 << 10
	// discoveryCheckInterval is the time between two checks whether discovery of
	// the other daemons has finished.
	discoveryCheckInterval = 50 * clock.Millisecond
)

// Membership is what Exchanger needs of a gossiper.Gossiper.
type Membership interface {
	gossiper.View
	// DiscoveryDone reports whether other daemons were found or there are none.
	DiscoveryDone() bool
}

// Exchanger implements Peers over drpc. Its exported fields are set before use.
type Exchanger struct {
	Members   Membership
	Connector *connector.Connector
}

// AwaitDiscovery implements Peers.
func (x *Exchanger) AwaitDiscovery(ctx context.Context) {
	for !x.Members.DiscoveryDone() {
		select {
		case <-time.After(discoveryCheckInterval.Duration()):
		case <-ctx.Done():
			return
		}
	}
}

// List implements Peers.
func (x *Exchanger) List() (peers []Peer) {
	self := x.Members.Self()
	for _, m := range x.Members.Members() {
		if m.Name != self.Name {
			peers = append(peers, Peer{Name: m.Name, Region: m.Region, Address: m.PeerListen, Revision: m.Revision})
		}
	}
	slices.SortStableFunc(peers, func(a, b Peer) int {
		switch {
		case a.Region == b.Region:
			return 0
		case a.Region == self.Region:
			return -1
		case b.Region == self.Region:
			return 1
		default:
			return 0
		}
	})
	return peers
}

// Status implements Peers.
func (x *Exchanger) Status(ctx context.Context, peer Peer) (status PeerStatus, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	conn := x.Connector.PooledConn(ctx, peer.Address)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCConfigurationClient(conn).Revision(ctx, &wire.RevisionRequest{})
	if err != nil {
		return status, err
	}
	return PeerStatus{Revision: reply.GetRevision(), Ready: reply.GetReady()}, nil
}

// PushAll implements Peers. A daemon that misses a push gets the change by polling.
func (x *Exchanger) PushAll(ctx context.Context, revision int64, delta inventory.Delta) {
	delta.Replaced = nil
	content, err := json.Marshal(delta)
	if err != nil {
		klog.ErrorS(err, "change not pushed to any daemon; daemons get it by polling", "revision", revision)
		return
	}
	slots := make(chan struct{}, maxParallelPushes)
	var wait sync.WaitGroup
	for _, peer := range x.List() {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			if err := x.push(ctx, peer, &wire.PushRequest{Revision: revision, Delta: content}); err != nil {
				klog.V(1).InfoS("change not pushed to a daemon; it gets the change by polling", "revision", revision, "daemon", peer.Name, "err", err)
			}
		})
	}
	wait.Wait()
}

func (x *Exchanger) push(ctx context.Context, peer Peer, req *wire.PushRequest) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	conn := x.Connector.PooledConn(ctx, peer.Address)
	defer func() { _ = conn.Close() }()
	_, err = wire.NewDRPCConfigurationClient(conn).Push(ctx, req)
	return err
}

// Fetch implements Peers.
func (x *Exchanger) Fetch(ctx context.Context, peer Peer, after int64) (deltas []inventory.Delta, whole *inventory.Config, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	silence := time.AfterFunc(fetchSilence.Duration(), cancel)
	defer silence.Stop()
	conn, err := x.Connector.NewConn(ctx, peer.Address)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCConfigurationClient(conn).Fetch(ctx, &wire.FetchRequest{After: after})
	if err != nil {
		return nil, nil, err
	}
	var content []byte
	isWhole := false
	for {
		piece, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, nil, err
		}
		silence.Reset(fetchSilence.Duration())
		isWhole = piece.GetWhole()
		content = append(content, piece.GetContent()...)
	}
	if isWhole {
		whole, err = unpack[*inventory.Config](content)
		return nil, whole, err
	}
	deltas, err = unpack[[]inventory.Delta](content)
	return deltas, nil, err
}

// Server serves the calls of other daemons. Its exported fields are set before
// Register.
type Server struct {
	Configurer *Configurer
}

// Register registers the service at mux.
func (s *Server) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterConfiguration(mux, s)
}

// Push implements wire.DRPCConfigurationServer.
func (s *Server) Push(_ context.Context, in *wire.PushRequest) (out *wire.RevisionReply, err error) {
	var delta inventory.Delta
	if err = json.Unmarshal(in.GetDelta(), &delta); err != nil {
		return nil, err
	}
	hasGap, err := s.Configurer.ApplyPush(in.GetRevision(), delta)
	if err != nil {
		return nil, err
	}
	if hasGap {
		s.Configurer.requestPoll()
	}
	return s.revisionReply(), nil
}

// Revision implements wire.DRPCConfigurationServer.
func (s *Server) Revision(context.Context, *wire.RevisionRequest) (out *wire.RevisionReply, err error) {
	return s.revisionReply(), nil
}

func (s *Server) revisionReply() *wire.RevisionReply {
	return &wire.RevisionReply{Revision: s.Configurer.Current().Revision, Ready: s.Configurer.Ready()}
}

// Fetch implements wire.DRPCConfigurationServer.
func (s *Server) Fetch(in *wire.FetchRequest, stream wire.DRPCConfiguration_FetchStream) (err error) {
	deltas, complete := s.Configurer.ChangesSince(in.GetAfter())
	var value any = deltas
	if !complete {
		value = s.Configurer.Current()
	}
	content, err := pack(value)
	if err != nil {
		return err
	}
	for piece := range slices.Chunk(content, pieceBytes) {
		if err = stream.Send(&wire.FetchPiece{Whole: !complete, Content: piece}); err != nil {
			return err
		}
	}
	return stream.CloseSend()
}
