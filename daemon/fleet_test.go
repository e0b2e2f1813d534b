package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"yuccaspread/common/allocator"
	"yuccaspread/common/inventory"
	"yuccaspread/common/loader"
)

const (
	// operatorToken and callerToken are the tokens of the demo's configuration.
	operatorToken = "operator-token"
	callerToken   = "families-token"
	// fleetTimeout bounds each wait for a fleet and each call to it.
	fleetTimeout = 30 * time.Second
	// logTailBytes is how much of each daemon's log a failed test prints.
	logTailBytes = 8000
)

// fleet is a set of daemons and the demo's stand-ins, each a process.
type fleet struct {
	t       testing.TB
	folder  string
	ports   map[string]string
	free    allocator.Allocator
	daemons []*exec.Cmd
	regions []string
	// extraSettings is appended to the settings of each daemon.
	extraSettings string
	// tlsClient calls daemons that serve TLS; nil means plain HTTP.
	tlsClient *http.Client
}

// newFleet builds the programs, starts the stand-ins and one daemon per entry of
// regions, applies the demo's inventory and rules as modified by edit, and waits
// until all daemons are ready.
func newFleet(t testing.TB, edit func(*inventory.Config), regions ...string) *fleet {
	t.Helper()
	return (&fleet{t: t, regions: regions}).startAll(edit)
}

// startAll does what newFleet does, for a fleet whose fields are already set.
func (f *fleet) startAll(edit func(*inventory.Config)) *fleet {
	t, regions := f.t, f.regions
	t.Helper()
	if test, found := t.(*testing.T); found {
		test.Parallel()
	}
	f.folder, f.ports = t.TempDir(), map[string]string{}
	t.Cleanup(f.free.Close)
	t.Cleanup(f.reportLogs)
	for program, folder := range map[string]string{"yuccaspread": ".", "yuccastandin": "../standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(f.folder, program), folder)
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	f.assignPorts("PLATFORM", "ENGINE1", "ENGINE2", "ENGINE3", "SERVICE1", "DAEMON1", "DAEMON2", "DAEMON3", "PEER1", "PEER2", "PEER3")
	for i := range regions {
		f.assignPorts(fmt.Sprintf("LISTEN_%d", i), fmt.Sprintf("PEERLISTEN_%d", i))
	}
	f.startProgram("yuccastandin", f.writeDemoFile("standin"))
	f.await("the platform", func() bool { return f.get("PLATFORM", "/vms", nil) == nil })
	f.daemons = make([]*exec.Cmd, len(regions))
	for i := range regions {
		f.startDaemon(i)
		if i == 0 {
			f.awaitReady(i)
			f.applyDemoConfig(edit)
		}
	}
	for i := range regions {
		f.awaitReady(i)
	}
	f.awaitInForce(1, len(regions))
	return f
}

// reportLogs prints the ends of the daemons' logs if the test has failed.
func (f *fleet) reportLogs() {
	if !f.t.Failed() {
		return
	}
	names, _ := filepath.Glob(filepath.Join(f.folder, "daemon-*.log"))
	for _, name := range names {
		content, _ := os.ReadFile(name)
		f.t.Logf("%s\n%s", name, content[max(0, len(content)-logTailBytes):])
	}
}

// assignPorts assigns a port to each name.
func (f *fleet) assignPorts(names ...string) {
	f.t.Helper()
	for _, name := range names {
		port, err := f.free.Port()
		if err != nil {
			f.t.Fatal(err)
		}
		f.ports[name] = strconv.Itoa(port)
	}
}

// writeDemoFile writes a file of the demo with the ports in place of its
// placeholders.
func (f *fleet) writeDemoFile(name string) (path string) {
	content, err := os.ReadFile("../examples/demo/" + name + ".toml")
	if err != nil {
		f.t.Fatal(err)
	}
	text := string(content)
	for name, port := range f.ports {
		text = strings.ReplaceAll(text, "@"+name+"@", port)
	}
	return f.writeFile(name, text)
}

func (f *fleet) writeFile(name, text string) (path string) {
	path = filepath.Join(f.folder, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// startProgram starts a program that is killed at the end of the test.
func (f *fleet) startProgram(program, settings string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(f.folder, program), "--settings", settings)
	log, err := os.OpenFile(settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd
}

// startDaemon starts or restarts the daemon; its addresses stay the same.
func (f *fleet) startDaemon(i int) {
	var seeds []string
	for j := range f.regions {
		seeds = append(seeds, fmt.Sprintf("%q", "127.0.0.1:"+f.ports[fmt.Sprintf("PEERLISTEN_%d", j)]))
	}
	bootstrapHash := "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
	settings := fmt.Sprintf("name = \"entry-%d\"\nregion = %q\nfailure_domain = %q\nseeds = [%s]\n"+
		"listen = \"127.0.0.1:%s\"\npeer_listen = \"127.0.0.1:%s\"\nplatform = \"http://127.0.0.1:%s\"\nbootstrap_token_sha256 = %q\n",
		i, f.regions[i], f.regions[i]+"-1", strings.Join(seeds, ", "),
		f.ports[fmt.Sprintf("LISTEN_%d", i)], f.ports[fmt.Sprintf("PEERLISTEN_%d", i)], f.ports["PLATFORM"], bootstrapHash) + f.extraSettings
	f.daemons[i] = f.startProgram("yuccaspread", f.writeFile(fmt.Sprintf("daemon-%d", i), settings))
}

func (f *fleet) awaitReady(i int) {
	f.t.Helper()
	f.await(fmt.Sprintf("daemon %d", i), func() bool { return f.get(fmt.Sprintf("LISTEN_%d", i), "/readyz", nil) == nil })
}

// stopDaemon begins a planned stop, through the administration API or with
// SIGTERM, and checks that the daemon exits with status 0.
func (f *fleet) stopDaemon(i int, viaAPI bool) {
	f.t.Helper()
	err := f.daemons[i].Process.Signal(syscall.Signal(0))
	if viaAPI {
		err = f.call(http.MethodPost, fmt.Sprintf("LISTEN_%d", i), "/v1/admin/drain", nil, nil)
	} else if err == nil {
		err = f.daemons[i].Process.Signal(syscall.SIGTERM)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	stuck := dumpAfter(f.t, f.daemons[i], movesTimeout)
	defer stuck.Stop()
	if err := f.daemons[i].Wait(); err != nil {
		f.t.Errorf("daemon %d: %v", i, err)
	}
}

// await polls until done returns true and fails the test after fleetTimeout.
func (f *fleet) await(description string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(fleetTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("waiting for %s: timed out after %v", description, fleetTimeout)
}

// call sends a request with the operator's token and decodes a 2xx reply.
func (f *fleet) call(method, port, path string, body, into any) (err error) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetTimeout)
	defer cancel()
	content, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client, base := http.DefaultClient, "http://127.0.0.1:"
	if f.tlsClient != nil && strings.HasPrefix(port, "LISTEN") {
		client, base = f.tlsClient, "https://127.0.0.1:"
	}
	req, err := http.NewRequestWithContext(ctx, method, base+f.ports[port]+path, bytes.NewReader(content))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	reply, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", res.Status, reply)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(reply, into)
}

func (f *fleet) get(port, path string, into any) (err error) {
	return f.call(http.MethodGet, port, path, nil, into)
}

// applyDemoConfig commits the demo's inventory and rules as modified by edit.
func (f *fleet) applyDemoConfig(edit func(*inventory.Config)) {
	f.t.Helper()
	var wanted inventory.Config
	for _, name := range []string{"inventory", "rules"} {
		content, err := os.ReadFile(f.writeDemoFile(name))
		if err != nil {
			f.t.Fatal(err)
		}
		if err = loader.Decode(content, &wanted); err != nil {
			f.t.Fatal(err)
		}
	}
	edit(&wanted)
	delta, err := inventory.Config{}.Diff(wanted)
	if err != nil {
		f.t.Fatal(err)
	}
	delta.ChangeID = "first"
	if err = f.call(http.MethodPost, "LISTEN_0", "/v1/admin/config", delta, nil); err != nil {
		f.t.Fatal(err)
	}
}

// statusReply holds the fields of the status reply that the tests read.
type statusReply struct {
	Accepted int64 `json:"accepted"`
	InForce  int   `json:"in_force"`
	Daemons  int   `json:"daemons"`
}

func (f *fleet) awaitInForce(revision int64, daemons int) {
	f.t.Helper()
	want := statusReply{revision, daemons, daemons}
	var got statusReply
	f.await(fmt.Sprintf("in force %+v, got %+v", want, got), func() bool {
		return f.get("LISTEN_0", "/v1/admin/status", &got) == nil && got == want
	})
}
