package follower

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"yuccaspread/common/inventory"
	"yuccaspread/common/wire"
)

// regionsConfig is a configuration with the failure domains z1 and z2.
const regionsConfig = `{"revision":1,"regions":[{"name":"r","failure_domains":["z1","z2"]}],"pools":[{"name":"p"}]}`

func evacuatedOf(config *inventory.Config) string { return fmt.Sprint(config.EvacuatedDomains()) }

// TestEvacuationsFollowTheirRows guards against evacuations that outlast their rows, that end
// because the register was restored from a copy without them, or that hide each other.
func TestEvacuationsFollowTheirRows(t *testing.T) {
	old := func(number int64) Version { v, _ := NewVersion(1, number); return v }
	restored := func(number int64) Version { v, _ := NewVersion(2, number); return v }
	clock := &manualClock{now: 1000}
	f := &Follower{Tables: Tables{Config: "c", ConfigKey: "k", Upstreams: "u"}, Clock: clock, Decoder: testDecoder{}}
	f.setup()
	row := func(key string, version Version) Row {
		return Row{Table: "c", Key: key, Value: []byte("{}"), Version: version}
	}
	config := Row{Table: "c", Key: "k", Value: []byte(regionsConfig), Version: old(1)}
	feed := func(rows ...Row) {
		f.applyChanges(f.replica.ApplyFeed("c", rows, rows[len(rows)-1].Version), "register")
	}
	list := func(version Version, rows ...Row) {
		f.applyChanges(f.replica.ApplyListing("c", rows, version), "register")
	}
	check := func(when, want string) {
		t.Helper()
		if got := evacuatedOf(f.Current()); got != want {
			t.Errorf("%s: %s is evacuated, want %s", when, got, want)
		}
	}
	feed(row("evacuation/z2", old(2)))
	feed(config, row("evacuation/elsewhere", old(3)))
	check("a row before the configuration", "[z2]")
	regions := &f.Current().Regions[0]
	feed(row("evacuation/z1", old(4)))
	check("two at once", "[z1 z2]")
	feed(Row{Table: "c", Key: "evacuation/z2", Version: old(5), Removed: true})
	check("one taken back", "[z1]")
	if regions == &f.Current().Regions[0] {
		t.Error("the list of regions has changed in place")
	}
	list(old(6), config, row("evacuation/z1", old(4)))
	check("listed again", "[z1]")
	list(restored(1), config)
	check("restored from a copy without the row", "[z1]")
	clock.now += rewriteGrace / 2
	feed(row("evacuation/z1", restored(2)))
	clock.now += rewriteGrace
	f.expireLapses()
	check("written again", "[z1]")
	list(restored(3), config)
	check("gone in a listing of the same era", "[]")
	feed(row("evacuation/z2", restored(4)))
	f.noteEra("c", Version(3<<numberBits))
	list(Version(3<<numberBits|1), config)
	check("restored again", "[z2]")
	clock.now += rewriteGrace
	f.expireLapses()
	check("not written again", "[]")
}

// TestEvacuationReachesAllDaemons guards against daemons that learn of an evacuation late, or never
// because the register is away or refuses them, and against ones that start in the middle of it.
func TestEvacuationReachesAllDaemons(t *testing.T) {
	for _, count := range []int{3, 82, 350} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				register := &restoredRegister{era: 1, refused: map[string]bool{}}
				register.put("c", "k", regionsConfig)
				fleet := startFleet(t, count, 2500, func(name string) Register { return restoredLink{register, name} })
				time.Sleep(6 * time.Second)
				check := func(when, want string, fleet []*loopPeers) {
					t.Helper()
					behind := 0
					for _, p := range fleet {
						if evacuatedOf(p.Follower.Current()) != want {
							behind++
						}
					}
					if behind > 0 {
						t.Errorf("%s: %d of %d daemons don't have %s", when, behind, len(fleet), want)
					}
				}
				for i, p := range fleet {
					register.setRefused(p.View.Self().Name, i%3 == 0)
				}
				register.put("c", "evacuation/z1", "{}")
				time.Sleep(settleTime)
				check("a third is refused", "[z1]", fleet)
				register.setAway(true)
				time.Sleep(8 * time.Second)
				check("the register is away", "[z1]", fleet)
				register.setAway(false)
				time.Sleep(3 * time.Second)
				register.put("c", "evacuation/z1", "")
				time.Sleep(settleTime)
				check("taken back", "[]", fleet)
			})
		})
	}
}

// TestDaemonThatStartsWithoutTheRegisterLearnsEvacuations guards against a daemon that serves by a
// peer's configuration and doesn't know which failure domains are evacuated.
func TestDaemonThatStartsWithoutTheRegisterLearnsEvacuations(t *testing.T) {
	newFollower := func() *Follower {
		f := &Follower{Tables: Tables{Config: "c", ConfigKey: "k", Upstreams: "u"}, Clock: &manualClock{now: 1000}, Decoder: testDecoder{}}
		f.setup()
		return f
	}
	running, started := newFollower(), newFollower()
	rows := []Row{{Table: "c", Key: "k", Value: []byte(regionsConfig), Version: 1}, {Table: "c", Key: "evacuation/z2", Value: []byte("{}"), Version: 2}}
	running.applyChanges(running.replica.ApplyListing("c", slices.Clone(rows), 2), "register")
	started.noteConfirmations(running.knownVersions())
	started.applyReply(running.buildReply(&wire.SyncRequest{Have: started.requestedVersions()}), "peer")
	if got := evacuatedOf(started.Current()); !started.Ready() || got != "[z2]" {
		t.Errorf("ready %t with %s evacuated, want [z2]", started.Ready(), got)
	}
}
