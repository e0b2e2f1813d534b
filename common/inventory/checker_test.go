package inventory_test

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

func hash(i int) string { return fmt.Sprintf("%064x", i) }

// sound returns a small configuration without mistakes.
func sound() inventory.Config {
	return inventory.Config{
		Regions:       []inventory.Region{{Name: "wien-a", FailureDomains: []string{"wien-a-1"}, Nearest: []string{"graz-a"}}, {Name: "graz-a"}},
		Pools:         []inventory.Pool{{Name: "m", Kind: inventory.PoolModel, Model: "guide"}, {Name: "s", Kind: inventory.PoolService}},
		Upstreams:     []inventory.Upstream{{Name: "u", Address: "10.0.0.1:80", Pool: "m", Region: "wien-a", FailureDomain: "wien-a-1", Slots: 4}},
		Organisations: []inventory.Organisation{{Name: "o", TokenSHA256: hash(1)}},
		Operators:     []inventory.Operator{{Name: "a", TokenSHA256: hash(2), Role: inventory.RoleAdmin}},
		Tiers:         []inventory.Tier{{Name: "t", DeadlineMS: 1000}},
		Routes:        []inventory.Route{{Name: "r", Path: "/v1/completions", Pool: "m", Tier: "t", Idempotent: true}},
		Moves:         []inventory.Move{{Name: "v", Pool: "m", From: "1", To: "2", Due: 1_800_000_000_000, FirstShare: 0.1, State: inventory.MoveRun}},
	}.Sorted()
}

func TestSoundConfigurationHasNoMistake(t *testing.T) {
	if got := sound().Check(); len(got) != 0 {
		t.Fatal(got)
	}
}

func TestEveryMistakeIsFound(t *testing.T) {
	cases := map[string]func(*inventory.Config){
		`region "wien-a" nearest`:              func(c *inventory.Config) { c.Regions[1].Nearest = []string{"linz-a"} },
		`region "graz-a" name: is there twice`: func(c *inventory.Config) { c.Regions[1].Name = "graz-a" },
		`pool "s" model`:                       func(c *inventory.Config) { c.Pools[1].Model = "x" },
		`pool "m" kind`:                        func(c *inventory.Config) { c.Pools[0].Kind = "x" },
		`upstream "u" address`:                 func(c *inventory.Config) { c.Upstreams[0].Address = "host:80" },
		`upstream "u" pool`:                    func(c *inventory.Config) { c.Upstreams[0].Pool = "x" },
		`upstream "u" failure_domain`:          func(c *inventory.Config) { c.Upstreams[0].FailureDomain = "x" },
		`upstream "u" slots`:                   func(c *inventory.Config) { c.Upstreams[0].Slots = 0 },
		`organisation "o" rate_per_second`:     func(c *inventory.Config) { c.Organisations[0].RatePerSecond = math.NaN() },
		`organisation "o" token_sha256`:        func(c *inventory.Config) { c.Organisations[0].TokenSHA256 = "token" },
		`operator role: at least one`:          func(c *inventory.Config) { c.Operators[0].Role = inventory.RoleViewer },
		`operator "a" organisations`:           func(c *inventory.Config) { c.Operators[0].Organisations = []string{"x"} },
		`tier "t" rank`:                        func(c *inventory.Config) { c.Tiers[0].Rank = 1 },
		`tier: every tier would be shed`:       func(c *inventory.Config) { c.Tiers[0].FirstTokenMS = 2000 },
		`route "r" path`:                       func(c *inventory.Config) { c.Routes[0].Path = "/v1/admin/x" },
		`route "r" tier`:                       func(c *inventory.Config) { c.Routes[0].Tier = "x" },
		`move "v" due_ms`:                      func(c *inventory.Config) { c.Moves[0].Due = 1_800_000_000 },
		`move "v" first_share`:                 func(c *inventory.Config) { c.Moves[0].FirstShare = 0.5 },
		`move "v" to`:                          func(c *inventory.Config) { c.Moves[0].To = "1" },
		`limits retry_share`:                   func(c *inventory.Config) { c.Limits.RetryShare = 2 },
		`limits address_lifetime_ms`:           func(c *inventory.Config) { c.Limits.AddressLifetimeMS = 1 },
	}
	for want, spoil := range cases {
		config := sound()
		spoil(&config)
		if got := text(config.Check()); !strings.Contains(got, want) {
			t.Errorf("want %q, got %q", want, got)
		}
	}
	all := sound()
	for _, spoil := range cases {
		spoil(&all)
	}
	if got := len(all.Check()); got < len(cases)-3 {
		t.Errorf("%d mistakes told at once, want nearly all of %d", got, len(cases))
	}
}

func text(errs []error) string {
	var lines []string
	for _, err := range errs {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

func TestAllUpstreamsLeavingIsAMistake(t *testing.T) {
	config := sound()
	config.Upstreams[0].Leaving = true
	if got := text(config.Check()); !strings.Contains(got, "every tier would be shed") {
		t.Fatal(got)
	}
}

func TestFormOfAChange(t *testing.T) {
	key := inventory.Key{Kind: inventory.TierKind, Name: "t"}
	d := inventory.Delta{
		Set:    []inventory.Entry{{Key: key, Value: []byte(`{"name":"t","deadline":5}`)}},
		Remove: []inventory.Key{key},
	}
	got := text(d.CheckForm())
	for _, want := range []string{"change_id", "named twice", `unknown field "deadline"`} {
		if !strings.Contains(got, want) {
			t.Errorf("want %q in %q", want, got)
		}
	}
}

func TestInverseTakesAChangeBack(t *testing.T) {
	old := sound()
	wanted := sound()
	wanted.Tiers[0].DeadlineMS = 5
	wanted.Routes = nil
	wanted.Limits.RetryShare = 0.5
	wanted.Pools = append(wanted.Pools, inventory.Pool{Name: "z", Kind: inventory.PoolService})
	delta, err := old.Diff(wanted)
	if err != nil {
		t.Fatal(err)
	}
	if delta.Replaced, err = old.Replaced(delta); err != nil {
		t.Fatal(err)
	}
	changed, err := old.Apply(delta)
	if err != nil {
		t.Fatal(err)
	}
	inverse := delta.Inverse()
	inverse.Base = changed.Revision
	back, err := changed.Apply(inverse)
	if err != nil {
		t.Fatal(err)
	}
	back.Revision = old.Revision
	if !reflect.DeepEqual(back, old) {
		t.Fatalf("got %+v, want %+v", back, old)
	}
}

func FuzzDelta(f *testing.F) {
	f.Add([]byte(`{"change_id":"c","set":[{"kind":"tier","name":"t","value":{"name":"t","rank":0,"deadline_ms":9}}]}`))
	f.Add([]byte(`{"change_id":"c","remove":[{"kind":"route","name":"r"},{"kind":"limits"}]}`))
	f.Add([]byte(`{"change_id":"c","set":[{"kind":"pool","name":"x","value":null},{"kind":"limits","value":{"retry_share":1}}]}`))
	f.Add([]byte(`{"base":1}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var d inventory.Delta
		if json.Unmarshal(content, &d) != nil {
			return
		}
		old := sound()
		next, err := old.Apply(d)
		if !reflect.DeepEqual(old, sound()) {
			t.Fatal("the old configuration was changed in place")
		}
		if err != nil {
			if !reflect.DeepEqual(next, old) {
				t.Fatal("a change that failed was applied by halves")
			}
			return
		}
		if next.Revision != old.Revision+1 || !reflect.DeepEqual(next, next.Sorted()) && len(d.CheckForm()) == 0 {
			t.Fatalf("revision %d, not sorted", next.Revision)
		}
		next.Check()
		undo(t, old, next, d)
	})
}

// undo checks that the inverse of a well-formed change leads back.
func undo(t *testing.T, old, next inventory.Config, d inventory.Delta) {
	if len(d.CheckForm()) != 0 {
		return
	}
	var err error
	if d.Replaced, err = old.Replaced(d); err != nil {
		t.Fatal(err)
	}
	inverse := d.Inverse()
	inverse.Base = next.Revision
	back, err := next.Apply(inverse)
	if err != nil {
		t.Fatal(err)
	}
	rest, err := back.Diff(old)
	if err != nil || !rest.Empty() {
		t.Fatalf("the undo leaves %+v, %v", rest, err)
	}
}

func FuzzInventory(f *testing.F) {
	whole, _ := json.Marshal(sound())
	f.Add(whole)
	f.Add([]byte(`{"tiers":[{"name":"t","rank":-1}],"routes":[{"path":"/"}]}`))
	f.Add([]byte(`{"moves":[{"pool":"p","state":"run"},{"pool":"p","state":"run"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var wanted inventory.Config
		if json.Unmarshal(content, &wanted) != nil || len(wanted.Check()) != 0 {
			return
		}
		old := sound()
		d, err := old.Diff(wanted)
		if err != nil {
			t.Fatal(err)
		}
		got, err := old.Apply(d)
		if err != nil {
			t.Fatal(err)
		}
		rest, err := got.Diff(wanted)
		if err != nil || !rest.Empty() {
			t.Fatalf("the difference leaves %+v, %v", rest, err)
		}
	})
}
