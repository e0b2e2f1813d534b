package main

import (
	"io"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"yuccaspread/common/inventory"
)

// TestDocumentationMatchesDaemon guards against documentation that no longer matches
// the daemon: it runs the commands of the callers' page against a daemon process and
// compares the metrics page with the metrics that the daemon exports.
func TestDocumentationMatchesDaemon(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a")
	address := "127.0.0.1:" + f.ports["LISTEN_0"]
	t.Run("callers", func(t *testing.T) { runDocumentedCommands(t, address) })
	t.Run("metrics", func(t *testing.T) { compareMetrics(t, address) })
}

// runDocumentedCommands runs every shell block of the callers' page.
func runDocumentedCommands(t *testing.T, address string) {
	page, err := os.ReadFile("../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	if len(blocks) < 3 {
		t.Fatalf("the page has %d shell blocks, want at least 3", len(blocks))
	}
	for _, block := range blocks {
		command := exec.Command("bash", "-ec", block[1])
		command.Env = append(os.Environ(), "DAEMON="+address)
		out, err := command.CombinedOutput()
		if err != nil {
			t.Errorf("%s%v\n%s", block[1], err, out)
		}
		if strings.Contains(block[1], `"stream":true`) && !strings.Contains(string(out), "data: [DONE]") {
			t.Errorf("the stream has no end marker:\n%s", out)
		}
	}
}

// compareMetrics checks that the page names every yuccaspread metric and no
// others.
func compareMetrics(t *testing.T, address string) {
	page, err := os.ReadFile("../docs/operators/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	exposition, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("`(yuccaspread_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (yuccaspread_[a-z_]+) `).FindAllStringSubmatch(string(exposition), -1) {
		if !documented[m[1]] {
			t.Errorf("%s is exported, but not on the page", m[1])
		}
	}
	inCode := metricNamesInCode(t)
	for name := range documented {
		if !inCode[name] {
			t.Errorf("%s is on the page, but in no file of the daemon", name)
		}
	}
	// Counters without a value are not exported, so the code is read as well.
	for name := range inCode {
		if !documented[name] {
			t.Errorf("%s is in the code, but not on the page", name)
		}
	}
}

// metricNamesInCode returns the metric names that appear as string literals in
// the code of the daemon and of common.
func metricNamesInCode(t *testing.T) map[string]bool {
	names := map[string]bool{}
	quoted := regexp.MustCompile(`"(yuccaspread_[a-z_]+)"`)
	for _, folder := range []string{".", "../common"} {
		err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			for _, m := range quoted.FindAllStringSubmatch(string(content), -1) {
				names[m[1]] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
