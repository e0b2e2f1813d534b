package granter_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"storj.io/drpc/drpcconn"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/classifier"
	"yuccaspread/daemon/gossiper"
	"yuccaspread/daemon/granter"
	"yuccaspread/daemon/reserver"
	"yuccaspread/daemon/scheduler"
)

// maxBytesPerRequest bounds the control traffic of one request on the wire, in
// both directions.
const maxBytesPerRequest = 400

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newRemotePair returns an ingress whose shard is scheduled by another daemon
// with the real scheduler, and the count of the bytes between them.
func newRemotePair(t testing.TB) (ingress *node, bytes *atomic.Int64) {
	c := newCluster(t, 100)
	c.changeConfig(func(config *inventory.Config) {
		config.Upstreams[0].Name = "wien-a-model-17"
		config.Tiers = []inventory.Tier{{Name: "question", FirstTokenMS: 860, TokenGapMS: 75}}
	})
	c.newDecider = func() granter.Decider { return &scheduler.State{} }
	c.start("entry-1", region)
	c.start("entry-2", region)
	ingress = c.otherThan(c.scheduler())
	bytes = &atomic.Int64{}
	ingress.remote.Dial = func(ctx context.Context, to gossiper.Member) (reserver.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.PeerListen)
		if err != nil {
			return nil, err
		}
		return reserver.NewConn(ctx, drpcconn.New(countingConn{conn, bytes}))
	}
	return ingress, bytes
}

// newLongRequest returns a request with the maximum of 32 prefix hashes.
func newLongRequest() *classifier.Request {
	req := newRequest(clock.Minute)
	req.Organisation = "directorate-importer-12345"
	req.PromptTokens, req.MaxTokens, req.Fingerprint = 2_500, 1_000, 1<<63+12345
	for i := range 32 {
		req.PrefixHashes = append(req.PrefixHashes, uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return req
}

// runRequest reserves a slot and uses it to a complete answer.
func runRequest(t testing.TB, ingress *node, req *classifier.Request) {
	slot, err := ingress.remote.Reserve(context.Background(), req, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !slot.Confirm() {
		t.Fatal("Confirm returned false for a new slot")
	}
	slot.FirstToken(1_024)
	slot.End(reserver.Usage{Outcome: reserver.Completed, OutputTokens: 700})
}

// TestControlMessagesOfARequestStaySmall guards against control messages that
// grow beyond maxBytesPerRequest a request, here for requests with all prefix
// hashes over a real connection.
func TestControlMessagesOfARequestStaySmall(t *testing.T) {
	ingress, bytes := newRemotePair(t)
	runRequest(t, ingress, newLongRequest())
	before := bytes.Load()
	const count = 200
	for range count {
		runRequest(t, ingress, newLongRequest())
	}
	perRequest := float64(bytes.Load()-before) / count
	t.Logf("%.1f bytes a request", perRequest)
	if perRequest >= maxBytesPerRequest {
		t.Errorf("%.1f bytes a request", perRequest)
	}
}

// BenchmarkAskToGrant measures the time from an ask to its grant over drpc, for
// requests with 0, 8 and 32 prefix hashes.
func BenchmarkAskToGrant(b *testing.B) {
	for _, blocks := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) { benchmarkAskToGrant(b, blocks) })
	}
}

func benchmarkAskToGrant(b *testing.B, blocks int) {
	ingress, bytes := newRemotePair(b)
	req := newLongRequest()
	req.PrefixHashes = req.PrefixHashes[:blocks]
	req.Deadline += clock.Hour
	runRequest(b, ingress, req)
	before := bytes.Load()
	b.ResetTimer()
	for range b.N {
		slot, err := ingress.remote.Reserve(context.Background(), req, nil)
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		slot.Confirm()
		slot.FirstToken(0)
		slot.End(reserver.Usage{Outcome: reserver.Completed, OutputTokens: 700})
		b.StartTimer()
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/request")
}
