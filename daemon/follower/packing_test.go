package follower

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"yuccaspread/common/inventory"
	"yuccaspread/common/packer"
	"yuccaspread/common/wire"
)

// largeConfig returns a configuration with as many routes as users have added at once.
func largeConfig(revision int) string {
	random := rand.New(rand.NewPCG(uint64(revision), 5))
	name := func() (text string) {
		for range 9 {
			text += string(rune('a' + random.IntN(26)))
		}
		return text
	}
	config := inventory.Config{Revision: int64(revision), Pools: []inventory.Pool{{Name: "p"}}}
	for range 1600 {
		config.Routes = append(config.Routes, inventory.Route{
			Name: "r-" + name(), Host: name()[:6] + ".example", Path: "/" + name() + "/", Pool: "drafting-models", Tier: "priority-0-1",
			Idempotent: true, MaxAttempts: 2, TimeoutMS: 1000, ObjectiveMS: 1000,
		})
	}
	text, _ := json.Marshal(config)
	return string(text)
}

// slowLink is the link of a VM, on which transfers follow each other.
type slowLink struct {
	mu             sync.Mutex
	bytesPerSecond float64
	freeAt         time.Time
}

// linkOf10Mbit is the slowest link of the users' VMs.
const linkOf10Mbit = 10e6 / 8

// transfer returns after a number of bytes has passed the link.
func (l *slowLink) transfer(size int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.bytesPerSecond * float64(time.Second)))
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// TestLargeConfigurationReachesAllDaemonsInTime guards against a configuration with many routes that
// spreads so slowly, over slow links, that daemons serve an older one beyond the apply bound.
func TestLargeConfigurationReachesAllDaemonsInTime(t *testing.T) {
	for _, count := range []int{9, 82, 350} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				register := &restoredRegister{era: 1, refused: map[string]bool{}}
				register.put("c", "k", configOf(1))
				fleet := startLinkedFleet(t, count, 2500, func(name string) Register { return restoredLink{register, name} },
					func() *slowLink { return &slowLink{bytesPerSecond: linkOf10Mbit} })
				time.Sleep(6 * time.Second)
				checkInForce(t, fleet, 1)
				register.put("c", "k", largeConfig(2))
				time.Sleep(settleTime)
				checkInForce(t, fleet, 2)
				register.put("c", "k", largeConfig(3))
				time.Sleep(settleTime)
				checkInForce(t, fleet, 3)
			})
		})
	}
}

// upstreamRow returns what an upstream of a test writes, as long as the users' upstreams do.
func upstreamRow(index, beat int) string {
	return fmt.Sprintf(`{"address":"10.%d.%d.25:9%03d","pool":"p","slots":6,"zone":"salalah-a","version":"v1","state":"ready","cold_left_ms":0,"beat":%d,"born":%d}`,
		index/200, index%200, index%1000, 417+beat, 1796000000000+7919*index)
}

// TestNewsOfUpstreamsStaySmall guards against renewals of upstreams' rows that fill the links
// between daemons. The whole control of a daemon may take 14 KB a second; here 3,000 upstreams
// write each 1.2 s, and a daemon may receive half of that.
func TestNewsOfUpstreamsStaySmall(t *testing.T) {
	const beats, maxBytesPerSecond = 10, 7 << 10
	for _, count := range []int{300, 1000, 3000} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				register := &restoredRegister{era: 1, refused: map[string]bool{}}
				register.put("c", "k", configOf(1))
				name := func(i int) string { return fmt.Sprintf("u-%x", 40503*i) }
				for i := range count {
					register.put("u", name(i), upstreamRow(i, 0))
				}
				fleet := startFleet(t, 50, 4000, func(name string) Register { return restoredLink{register, name} })
				time.Sleep(6 * time.Second)
				received := func() (sum int64) {
					for _, p := range fleet {
						sum += p.received.Load()
					}
					return sum / int64(len(fleet))
				}
				before := received()
				for beat := range beats {
					for i := range count {
						register.put("u", name(i), upstreamRow(i, beat))
						if i%(count/100) == 0 {
							time.Sleep(12 * time.Millisecond)
						}
					}
				}
				perSecond := float64(received()-before) / (beats * 1.2)
				t.Logf("%.0f bytes a second, %d bytes before", perSecond, before)
				if perSecond > maxBytesPerSecond {
					t.Errorf("each daemon receives %.0f bytes a second, at most %d wanted", perSecond, maxBytesPerSecond)
				}
			})
		})
	}
}

// TestPackedRowsAreWhole guards against rows that change on their way, and against a reply that is
// cut or without a bound.
func TestPackedRowsAreWhole(t *testing.T) {
	p := rowPacker{packer: packer.New(gzip.BestSpeed)}
	var rows []*wire.FollowedRow
	for i := range 3000 {
		rows = append(rows, &wire.FollowedRow{Table: "u", Key: fmt.Sprint(i), Value: []byte(upstreamRow(i, 1)), Version: int64(i + 1)})
	}
	reply := &wire.SyncReply{Rows: slices.Clone(rows)}
	whole := proto.Size(reply)
	if err := p.packRows(reply); err != nil {
		t.Fatal(err)
	}
	packed := proto.Size(reply)
	t.Logf("%d bytes for %d", packed, whole)
	if packed > whole/3 {
		t.Error("the rows are not packed")
	}
	cut := &wire.SyncReply{PackedRows: reply.GetPackedRows()[:packed/2]}
	if unpackRows(cut) == nil {
		t.Error("a cut reply was taken")
	}
	if err := unpackRows(reply); err != nil || !proto.Equal(reply, &wire.SyncReply{Rows: rows}) {
		t.Errorf("%d rows, %v; %d wanted", len(reply.GetRows()), err, len(rows))
	}
	if unpackRows(&wire.SyncReply{PackedRows: p.packer.Pack(make([]byte, maxUnpackedBytes+1))}) == nil {
		t.Error("a reply without a bound was taken")
	}
}

// TestConfigurationIsSentOnce guards against a reply that holds the configuration twice.
func TestConfigurationIsSentOnce(t *testing.T) {
	f := &Follower{Tables: Tables{Config: "c", ConfigKey: "k", Upstreams: "u"}, Clock: &manualClock{now: 1000}, Decoder: testDecoder{}}
	f.setup()
	f.applyChanges(f.replica.ApplyListing("c", []Row{{Table: "c", Key: "k", Value: []byte(configOf(3)), Version: 7}}, 7), "register")
	for _, version := range []int64{0, 5} {
		reply := f.buildReply(&wire.SyncRequest{Have: []*wire.TableVersion{{Table: "c", Version: version}}})
		if rows := len(reply.GetRows()); rows != 1 {
			t.Errorf("%d rows for a peer that knows version %d, want 1", rows, version)
		}
	}
}

// TestPackedValuesAreWhole guards against values that change on their way, that are packed for a
// daemon of an earlier version, or that fill the memory when they are unpacked.
func TestPackedValuesAreWhole(t *testing.T) {
	p := rowPacker{packer: packer.New(gzip.BestSpeed)}
	row := Row{Table: "c", Key: "k", Value: []byte(largeConfig(1)), Version: 5}
	sent := p.toWire(row, true)
	got, err := fromWire(sent)
	if err != nil || !bytes.Equal(got.Value, row.Value) || got.Version != row.Version {
		t.Errorf("%d of %d bytes, %v", len(got.Value), len(row.Value), err)
	}
	size := proto.Size(sent)
	t.Logf("%d bytes for a value of %d", size, len(row.Value))
	if size > len(row.Value)/4 {
		t.Error("the value is not packed")
	}
	if &p.toWire(row, true).GetPacked()[0] != &sent.GetPacked()[0] {
		t.Error("a value was packed twice")
	}
	row.Version, row.Value = 6, []byte(largeConfig(2))
	if got, _ = fromWire(p.toWire(row, true)); !bytes.Equal(got.Value, row.Value) {
		t.Error("the packed value is that of an older version")
	}
	if plain := p.toWire(row, false); !bytes.Equal(plain.GetValue(), row.Value) || plain.GetPacked() != nil {
		t.Error("the value was packed for a daemon that doesn't accept it")
	}
	bomb := rowPacker{packer: p.packer}
	huge := bomb.toWire(Row{Table: "c", Key: "k", Value: make([]byte, maxUnpackedBytes+1)}, true)
	if _, err = fromWire(huge); err == nil {
		t.Error("a value without a bound was taken")
	}
	huge.Packed = huge.GetPacked()[:100]
	if _, err = fromWire(huge); err == nil {
		t.Error("a cut value was taken")
	}
}
