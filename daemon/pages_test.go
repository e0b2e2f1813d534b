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

// TestPagesAreTrue runs the commands of the callers' page against a real
// daemon, and looks whether the page on metrics names what the daemon tells.
func TestPagesAreTrue(t *testing.T) {
	f := newFleet(t, func(*inventory.Config) {}, "wien-a")
	address := "127.0.0.1:" + f.ports["LISTEN_0"]
	t.Run("callers", func(t *testing.T) { runCommands(t, address) })
	t.Run("metrics", func(t *testing.T) { compareMetrics(t, address) })
}

// runCommands runs every shell block of the callers' page.
func runCommands(t *testing.T, address string) {
	page, err := os.ReadFile("../docs/callers.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(page), -1)
	if len(blocks) < 3 {
		t.Fatalf("%d commands", len(blocks))
	}
	for _, block := range blocks {
		command := exec.Command("bash", "-ec", block[1])
		command.Env = append(os.Environ(), "DAEMON="+address)
		out, err := command.CombinedOutput()
		if err != nil {
			t.Errorf("%s%v\n%s", block[1], err, out)
		}
		if strings.Contains(block[1], `"stream":true`) && !strings.Contains(string(out), "data: [DONE]") {
			t.Errorf("the stream has no end:\n%s", out)
		}
	}
}

// compareMetrics wants every metric of ours on the page and none besides.
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
	told, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	written := map[string]bool{}
	for _, m := range regexp.MustCompile("`(yuccaspread_[a-z_]+)`").FindAllStringSubmatch(string(page), -1) {
		written[m[1]] = true
	}
	for _, m := range regexp.MustCompile(`(?m)^# TYPE (yuccaspread_[a-z_]+) `).FindAllStringSubmatch(string(told), -1) {
		if !written[m[1]] {
			t.Errorf("%s is not on the page", m[1])
		}
	}
	named := namesInCode(t)
	for name := range written {
		if !named[name] {
			t.Errorf("%s is on the page, but in no file of the daemon", name)
		}
	}
	// A counter that has not counted yet is not told, so the code is read too.
	for name := range named {
		if !written[name] {
			t.Errorf("%s is in the code, but not on the page", name)
		}
	}
}

// namesInCode returns the names of our metrics in the files of the daemon.
func namesInCode(t *testing.T) map[string]bool {
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
