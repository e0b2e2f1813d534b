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
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yuccaspread/common/allocator"
	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/mover"
	"yuccaspread/daemon/stager"
)

const (
	// operatorHash and familiesHash are SHA-256 hashes of the tokens
	// "operator-token" and familiesToken.
	operatorHash  = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
	familiesToken = "families-token"
	familiesHash  = "b93f098f33a01cdf4a0a54ea183559461e03f5465efd17fa8660935bd9428ebc"
	// movesTimeout bounds each wait of the test. All of them together end before the
	// time limit of go test, which would hide what failed.
	movesTimeout = 3 * time.Minute
	// enginesPerPool is the number of engines in each of the two pools.
	enginesPerPool = 4
	// firstShare is the share of a pool's requests in the first stage of a move.
	firstShare = 0.2
)

// deployment is a platform stand-in, engines and daemons, run as processes.
type deployment struct {
	t       *testing.T
	dir     string
	ports   []string
	daemons []string
	config  inventory.Config
	// processes are the daemons by name; adminURL is the daemon that gets the
	// administration calls.
	processes    map[string]*exec.Cmd
	adminURL     string
	leaderKilled bool
	// leaderByEpoch holds the leaders and epochs that were seen after the kill.
	leaderByEpoch map[int64]string
	// badPoolServed counts the requests that the engines of the bad pool served
	// with the old and the new version.
	badPoolServed [2]int
}

// boundedClient is for calls that no context ends.
var boundedClient = &http.Client{Timeout: fleetTimeout}

// TestMovesFinishAfterLeaderIsKilled moves two pools at once and kills the leader
// in the first stage. One pool's new version works and the move has to finish;
// the other's fails requests and has to be rolled back. Half of the engines check
// fencing numbers, the others ignore them. The test guards against a new leader
// that repeats loads, sends more than the first share to a failing version or
// never ends a move.
func TestMovesFinishAfterLeaderIsKilled(t *testing.T) {
	d := deploy(t)
	due := clock.System{}.Now() + 55*clock.Second
	for _, pool := range []string{"good", "bad"} {
		d.config.Moves = append(d.config.Moves, inventory.Move{
			Name: pool + "-v2", Pool: pool, From: "v1", To: "v2", Due: due, FirstShare: firstShare,
			SoakMS: 2 * clock.Second, State: inventory.MoveRun,
		})
	}
	d.applyConfig()
	stop := d.startTraffic()
	results := d.awaitMoves()
	stop()
	for name, wanted := range map[string]string{"good-v2": "done", "bad-v2": "undone"} {
		if results[name].Result != wanted {
			t.Errorf("move %s: %+v, want %s", name, results[name], wanted)
		}
	}
	if !d.leaderKilled || len(d.leaderByEpoch) < 2 {
		t.Errorf("leader killed: %t; leaders by epoch since then: %v, want 2 or more epochs", d.leaderKilled, d.leaderByEpoch)
	}
	end := time.Now().Add(movesTimeout)
	for _, u := range d.config.Upstreams {
		d.checkEngine(u, end)
	}
	if oldServed, newServed := d.badPoolServed[0], d.badPoolServed[1]; newServed == 0 || float64(newServed) > firstShare*float64(oldServed+newServed) {
		t.Errorf("the failing version served %d requests and the old one %d, want at least 1 and at most the first share", newServed, oldServed)
	}
}

// engineState is the engine stand-in's report of its versions.
type engineState struct {
	Version string         `json:"version"`
	Loaded  []string       `json:"loaded"`
	Fence   int64          `json:"fence"`
	Starts  int            `json:"starts"`
	Served  map[string]int `json:"served"`
}

// checkEngine waits, at most until end, until only the version that the move should
// result in is loaded, checks that the engine began at most one load, and adds what it
// served to badPoolServed.
func (d *deployment) checkEngine(u inventory.Upstream, end time.Time) {
	wanted := map[string]string{"good": "v2", "bad": "v1"}[u.Pool]
	var state engineState
	for {
		d.get("http://"+u.Address+"/v1/versions", &state)
		if state.Version == wanted && len(state.Loaded) == 1 || time.Now().After(end) {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	if state.Version != wanted || len(state.Loaded) != 1 {
		d.t.Errorf("engine %s: %+v, want only version %s loaded", u.Name, state, wanted)
	}
	// A failing version may be rolled back before all engines have begun to load
	// it.
	if state.Starts > 1 || (u.Pool == "good" && (state.Starts == 0 || state.Fence == 0)) {
		d.t.Errorf("engine %s: %d loads begun, fence %d", u.Name, state.Starts, state.Fence)
	}
	if u.Pool == "bad" {
		d.badPoolServed[0] += state.Served["v1"]
		d.badPoolServed[1] += state.Served["v2"]
	}
}

// deploy builds the programs and starts the platform, the engines and two
// daemons.
func deploy(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), processes: map[string]*exec.Cmd{}, leaderByEpoch: map[int64]string{}}
	for _, program := range []string{"daemon", "standin"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(d.dir, program), "yuccaspread/"+program).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %v\n%s", program, err, out)
		}
	}
	var free allocator.Allocator
	t.Cleanup(free.Close)
	ports, err := free.Addresses(1 + 2*enginesPerPool + 2*2)
	if err != nil {
		t.Fatal(err)
	}
	d.ports = ports
	d.fillInventory()
	var settings strings.Builder
	fmt.Fprintf(&settings, "[platform]\nlisten = %q\nweight_bytes_per_second = 2e9\nweight_bytes = 1e9\n", d.ports[0])
	for i, u := range d.config.Upstreams {
		fmt.Fprintf(&settings, "[[engines]]\nname = %q\nlisten = %q\nversion = \"v1\"\nslots = 16\ntoken_gap_ms = 2\nchecks_fencing = %t\n",
			u.Name, u.Address, u.ChecksFencing)
		if u.Pool == "bad" {
			fmt.Fprintf(&settings, "[[engines.behaviours]]\nversion = \"v2\"\nkind = \"fail\"\nevery_nth = %d\n", 1+i%2)
		}
	}
	d.startProgram("standin", settings.String(), d.ports[0]+"/vms")
	for i := range 2 {
		listen := d.ports[1+2*enginesPerPool+i]
		peers := d.ports[3+2*enginesPerPool:]
		d.processes[fmt.Sprintf("entry-%d", i)] = d.startProgram("daemon", fmt.Sprintf("name = \"entry-%d\"\nlisten = %q\npeer_listen = %q\nregion = \"r%d\"\nfailure_domain = \"f%d\"\nplatform = \"http://%s\"\nseeds = [%q]\nbootstrap_token_sha256 = %q\n",
			i, listen, peers[i], i, i, d.ports[0], peers[0], operatorHash), listen+"/healthz")
		d.daemons = append(d.daemons, "http://"+listen)
	}
	d.adminURL = d.daemons[0]
	return d
}

// fillInventory describes two pools with engines in two regions in d.config.
func (d *deployment) fillInventory() {
	c := &d.config
	c.Regions = []inventory.Region{{Name: "r0", FailureDomains: []string{"f0"}, Nearest: []string{"r1"}}, {Name: "r1", FailureDomains: []string{"f1"}, Nearest: []string{"r0"}}}
	c.Limits.AddressLifetimeMS = clock.Second
	c.Organisations = []inventory.Organisation{{Name: "families", TokenSHA256: familiesHash}}
	c.Operators = []inventory.Operator{{Name: "vienna", TokenSHA256: operatorHash, Role: inventory.RoleAdmin}}
	c.Tiers = []inventory.Tier{{Name: "question", DeadlineMS: 20 * clock.Second, CrossRegionBytesPerHour: 1 << 40}}
	for i, pool := range []string{"good", "bad"} {
		c.Pools = append(c.Pools, inventory.Pool{Name: pool, Kind: inventory.PoolModel, Model: pool, Version: "v1"})
		c.Routes = append(c.Routes, inventory.Route{Name: pool, Path: "/v1/completions", Model: pool, Pool: pool, Tier: "question", Idempotent: true})
		for j := range enginesPerPool {
			c.Upstreams = append(c.Upstreams, inventory.Upstream{
				Name: fmt.Sprintf("%s-%d", pool, j), Address: d.ports[1+i*enginesPerPool+j], Pool: pool,
				Region: fmt.Sprintf("r%d", j%2), FailureDomain: fmt.Sprintf("f%d", j%2), Generation: "g", Slots: 16, ChecksFencing: j < enginesPerPool/2,
			})
		}
	}
}

// startProgram runs a program until the end of the test and waits until probe, a
// URL without its scheme, answers.
func (d *deployment) startProgram(program, settings, probe string) *exec.Cmd {
	d.t.Helper()
	file, err := os.CreateTemp(d.dir, program+"*.toml")
	if err != nil {
		d.t.Fatal(err)
	}
	_, _ = file.WriteString(settings)
	_ = file.Close()
	var log bytes.Buffer
	cmd := exec.Command(filepath.Join(d.dir, program), "--settings", file.Name())
	cmd.Stdout, cmd.Stderr = &log, &log
	if err = cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		stuck := dumpAfter(d.t, cmd, movesTimeout)
		_ = cmd.Wait()
		stuck.Stop()
		if d.t.Failed() {
			d.t.Logf("%s:\n%s", program, tail(log.String()))
		}
	})
	for end := time.Now().Add(movesTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := boundedClient.Get("http://" + probe)
		if err == nil {
			_ = res.Body.Close()
			return cmd
		}
	}
	d.t.Fatalf("%s does not answer:\n%s", program, log.String())
	return nil
}

// dumpAfter fails the test and makes the program print its goroutines and exit unless the
// timer is stopped before timeout has passed.
func dumpAfter(t testing.TB, cmd *exec.Cmd, timeout time.Duration) *time.Timer {
	return time.AfterFunc(timeout, func() {
		t.Errorf("%s has not stopped after %s", cmd, timeout)
		_ = cmd.Process.Signal(syscall.SIGQUIT)
	})
}

func tail(log string) string {
	const maxBytes = 8000
	return log[max(len(log)-maxBytes, 0):]
}

// call sends a request to the administration API and decodes the reply.
func (d *deployment) call(method, path string, body, reply any) error {
	content, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(context.Background(), method, d.adminURL+path, bytes.NewReader(content))
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := boundedClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", res.Status, answer)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

func (d *deployment) get(url string, reply any) {
	res, err := boundedClient.Get(url)
	if err != nil {
		return
	}
	defer res.Body.Close()
	_ = json.NewDecoder(res.Body).Decode(reply)
}

// applyConfig commits d.config through the administration API.
func (d *deployment) applyConfig() {
	d.t.Helper()
	var present inventory.Config
	var err error
	for end := time.Now().Add(movesTimeout); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if err = d.call(http.MethodGet, "/v1/admin/config", nil, &present); err != nil {
			continue
		}
		delta, diffErr := present.Diff(d.config.Sorted())
		if diffErr != nil {
			d.t.Fatal(diffErr)
		}
		delta.ChangeID = "moves"
		var accepted struct {
			Revision int64 `json:"revision"`
		}
		if err = d.call(http.MethodPost, "/v1/admin/config", delta, &accepted); err == nil {
			return
		}
		if strings.Contains(err.Error(), "422") {
			break
		}
	}
	d.t.Fatalf("configuration not accepted: %v", err)
}

// startTraffic sends requests for both pools to both daemons until stop is
// called.
func (d *deployment) startTraffic() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for worker := range 16 {
		wait.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				body := fmt.Sprintf(`{"model":%q,"max_tokens":8,"stream":true,"prompt":"%d %d"}`, []string{"good", "bad"}[worker%2], worker, number)
				req, _ := http.NewRequestWithContext(ctx, http.MethodPost, d.daemons[worker/2%2]+"/v1/completions", strings.NewReader(body))
				req.Header.Set("Authorization", "Bearer "+familiesToken)
				res, err := http.DefaultClient.Do(req)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// awaitMoves polls the moves until both have ended and kills the leader in the
// first stage of "good-v2". It returns the last state that was seen of each.
func (d *deployment) awaitMoves() map[string]mover.MoveStatus {
	d.t.Helper()
	results := map[string]mover.MoveStatus{}
	last := ""
	for end := time.Now().Add(movesTimeout); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		var reply struct {
			Leader string             `json:"leader"`
			Epoch  int64              `json:"epoch"`
			Moves  []mover.MoveStatus `json:"moves"`
		}
		if err := d.call(http.MethodGet, "/v1/admin/moves", nil, &reply); err != nil {
			continue
		}
		ended := 0
		line := ""
		for _, v := range reply.Moves {
			results[v.Move] = v
			line += fmt.Sprintf("%s %s stage %d share %g (%s); ", v.Move, v.Phase, v.Stage, v.Share, v.Explanation)
			if v.Result != "open" {
				ended++
			}
		}
		if line != last {
			d.t.Log(line)
			last = line
		}
		if ended == len(d.config.Moves) {
			return results
		}
		if !d.leaderKilled && results["good-v2"].Phase == stager.PhaseStaged {
			d.killLeader(reply.Leader)
		}
		if d.leaderKilled {
			d.leaderByEpoch[reply.Epoch] = reply.Leader
		}
	}
	return results
}

// killLeader kills the leader's process and sends administration calls to the
// other daemon from then on.
func (d *deployment) killLeader(leader string) {
	d.t.Log("killed " + leader)
	d.leaderKilled = true
	_ = d.processes[leader].Process.Kill()
	d.adminURL = d.daemons[0]
	if leader == "entry-0" {
		d.adminURL = d.daemons[1]
	}
}
