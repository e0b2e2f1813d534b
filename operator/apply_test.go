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

// fakeDaemon serves config and accepts every change as revision 8, or answers all
// changes with a conflict.
type fakeDaemon struct {
	config      inventory.Config
	hasConflict bool
	deltas      []inventory.Delta
}

func (f *fakeDaemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Header.Get("Authorization") != "Bearer token":
		w.WriteHeader(http.StatusUnauthorized)
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(f.config)
	case f.hasConflict:
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = w.Write([]byte(`{"title":"conflict","detail":"two\nlines","differences":[{"author":"anna"}]}`))
	default:
		var delta inventory.Delta
		_ = json.NewDecoder(r.Body).Decode(&delta)
		f.deltas = append(f.deltas, delta)
		_, _ = w.Write([]byte(`{"revision":` + "8}"))
	}
}

// newCLI starts a server for the daemon and returns a prepared cli that writes JSON
// to the returned buffer.
func newCLI(t *testing.T, daemon *fakeDaemon, token string) (*cli, *bytes.Buffer) {
	t.Helper()
	server := httptest.NewServer(daemon)
	t.Cleanup(server.Close)
	out := &bytes.Buffer{}
	c := &cli{Server: server.URL, Token: token, Format: "json", Out: out}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	return c, out
}

func writeTOML(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "part.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func currentConfig() inventory.Config {
	return inventory.Config{
		Revision: 7,
		Tiers:    []inventory.Tier{{Name: "low", Rank: 1}, {Name: "top"}},
		Pools:    []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}},
	}
}

// An operator who applies one file must not lose entries that only other files
// describe. Entries that the files lack are removed only with --prune, and only if
// the files contain entries of the same kind.
func TestApplyRemovesOnlyWithPruneAndOnlyKindsInTheFiles(t *testing.T) {
	daemon := &fakeDaemon{config: currentConfig()}
	c, _ := newCLI(t, daemon, "token")
	flags := fileFlags{files: []string{writeTOML(t, "[[tiers]]\nname = \"top\"\nrank = 0\ndeadline_ms = 5\n")}}
	delta, err := c.diffFiles(context.Background(), flags)
	if err != nil || len(delta.Set) != 1 || len(delta.Remove) != 0 {
		t.Fatalf("without prune: %+v, %v", delta, err)
	}
	flags.prune = true
	delta, err = c.diffFiles(context.Background(), flags)
	if err != nil || len(delta.Remove) != 1 || delta.Remove[0] != (inventory.Key{Kind: inventory.TierKind, Name: "low"}) {
		t.Fatalf("with prune: %+v, %v", delta, err)
	}
}

// Scripts tell failures apart by the exit status, so a conflict, a refusal, invalid
// input and an unreachable daemon must not share one.
func TestExitStatusMatchesTheKindOfFailure(t *testing.T) {
	validFile := writeTOML(t, "[[tiers]]\nname = \"top\"\nrank = 0\ndeadline_ms = 5\n")
	for _, test := range []struct {
		name, token, file string
		conflict          bool
		want              int
	}{
		{"accepted", "token", validFile, false, 0},
		{"conflict", "token", validFile, true, exitConflict},
		{"refused", "other", validFile, false, exitRefused},
		{"bad file", "token", writeTOML(t, "[[tiers]]\ncolour = 1\n"), false, exitUsage},
		{"no file", "token", "absent.toml", false, exitUsage},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, _ := newCLI(t, &fakeDaemon{config: currentConfig(), hasConflict: test.conflict}, test.token)
			delta, err := c.diffFiles(context.Background(), fileFlags{files: []string{test.file}})
			if err == nil {
				err = c.propose(context.Background(), delta, false)
			}
			if got := exitStatus(err); got != test.want {
				t.Fatalf("status %d, want %d: %v", got, test.want, err)
			}
		})
	}
	c := &cli{Server: "http://127.0.0.1:1", Format: "json"}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.api.Config(context.Background()); exitStatus(err) != exitUnreachable {
		t.Fatalf("unreachable: status %d: %v", exitStatus(err), err)
	}
	if err := (&cli{Format: "xml"}).prepare(); !errors.Is(err, errUsage) {
		t.Fatalf("format: %v", err)
	}
}

// A misspelt key must be reported with its line rather than be ignored.
func TestInvalidFileErrorNamesLineAndKey(t *testing.T) {
	_, err := readFiles([]string{writeTOML(t, "[[tiers]]\nname = \"top\"\ncolour = 1\n")})
	if err == nil || !strings.Contains(err.Error(), "line 3: unknown key tiers.colour") {
		t.Fatalf("got %v", err)
	}
}

// Invalid flags must be reported as such; otherwise the request fails first and
// looks like an unreachable daemon.
func TestInvalidUsageIsReportedBeforeAnyRequest(t *testing.T) {
	for _, server := range []string{"", "nonsense", "127.0.0.1:8080", "http://"} {
		if err := (&cli{Server: server, Format: "json"}).prepare(); !errors.Is(err, errUsage) {
			t.Errorf("server %q: %v", server, err)
		}
	}
	c := &cli{Server: "http://127.0.0.1:1", Format: "json"}
	if err := c.prepare(); err != nil {
		t.Fatal(err)
	}
	if err := c.printEntries(context.Background(), "nonsense", ""); !errors.Is(err, errUsage) {
		t.Errorf("get nonsense: %v", err)
	}
	if err := c.importRegister(context.Background(), "", false, false); !errors.Is(err, errUsage) || !strings.Contains(err.Error(), "--file") {
		t.Errorf("import without a file: %v", err)
	}
}

// An operator needs the whole detail of a conflict, line breaks included, and the
// author of the other change in order to settle it.
func TestConflictErrorNamesAuthorAndDetail(t *testing.T) {
	c, _ := newCLI(t, &fakeDaemon{config: currentConfig(), hasConflict: true}, "token")
	err := c.propose(context.Background(), inventory.Delta{}, false)
	if err == nil || !strings.Contains(err.Error(), "two\nlines") || !strings.Contains(err.Error(), "anna") {
		t.Fatalf("got %v", err)
	}
}

// The help text prints the default of every flag, and must not print the token
// from the environment. The test runs the binary, because help ends the process.
func TestHelpDoesNotPrintTheToken(t *testing.T) {
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
