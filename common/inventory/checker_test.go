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

func tokenHash(i int) string { return fmt.Sprintf("%064x", i) }

// validConfig returns a small configuration without mistakes.
func validConfig() inventory.Config {
	return inventory.Config{
		Regions:       []inventory.Region{{Name: "wien-a", FailureDomains: []string{"wien-a-1"}, Nearest: []string{"graz-a"}}, {Name: "graz-a"}},
		Pools:         []inventory.Pool{{Name: "m", Kind: inventory.PoolModel, Model: "guide"}, {Name: "s", Kind: inventory.PoolService}},
		Upstreams:     []inventory.Upstream{{Name: "u", Address: "10.0.0.1:80", Pool: "m", Region: "wien-a", FailureDomain: "wien-a-1", Slots: 4}},
		Organisations: []inventory.Organisation{{Name: "o", TokenSHA256: tokenHash(1)}},
		Operators:     []inventory.Operator{{Name: "a", TokenSHA256: tokenHash(2), Role: inventory.RoleAdmin}},
		Tiers:         []inventory.Tier{{Name: "t", DeadlineMS: 1000}},
		Routes:        []inventory.Route{{Name: "r", Path: "/v1/completions", Pool: "m", Tier: "t", Idempotent: true}},
		Moves:         []inventory.Move{{Name: "v", Pool: "m", From: "1", To: "2", Due: 1_800_000_000_000, FirstShare: 0.1, State: inventory.MoveRun}},
	}.Sorted()
}

func TestValidConfigurationHasNoMistakes(t *testing.T) {
	if got := validConfig().Check(); len(got) != 0 {
		t.Fatal(got)
	}
}

// Guards against invalid values that come into force because a check is missing,
// and against a Check that stops at the first mistake.
func TestCheckReportsEveryMistake(t *testing.T) {
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
	for want, corrupt := range cases {
		config := validConfig()
		corrupt(&config)
		if got := joinErrors(config.Check()); !strings.Contains(got, want) {
			t.Errorf("want %q, got %q", want, got)
		}
	}
	invalidConfig := validConfig()
	for _, corrupt := range cases {
		corrupt(&invalidConfig)
	}
	if got := len(invalidConfig.Check()); got < len(cases)-3 {
		t.Errorf("%d mistakes reported at once, want nearly all of %d", got, len(cases))
	}
}

func joinErrors(errs []error) string {
	var lines []string
	for _, err := range errs {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// Guards against a change that marks the last upstream as leaving, after which
// every request would be shed.
func TestCheckRejectsConfigurationWhoseUpstreamsAllLeave(t *testing.T) {
	config := validConfig()
	config.Upstreams[0].Leaving = true
	if got := joinErrors(config.Check()); !strings.Contains(got, "every tier would be shed") {
		t.Fatal(got)
	}
}

// Guards against malformed changes that are accepted: a missing change id, an
// entry that is both set and removed, a misspelt field that would be ignored.
func TestCheckFormReportsMalformedDelta(t *testing.T) {
	key := inventory.Key{Kind: inventory.TierKind, Name: "t"}
	d := inventory.Delta{
		Set:    []inventory.Entry{{Key: key, Value: []byte(`{"name":"t","deadline":5}`)}},
		Remove: []inventory.Key{key},
	}
	got := joinErrors(d.CheckForm())
	for _, want := range []string{"change_id", "named twice", `unknown field "deadline"`} {
		if !strings.Contains(got, want) {
			t.Errorf("want %q in %q", want, got)
		}
	}
}

// Guards against an undo that does not restore replaced, removed or added
// entries and so leaves another configuration than before the change.
func TestInverseRevertsAppliedDelta(t *testing.T) {
	old := validConfig()
	wanted := validConfig()
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
		old := validConfig()
		next, err := old.Apply(d)
		if !reflect.DeepEqual(old, validConfig()) {
			t.Fatal("Apply modified the old configuration in place")
		}
		if err != nil {
			if !reflect.DeepEqual(next, old) {
				t.Fatal("Apply returned an error and a partly applied change")
			}
			return
		}
		if next.Revision != old.Revision+1 || !reflect.DeepEqual(next, next.Sorted()) && len(d.CheckForm()) == 0 {
			t.Fatalf("revision %d does not follow the old one, or the lists are not sorted", next.Revision)
		}
		next.Check()
		checkInverse(t, old, next, d)
	})
}

// checkInverse checks that applying the inverse of a well-formed change restores
// the configuration before it.
func checkInverse(t *testing.T, old, next inventory.Config, d inventory.Delta) {
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
		t.Fatalf("after the undo these differences remain: %+v, %v", rest, err)
	}
}

func FuzzInventory(f *testing.F) {
	encoded, _ := json.Marshal(validConfig())
	f.Add(encoded)
	f.Add([]byte(`{"tiers":[{"name":"t","rank":-1}],"routes":[{"path":"/"}]}`))
	f.Add([]byte(`{"moves":[{"pool":"p","state":"run"},{"pool":"p","state":"run"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		var wanted inventory.Config
		if json.Unmarshal(content, &wanted) != nil || len(wanted.Check()) != 0 {
			return
		}
		old := validConfig()
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
			t.Fatalf("after applying the difference these remain: %+v, %v", rest, err)
		}
	})
}
