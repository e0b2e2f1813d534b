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

// faults are those of the stand-in's that these tests switch.
type faults struct {
	Outage     bool         `json:"outage"`
	OlderReads bool         `json:"older_reads"`
	ListLagMS  clock.Millis `json:"list_lag_ms"`
}

func (f *fleet) set(now faults) {
	f.t.Helper()
	// The stand-in answers without a body.
	_ = f.call(http.MethodPut, "PLATFORM", "/faults", now, nil)
	var got faults
	if err := f.get("PLATFORM", "/faults", &got); err != nil || got != now {
		f.t.Fatalf("faults %+v, %v", got, err)
	}
}

// kill ends the daemon as a crash does.
func (f *fleet) kill(i int) {
	_ = f.daemons[i].Process.Kill()
	_ = f.daemons[i].Wait()
}

func (f *fleet) ready(i int) bool {
	return f.get(fmt.Sprintf("LISTEN_%d", i), "/readyz", nil) == nil
}

func (f *fleet) revision(i int) int64 {
	var config inventory.Config
	if err := f.get(fmt.Sprintf("LISTEN_%d", i), "/v1/admin/config", &config); err != nil {
		f.t.Fatal(err)
	}
	return config.Revision
}

func TestKilledDaemonsNeverGoBackWithTheTableDown(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	f.set(faults{OlderReads: true})
	for revision := int64(1); revision < 4; revision++ {
		if err := f.call(http.MethodPost, "LISTEN_0", "/v1/admin/config", weigh(revision, fmt.Sprint(revision), int(revision)), nil); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitInForce(4, 3)
	f.kill(1)
	f.start(1)
	f.awaitReady(1)
	if got := f.revision(1); got != 4 {
		t.Fatalf("revision %d in force beside a table of an older state, want 4", got)
	}
	f.set(faults{Outage: true})
	f.kill(1)
	f.start(1)
	f.awaitReady(1)
	if got := f.revision(1); got != 4 {
		t.Fatalf("revision %d in force with the table down, want 4", got)
	}
	for i := range f.regions {
		f.kill(i)
	}
	for i := range f.regions {
		f.start(i)
	}
	f.await("daemons that listen", func() bool { return f.get("LISTEN_0", "/healthz", nil) == nil })
	for range 40 {
		for i := range f.regions {
			if f.ready(i) {
				t.Fatalf("daemon %d is ready though nobody knows the newest revision", i)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.set(faults{})
	for i := range f.regions {
		f.awaitReady(i)
	}
	f.awaitInForce(4, 3)
}

func TestListBehindAndDaemonCutOff(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a", "wien-a", "graz-a")
	// The list still names a daemon that never comes back and none that lives.
	_ = f.call(http.MethodPut, "PLATFORM", "/vms", []platform.VM{{Name: "old", Address: "127.0.0.1:1", Role: "daemon"}}, nil)
	f.set(faults{ListLagMS: clock.Minute})
	f.kill(2)
	f.await("an answer without the dead daemon", func() bool { return len(f.addresses(0)) == 2 })
	f.start(2)
	f.await("an answer with its replacement", func() bool { return len(f.addresses(0)) == 3 })
	// The others die and the platform is down: the last one still answers.
	f.kill(1)
	f.kill(2)
	f.set(faults{Outage: true})
	f.await("an answer without the dead", func() bool { return len(f.addresses(0)) == 1 })
	f.await("an answer with the best known", func() bool { return len(f.addresses(0)) == 3 })
	if !f.ready(0) {
		t.Error("the daemon forgot its configuration")
	}
}

// addresses returns what the daemon answers to a caller.
func (f *fleet) addresses(i int) []string {
	var answer struct {
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	_ = f.get(fmt.Sprintf("LISTEN_%d", i), "/v1/addresses", &answer)
	var all []string
	for _, a := range answer.Addresses {
		all = append(all, a.Address)
	}
	return all
}
