package importer_test

import (
	"strings"
	"testing"

	"yuccaspread/common/inventory"
	"yuccaspread/operator/importer"
)

const header = "asset,name,address,pool,region,failure_domain,generation,slots\n"

func TestReadTakesTheKnownColumns(t *testing.T) {
	got, err := importer.Read(strings.NewReader(header + "17,e1,10.0.0.1:80,drafts,muscat-a,muscat-a-1,g4,8\n"))
	want := inventory.Upstream{
		Name: "e1", Address: "10.0.0.1:80", Pool: "drafts", Region: "muscat-a",
		FailureDomain: "muscat-a-1", Generation: "g4", Slots: 8,
	}
	if err != nil || len(got) != 1 || got[0] != want {
		t.Fatalf("%+v, %v", got, err)
	}
}

func TestReadNamesEveryBadRowAndReturnsNone(t *testing.T) {
	got, err := importer.Read(strings.NewReader(header +
		"1,e1,10.0.0.1:80,p,r,,,8\n" + "2,e1,10.0.0.2:80,p,r,,,8\n" + "3,e3,host:80,,r,,,0\n"))
	if err == nil || got != nil {
		t.Fatalf("%+v, %v", got, err)
	}
	for _, want := range []string{"line 3: name \"e1\" stands twice", "line 4: pool is empty", "address", "slots \"0\""} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in %v", want, err)
		}
	}
	if _, err = importer.Read(strings.NewReader("name,slots\n")); err == nil || !strings.Contains(err.Error(), `"address" is missing`) {
		t.Errorf("missing columns: %v", err)
	}
}

func TestMergeKeepsWhatTheRegisterDoesNotKnow(t *testing.T) {
	merged := importer.Merge(
		[]inventory.Upstream{{Name: "e1", Slots: 4, Leaving: true, Resumes: true}},
		[]inventory.Upstream{{Name: "e1", Slots: 8}, {Name: "e2", Slots: 1}})
	if merged[0].Slots != 8 || !merged[0].Leaving || !merged[0].Resumes || merged[1].Leaving {
		t.Fatalf("%+v", merged)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(header + "1,e1,10.0.0.1:80,p,r,,,8\n")
	f.Add("name\n\"")
	f.Add(header + "1\n,,,,,,,,,\n")
	f.Fuzz(func(t *testing.T, content string) {
		upstreams, err := importer.Read(strings.NewReader(content))
		for _, u := range upstreams {
			if err != nil || u.Name == "" || u.Slots <= 0 {
				t.Fatalf("impossible upstream %+v with error %v", u, err)
			}
		}
	})
}
