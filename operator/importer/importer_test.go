package importer_test

import (
	"strings"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/operator/importer"
)

const header = "asset,name,address,pool,region,failure_domain,generation,slots\n"

// Registers have columns of their own, which must not shift the fields that are
// read.
func TestReadParsesKnownColumnsAndIgnoresOthers(t *testing.T) {
	got, err := importer.Read(strings.NewReader(header + "17,e1,10.0.0.1:80,drafts,muscat-a,muscat-a-1,g4,8\n"))
	want := inventory.Upstream{
		Name: "e1", Address: "10.0.0.1:80", Pool: "drafts", Region: "muscat-a",
		FailureDomain: "muscat-a-1", Generation: "g4", Slots: 8,
	}
	if err != nil || len(got) != 1 || got[0] != want {
		t.Fatalf("%+v, %v", got, err)
	}
}

// An operator should see all invalid rows at once, and a register with an invalid
// row must not be imported in part.
func TestReadReportsEveryInvalidRowAndReturnsNoUpstreams(t *testing.T) {
	got, err := importer.Read(strings.NewReader(header +
		"1,e1,10.0.0.1:80,p,r,,,8\n" + "2,e1,10.0.0.2:80,p,r,,,8\n" + "3,e3,host:80,,r,,,0\n"))
	if err == nil || got != nil {
		t.Fatalf("%+v, %v", got, err)
	}
	for _, want := range []string{"line 3: name \"e1\" is a duplicate", "line 4: pool is empty", "address", "slots \"0\""} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %v", want, err)
		}
	}
	if _, err = importer.Read(strings.NewReader("name,slots\n")); err == nil || !strings.Contains(err.Error(), `"address" is missing`) {
		t.Errorf("missing columns: %v", err)
	}
}

// An import must not reset what the register has no column for, such as Leaving: an
// upstream that is being taken out of service would get requests again.
func TestMergeKeepsFieldsThatTheRegisterLacks(t *testing.T) {
	merged := importer.Merge(
		[]inventory.Upstream{{Name: "e1", Slots: 4, Leaving: true, Resumes: true}},
		[]inventory.Upstream{{Name: "e1", Slots: 8}, {Name: "e2", Slots: 1}})
	if merged[0].Slots != 8 || !merged[0].Leaving || !merged[0].Resumes || merged[1].Leaving {
		t.Fatalf("%+v", merged)
	}
}

// Read must neither panic nor return an invalid upstream, whatever the file holds.
func FuzzRead(f *testing.F) {
	f.Add(header + "1,e1,10.0.0.1:80,p,r,,,8\n")
	f.Add("name\n\"")
	f.Add(header + "1\n,,,,,,,,,\n")
	f.Fuzz(func(t *testing.T, content string) {
		upstreams, err := importer.Read(strings.NewReader(content))
		for _, u := range upstreams {
			if err != nil || u.Name == "" || u.Slots <= 0 {
				t.Fatalf("invalid upstream %+v with error %v", u, err)
			}
		}
	})
}
