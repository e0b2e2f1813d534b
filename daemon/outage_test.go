package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/common/platform"
)

// platformFaults are the faults of the platform stand-in that these tests use.
type platformFaults struct {
	Outage     bool         `json:"outage"`
	OlderReads bool         `json:"older_reads"`
	ListLagMS  clock.Millis `json:"list_lag_ms"`
}

// setFaults replaces the faults of the platform stand-in.
func (f *fleet) setFaults(want platformFaults) {
	f.t.Helper()
	// The stand-in's empty reply can't be decoded, so the error is ignored and
	// the faults are read back.
	_ = f.call(http.MethodPut, "PLATFORM", "/faults", want, nil)
	var got platformFaults
	if err := f.get("PLATFORM", "/faults", &got); err != nil || got != want {
		f.t.Fatalf("faults %+v, %v", got, err)
	}
}

// killDaemon kills the daemon's process, as a crash would end it.
func (f *fleet) killDaemon(i int) {
	_ = f.daemons[i].Process.Kill()
	_ = f.daemons[i].Wait()
}

// isReady reports whether the daemon answers its readiness check with success.
func (f *fleet) isReady(i int) bool {
	return f.get(fmt.Sprintf("LISTEN_%d", i), "/readyz", nil) == nil
}

// revision returns the revision of the configuration in force at the daemon.
func (f *fleet) revision(i int) int64 {
	var config inventory.Config
	if err := f.get(fmt.Sprintf("LISTEN_%d", i), "/v1/admin/config", &config); err != nil {
		f.t.Fatal(err)
	}
	return config.Revision
}

// TestKilledDaemonsNeverRevertConfigurationWhileTableIsDown restarts daemons
// while the platform's table returns older states or is down. It fails if a
// daemon becomes ready with an older revision, or becomes ready at all while
// neither the table nor a running daemon knows the newest one.
func TestKilledDaemonsNeverRevertConfigurationWhileTableIsDown(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	f.setFaults(platformFaults{OlderReads: true})
	for revision := int64(1); revision < 4; revision++ {
		if err := f.call(http.MethodPost, "LISTEN_0", "/v1/admin/config", weightChange(revision, fmt.Sprint(revision), int(revision)), nil); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitInForce(4, 3)
	f.killDaemon(1)
	f.startDaemon(1)
	f.awaitReady(1)
	if got := f.revision(1); got != 4 {
		t.Fatalf("revision %d in force while the table returns older states, want 4", got)
	}
	f.setFaults(platformFaults{Outage: true})
	f.killDaemon(1)
	f.startDaemon(1)
	f.awaitReady(1)
	if got := f.revision(1); got != 4 {
		t.Fatalf("revision %d in force with the table down, want 4", got)
	}
	for i := range f.regions {
		f.killDaemon(i)
	}
	for i := range f.regions {
		f.startDaemon(i)
	}
	f.await("daemon 0 to listen", func() bool { return f.get("LISTEN_0", "/healthz", nil) == nil })
	for range 40 {
		for i := range f.regions {
			if f.isReady(i) {
				t.Fatalf("daemon %d is ready although neither the table nor a daemon knows the newest revision", i)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.setFaults(platformFaults{})
	for i := range f.regions {
		f.awaitReady(i)
	}
	f.awaitInForce(4, 3)
}

// TestAddressesWithStaleVMListAndIsolatedDaemon checks the addresses that callers
// get. It fails if they depend on a VM list that lags behind the daemons that
// run, or if the last daemon, with the platform down and all others dead, stops
// answering instead of returning all addresses that it knows.
func TestAddressesWithStaleVMListAndIsolatedDaemon(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	// The VM list names only a daemon that no longer exists and none of those
	// that run.
	_ = f.call(http.MethodPut, "PLATFORM", "/vms", []platform.VM{{Name: "old", Address: "127.0.0.1:1", Role: "daemon"}}, nil)
	f.setFaults(platformFaults{ListLagMS: clock.Minute})
	f.killDaemon(2)
	f.await("addresses without the killed daemon", func() bool { return len(f.addresses(0)) == 2 })
	f.startDaemon(2)
	f.await("addresses with the restarted daemon", func() bool { return len(f.addresses(0)) == 3 })
	// With the other daemons dead and the platform down, the last one still
	// answers. Once it considers itself cut off, it names all known daemons again.
	f.killDaemon(1)
	f.killDaemon(2)
	f.setFaults(platformFaults{Outage: true})
	f.await("addresses without the killed daemons", func() bool { return len(f.addresses(0)) == 1 })
	f.await("addresses of all known daemons", func() bool { return len(f.addresses(0)) == 3 })
	if !f.isReady(0) {
		t.Error("the last daemon is no longer ready")
	}
}

// addresses returns the addresses that the daemon gives to a caller.
func (f *fleet) addresses(i int) []string {
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	_ = f.get(fmt.Sprintf("LISTEN_%d", i), "/v1/addresses", &answer)
	var addresses []string
	for _, a := range answer.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses
}
