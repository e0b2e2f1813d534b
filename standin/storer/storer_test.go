package storer_test

import (
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"

	"yuccaspread/common/platform"
	"yuccaspread/standin/storer"
)

func newClient(t *testing.T) platform.Client {
	t.Helper()
	router := mux.NewRouter()
	(&storer.Storer{}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return platform.NewHTTP(server.URL, server.Client())
}

// Guards against a stand-in that applies a conditional write though the row has
// changed, or doesn't return the row that prevented it.
func TestTxnAppliesOnlyIfItsConditionsHold(t *testing.T) {
	table := newClient(t).Table
	absent := []platform.Condition{{Key: "a"}}
	first, err := table.Apply(t.Context(), platform.Txn{Conditions: absent, Writes: []platform.Write{{Key: "a", Value: []byte("1")}}})
	if err != nil || !first.Applied {
		t.Fatalf("first insert: %+v, %v", first, err)
	}
	second, err := table.Apply(t.Context(), platform.Txn{Conditions: absent, Writes: []platform.Write{{Key: "a", Value: []byte("2")}}})
	if err != nil || second.Applied {
		t.Fatalf("second insert: %+v, %v", second, err)
	}
	if len(second.Rows) != 1 || string(second.Rows[0].Value) != "1" || second.Rows[0].Version != first.Version {
		t.Fatalf("rows read back: %+v", second.Rows)
	}
	swap := []platform.Condition{{Key: "a", Version: first.Version}}
	third, err := table.Apply(t.Context(), platform.Txn{Conditions: swap, Writes: []platform.Write{{Key: "a", Delete: true}}})
	if err != nil || !third.Applied {
		t.Fatalf("delete: %+v, %v", third, err)
	}
	rows, err := table.Read(t.Context(), "a")
	if err != nil || len(rows) != 0 {
		t.Fatalf("after delete: %+v, %v", rows, err)
	}
}

// Guards against scans that return rows out of order or of another prefix.
func TestScanReturnsAPageInKeyOrder(t *testing.T) {
	table := newClient(t).Table
	for _, key := range []string{"p/3", "p/1", "q/1", "p/2", "o/9"} {
		if _, err := table.Apply(t.Context(), platform.Txn{Writes: []platform.Write{{Key: key}}}); err != nil {
			t.Fatal(err)
		}
	}
	rows, err := table.Scan(t.Context(), "p/", "p/2", 10)
	if err != nil || len(rows) != 2 || rows[0].Key != "p/2" || rows[1].Key != "p/3" {
		t.Fatalf("scan: %+v, %v", rows, err)
	}
}
