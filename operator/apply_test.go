package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// fakeDaemon answers the administration API from one configuration.
type fakeDaemon struct {
	config   inventory.Config
	conflict bool
	changes  []inventory.Delta
}

func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer token":
		w.WriteHeader(http.StatusUnauthorized)
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(f.config)
	case f.conflict:
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"title":"conflict","detail":"two\nlines","differences":[{"author":"anna"}]}`))
	default:
		var delta inventory.Delta
		_ = json.NewDecoder(r.Body).Decode(&delta)
		f.changes = append(f.changes, delta)
		_, _ = w.Write([]byte(`{"revision":` + "8}"))
	}
}

func start(t *testing.T, daemon *fakeDaemon, token string) (*control, *bytes.Buffer) {
	t.Helper()
	server := httptest.NewServer(daemon)
	t.Cleanup(server.Close)
	out := &bytes.Buffer{}
	c := &control{Server: server.URL, Token: token, Format: "json", Out: out}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	return c, out
}

func file(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "part.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func present() inventory.Config {
	return inventory.Config{
		Revision: 7,
		Tiers:    []inventory.Tier{{Name: "low", Rank: 1}, {Name: "top"}},
		Pools:    []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}},
	}
}

func TestApplyRemovesOnlyWithPruneAndOnlyKindsOfTheFiles(t *testing.T) {
	daemon := &fakeDaemon{config: present()}
	c, _ := start(t, daemon, "token")
	flags := fileFlags{files: []string{file(t, "[[tiers]]\nname = \"top\"\nrank = 0\ndeadline_ms = 5\n")}}
	delta, err := c.compare(context.Background(), flags)
	if err != nil || len(delta.Set) != 1 || len(delta.Remove) != 0 {
		t.Fatalf("without prune: %+v, %v", delta, err)
	}
	flags.prune = true
	delta, err = c.compare(context.Background(), flags)
	if err != nil || len(delta.Remove) != 1 || delta.Remove[0] != (inventory.Key{Kind: inventory.TierKind, Name: "low"}) {
		t.Fatalf("with prune: %+v, %v", delta, err)
	}
}

func TestExitStatusTellsTheKindOfFailure(t *testing.T) {
	good := file(t, "[[tiers]]\nname = \"top\"\nrank = 0\ndeadline_ms = 5\n")
	for _, test := range []struct {
		name, token, file string
		conflict          bool
		want              int
	}{
		{"accepted", "token", good, false, 0},
		{"conflict", "token", good, true, statusConflict},
		{"refused", "other", good, false, statusRefused},
		{"bad file", "token", file(t, "[[tiers]]\ncolour = 1\n"), false, statusUsage},
		{"no file", "token", "absent.toml", false, statusUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, _ := start(t, &fakeDaemon{config: present(), conflict: test.conflict}, test.token)
			delta, err := c.compare(context.Background(), fileFlags{files: []string{test.file}})
			if err == nil {
				err = c.propose(context.Background(), delta, false)
			}
			if got := exitStatus(err); got != test.want {
				t.Fatalf("status %d, want %d: %v", got, test.want, err)
			}
		})
	}
	c := &control{Server: "http://127.0.0.1:1", Format: "json"}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.caller.Config(context.Background()); exitStatus(err) != statusUnreachable {
		t.Fatalf("unreachable: status %d: %v", exitStatus(err), err)
	}
	if err := (&control{Format: "xml"}).prepare(); !errors.Is(err, errUsage) {
		t.Fatalf("format: %v", err)
	}
}

func TestBadFilesNameLineAndKey(t *testing.T) {
	_, err := readFiles([]string{file(t, "[[tiers]]\nname = \"top\"\ncolour = 1\n")})
	if err == nil || !strings.Contains(err.Error(), "line 3: unknown key tiers.colour") {
		t.Fatalf("got %v", err)
	}
}

func TestWrongCallsAreToldBeforeAnyCall(t *testing.T) {
	for _, server := range []string{"", "nonsense", "127.0.0.1:8080", "http://"} {
		if err := (&control{Server: server, Format: "json"}).prepare(); !errors.Is(err, errUsage) {
			t.Errorf("server %q: %v", server, err)
		}
	}
	c := &control{Server: "http://127.0.0.1:1", Format: "json"}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	if err := c.get(context.Background(), "nonsense", ""); !errors.Is(err, errUsage) {
		t.Errorf("get nonsense: %v", err)
	}
	if err := c.importFrom(context.Background(), "", false, false); !errors.Is(err, errUsage) || !strings.Contains(err.Error(), "--file") {
		t.Errorf("import without a file: %v", err)
	}
}

func TestConflictsNameWhoChangedWhat(t *testing.T) {
	c, _ := start(t, &fakeDaemon{config: present(), conflict: true}, "token")
	err := c.propose(context.Background(), inventory.Delta{}, false)
	if err == nil || !strings.Contains(err.Error(), "two\nlines") || !strings.Contains(err.Error(), "anna") {
		t.Fatalf("got %v", err)
	}
}

// TestHelpKeepsTheToken starts the program, as help ends it.
func TestHelpKeepsTheToken(t *testing.T) {
	program := filepath.Join(t.TempDir(), "yuccactl")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	help := exec.Command(program, "--help")
	help.Env = append(os.Environ(), "YUCCACTL_TOKEN=hidden")
	out, err := help.CombinedOutput()
	if err != nil || !strings.Contains(string(out), "--token") || strings.Contains(string(out), "hidden") {
		t.Fatalf("%v\n%s", err, out)
	}
}
