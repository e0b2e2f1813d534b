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

// bytesPerRequest is what the control of one request may cost on the wire.
const bytesPerRequest = 400

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// remotePair returns an ingress whose scheduler is another daemon with the
// real decisions, and the count of the bytes between them.
func remotePair(t testing.TB) (ingress *node, bytes *atomic.Int64) {
	c := newCluster(t, 100)
	c.replace(func(config *inventory.Config) {
		config.Upstreams[0].Name = "wien-a-model-17"
		config.Tiers = []inventory.Tier{{Name: "question", FirstTokenMS: 860, TokenGapMS: 75}}
	})
	c.decide = func() granter.Decider { return &scheduler.State{} }
	c.start("entry-1", region)
	c.start("entry-2", region)
	ingress = c.other(c.scheduler())
	bytes = &atomic.Int64{}
	ingress.remote.Dial = func(ctx context.Context, to gossiper.Member) (reserver.Link, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.PeerListen)
		if err != nil {
			return nil, err
		}
		return reserver.OnConn(ctx, drpcconn.New(counted{conn, bytes}))
	}
	return ingress, bytes
}

// longRequest is one with as many prefix blocks as there may be.
func longRequest() *classifier.Request {
	req := request(clock.Minute)
	req.Organisation = "directorate-importer-12345"
	req.PromptTokens, req.MaxTokens, req.Fingerprint = 2_500, 1_000, 1<<63+12345
	for i := range 32 {
		req.PrefixHashes = append(req.PrefixHashes, uint64(i+1)*0x9e3779b97f4a7c15)
	}
	return req
}

func oneRequest(t testing.TB, ingress *node, req *classifier.Request) {
	slot, err := ingress.remote.Reserve(context.Background(), req, nil)
	if err != nil {
		t.Fatal(err)
	}
	if !slot.Confirm() {
		t.Fatal("a fresh slot was lost")
	}
	slot.FirstToken(1_024)
	slot.End(reserver.Usage{Outcome: reserver.Whole, OutputTokens: 700})
}

func TestTheControlOfARequestIsSmall(t *testing.T) {
	ingress, bytes := remotePair(t)
	oneRequest(t, ingress, longRequest())
	before := bytes.Load()
	const count = 200
	for range count {
		oneRequest(t, ingress, longRequest())
	}
	perRequest := float64(bytes.Load()-before) / count
	t.Logf("%.1f bytes a request", perRequest)
	if perRequest >= bytesPerRequest {
		t.Errorf("%.1f bytes a request", perRequest)
	}
}

// BenchmarkAskToGrant measures a reservation over drpc, for prompts of so many
// blocks.
func BenchmarkAskToGrant(b *testing.B) {
	for _, blocks := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) { askToGrant(b, blocks) })
	}
}

func askToGrant(b *testing.B, blocks int) {
	ingress, bytes := remotePair(b)
	req := longRequest()
	req.PrefixHashes = req.PrefixHashes[:blocks]
	req.Deadline += clock.Hour
	oneRequest(b, ingress, req)
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
		slot.End(reserver.Usage{Outcome: reserver.Whole, OutputTokens: 700})
		b.StartTimer()
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "bytes/request")
}
