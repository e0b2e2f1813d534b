package injector_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/standin/injector"
	"yuccaspread/standin/lister"
	"yuccaspread/standin/storer"
)

// startPlatform starts the stand-in platform behind an injector and returns a client
// of it.
func startPlatform(t *testing.T) (client platform.Client, faults *injector.Injector, list *lister.Lister) {
	t.Helper()
	store := &storer.Storer{}
	list = &lister.Lister{}
	router := mux.NewRouter()
	store.Register(router)
	list.Register(router)
	faults = &injector.Injector{FreezeReads: store.FreezeReads, SetListLag: list.SetLag}
	server := httptest.NewServer(faults.Handler(router))
	t.Cleanup(server.Close)
	return platform.NewHTTP(server.URL, server.Client()), faults, list
}

func putValue(t *testing.T, table platform.Table, value string) error {
	t.Helper()
	_, err := table.Apply(t.Context(), platform.Txn{Writes: []platform.Write{{Key: "k", Value: []byte(value)}}})
	return err
}

func expectValue(t *testing.T, table platform.Table, value string) {
	t.Helper()
	rows, err := table.Read(t.Context(), "k")
	if err != nil || len(rows) != 1 || string(rows[0].Value) != value {
		t.Fatalf("want %q, got %v, %v", value, rows, err)
	}
}

// Guards against faults whose errors claim the wrong effect: a refused write has no
// effect, while after an outage or a lost reply the client can't know.
func TestFaultsYieldTheirCertainty(t *testing.T) {
	client, faults, _ := startPlatform(t)
	if err := putValue(t, client.Table, "1"); err != nil {
		t.Fatal(err)
	}
	faults.Set(injector.Faults{Refuse: true})
	if err := putValue(t, client.Table, "2"); platform.EffectOf(err) != platform.NoEffect {
		t.Fatalf("refused: %v", err)
	}
	faults.Set(injector.Faults{Outage: true})
	if err := putValue(t, client.Table, "2"); err == nil || platform.EffectOf(err) != platform.EffectUnknown {
		t.Fatalf("outage: %v", err)
	}
	faults.Set(injector.Faults{})
	expectValue(t, client.Table, "1")
	faults.Set(injector.Faults{LoseReplies: 1})
	if err := putValue(t, client.Table, "3"); err == nil || platform.EffectOf(err) != platform.EffectUnknown {
		t.Fatalf("lost reply: %v", err)
	}
	expectValue(t, client.Table, "3")
}

// Guards against a write above the rate limit that takes effect or is reported as
// possibly done.
func TestWritesAboveTheLimitAreRefused(t *testing.T) {
	client, faults, _ := startPlatform(t)
	faults.Set(injector.Faults{WritesPerSecond: 1})
	if err := putValue(t, client.Table, "1"); err != nil {
		t.Fatal(err)
	}
	err := putValue(t, client.Table, "2")
	var status *platform.StatusError
	if !errors.As(err, &status) || status.Status != 429 || platform.EffectOf(err) != platform.NoEffect {
		t.Fatalf("got %v", err)
	}
	expectValue(t, client.Table, "1")
}

// Guards against reads that see new writes while stale reads are on, or old state after
// they are off.
func TestStaleReadsUntilSwitchedOff(t *testing.T) {
	client, faults, _ := startPlatform(t)
	if err := putValue(t, client.Table, "1"); err != nil {
		t.Fatal(err)
	}
	faults.Set(injector.Faults{StaleReads: true})
	if err := putValue(t, client.Table, "2"); err != nil {
		t.Fatal(err)
	}
	expectValue(t, client.Table, "1")
	faults.Set(injector.Faults{})
	expectValue(t, client.Table, "2")
}

// Guards against a list of VMs that ignores the configured lag.
func TestVMListLags(t *testing.T) {
	client, faults, list := startPlatform(t)
	list.Set([]platform.VM{{Name: "a"}})
	faults.Set(injector.Faults{ListLagMS: clock.Hour})
	if vms, err := client.VMList.VMs(t.Context()); err != nil || len(vms) != 0 {
		t.Fatalf("an hour behind: %v, %v", vms, err)
	}
	faults.Set(injector.Faults{})
	if vms, err := client.VMList.VMs(t.Context()); err != nil || len(vms) != 1 {
		t.Fatalf("in time: %v, %v", vms, err)
	}
}
