package prover_test

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
	"syscall"
	"testing"
	"time"

	"yuccaspread/common/allocator"
)

// binaryDir is the directory to which TestMain builds the programs.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prover")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaryDir = dir
	for name, module := range map[string]string{"yuccaspread": "daemon", "yuccactl": "operator", "yuccastandin": "standin"} {
		build := exec.Command("go", "build", "-o", filepath.Join(dir, name), "./"+module)
		build.Dir = "../.."
		if out, err := build.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", name, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is one program that the test started.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// freeze stops the process until SIGCONT. It returns once every thread has
// stopped: after the signal they may keep running for some milliseconds.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(waitTimeout); !p.isFrozen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s has threads that did not stop after SIGSTOP", p.name)
		}
	}
}

// isFrozen reports whether every thread of the process is stopped.
func (p *process) isFrozen() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		// The state follows the name, which is in parentheses.
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill sends SIGKILL, as the failure of a VM would end the process, and waits for
// the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// cluster is a platform stand-in, upstreams and daemons of one region.
type cluster struct {
	t        *testing.T
	dir      string
	platform *process
	engines  []*process
	daemons  []*process
	// daemonAddresses are the listen addresses of daemons, in the same order.
	daemonAddresses []string
	engineAddresses []string
	serviceAddress  string
	platformAddress string
}

// clusterOptions are the sizes and delays of a cluster's upstreams.
type clusterOptions struct {
	engines      int
	serviceSlots int
	serviceDelay time.Duration
	tokenGap     time.Duration
}

const (
	daemonCount       = 3
	organisation      = "tents-lend"
	callerToken       = "tents-lend-token"
	callerTokenHash   = "24cf7fa4180ced74a1b9aa40ee67b77e51ce29d8ddeaf5b67e21a5ca1e07af83"
	operatorToken     = "operator-token"
	operatorTokenHash = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
	waitTimeout       = 30 * time.Second
)

// startProgram writes the settings of a program and starts it.
func (c *cluster) startProgram(program, name, settings string) *process {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.launchProgram(program, name)
}

// restartDaemon starts a daemon again with the same settings and addresses.
func (c *cluster) restartDaemon(daemon int) {
	c.t.Helper()
	c.daemons[daemon] = c.launchProgram("yuccaspread", fmt.Sprintf("daemon%d", daemon))
}

// launchProgram starts a program whose settings file exists. The program is
// killed at the end of the test; if the test has failed, the end of its log is
// printed.
func (c *cluster) launchProgram(program, name string) *process {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{t: c.t, name: name, cmd: exec.Command(filepath.Join(binaryDir, program), "--settings", file), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			content, _ := os.ReadFile(log.Name())
			c.t.Logf("%s:\n%s", name, content[max(0, len(content)-6000):])
		}
	})
	return p
}

// clusterSlots is a semaphore that limits how many clusters run at once.
var clusterSlots = make(chan struct{}, 3)

// newCluster starts a cluster, applies its configuration and waits until every
// daemon serves requests.
func newCluster(t *testing.T, options clusterOptions) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, dir: t.TempDir()}
	var free allocator.Allocator
	t.Cleanup(free.Close)
	ports, err := free.Addresses(2 + options.engines + 2*daemonCount)
	if err != nil {
		t.Fatal(err)
	}
	platform, service, ports := ports[0], ports[1], ports[2:]
	c.platformAddress = platform
	c.serviceAddress, c.engineAddresses = service, ports[:options.engines]
	c.daemonAddresses, ports = ports[options.engines:options.engines+daemonCount], ports[options.engines+daemonCount:]
	c.platform = c.startProgram("yuccastandin", "platform", fmt.Sprintf("[platform]\nlisten = %q\n", platform))
	c.startProgram("yuccastandin", "service", fmt.Sprintf("[[services]]\nname = \"registry\"\nlisten = %q\ndelay_ms = %d\n", service, options.serviceDelay.Milliseconds()))
	for i, address := range c.engineAddresses {
		c.engines = append(c.engines, c.startProgram("yuccastandin", fmt.Sprintf("engine%d", i), fmt.Sprintf(
			"[[engines]]\nname = \"engine%d\"\nlisten = %q\nversion = \"v1\"\nslots = 8\nprefill_tokens_per_second = 100000.0\ntoken_gap_ms = %d\ncache_blocks = 64\n",
			i, address, options.tokenGap.Milliseconds())))
	}
	c.await("platform", func() bool { return c.getStatus("http://"+platform+"/vms") == http.StatusOK })
	for i := range daemonCount {
		c.daemons = append(c.daemons, c.startProgram("yuccaspread", fmt.Sprintf("daemon%d", i), fmt.Sprintf(
			"name = \"entry-%d\"\nlisten = %q\npeer_listen = %q\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nseeds = [%q, %q, %q]\nplatform = \"http://%s\"\nbootstrap_token_sha256 = %q\n",
			i, c.daemonAddresses[i], ports[i], ports[0], ports[1], ports[2], platform, operatorTokenHash)))
	}
	for _, address := range c.daemonAddresses {
		c.await("daemon", func() bool { return c.getStatus("http://"+address+"/readyz") == http.StatusOK })
	}
	for _, address := range c.daemonAddresses {
		c.await("membership", func() bool { return c.addressCount(address) == daemonCount })
	}
	c.configure(options)
	return c
}

// configure applies the inventory with yuccactl and waits until every daemon
// serves both pools.
func (c *cluster) configure(options clusterOptions) {
	c.t.Helper()
	var text strings.Builder
	text.WriteString("[[regions]]\nname = \"muscat-a\"\nfailure_domains = [\"muscat-a-1\"]\n")
	text.WriteString("[[pools]]\nname = \"drafts\"\nkind = \"model\"\nmodel = \"drafter\"\nversion = \"v1\"\n[[pools]]\nname = \"stamps\"\nkind = \"service\"\n")
	for i, address := range c.engineAddresses {
		fmt.Fprintf(&text, "[[upstreams]]\nname = \"engine%d\"\naddress = %q\npool = \"drafts\"\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nslots = 8\nresumes = true\n", i, address)
	}
	fmt.Fprintf(&text, "[[upstreams]]\nname = \"registry\"\naddress = %q\npool = \"stamps\"\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nslots = %d\n", c.serviceAddress, options.serviceSlots)
	fmt.Fprintf(&text, "[[organisations]]\nname = %q\ntoken_sha256 = %q\n[[operators]]\nname = \"muscat\"\ntoken_sha256 = %q\nrole = \"admin\"\n", organisation, callerTokenHash, operatorTokenHash)
	text.WriteString("[[tiers]]\nname = \"stamp\"\nrank = 0\ndeadline_ms = 20000\n[[tiers]]\nname = \"draft\"\nrank = 1\ndeadline_ms = 20000\n")
	text.WriteString("[[routes]]\nname = \"stamp\"\npath = \"/stamps\"\npool = \"stamps\"\ntier = \"stamp\"\n[[routes]]\nname = \"draft\"\npath = \"/v1/completions\"\nmodel = \"drafter\"\npool = \"drafts\"\ntier = \"draft\"\nidempotent = true\n")
	file := filepath.Join(c.dir, "inventory.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
	apply := exec.Command(filepath.Join(binaryDir, "yuccactl"), "--server", "http://"+c.daemonAddresses[0], "apply", "--file", file)
	apply.Env = append(os.Environ(), "YUCCACTL_TOKEN="+operatorToken)
	if out, err := apply.CombinedOutput(); err != nil {
		c.t.Fatalf("apply: %v\n%s", err, out)
	}
	for i := range daemonCount {
		c.await("first stamp", func() bool {
			return c.stamp(i, fmt.Sprintf("warm-%d-%d", i, time.Now().UnixNano()), "warm", 0).status == http.StatusOK
		})
		if len(c.engines) > 0 {
			c.await("first draft", func() bool { return c.draft(i, "", "warm", 1).status == http.StatusOK })
		}
	}
}

// await polls until done returns true and fails the test after waitTimeout.
func (c *cluster) await(condition string, done func() bool) {
	c.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s", condition)
}

// getStatus returns the status of a GET request, or 0 if it failed.
func (c *cluster) getStatus(url string) (status int) {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// addressCount returns how many addresses the daemon at address gives to
// callers.
func (c *cluster) addressCount(address string) int {
	res, err := http.Get("http://" + address + "/v1/addresses?region=muscat-a")
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	var answer struct {
		Addresses []struct{} `json:"addresses"`
	}
	_ = json.NewDecoder(res.Body).Decode(&answer)
	return len(answer.Addresses)
}

// setFaults replaces the faults of the stand-in at address.
func (c *cluster) setFaults(address, faults string) {
	c.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, "http://"+address+"/faults", strings.NewReader(faults))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		c.t.Fatalf("faults: %s", res.Status)
	}
}

// runCounts returns how often the service ran each key.
func (c *cluster) runCounts() (runs map[string]int) {
	c.t.Helper()
	res, err := http.Get("http://" + c.serviceAddress + "/runs")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err = json.NewDecoder(res.Body).Decode(&runs); err != nil {
		c.t.Fatal(err)
	}
	return runs
}

// reply is the result of a call.
type reply struct {
	// status is 0 if the connection failed before or during the answer.
	status  int
	outcome string
	body    string
}

// whole reports whether a caller has to regard the answer as whole.
func (r reply) whole() bool { return r.status == http.StatusOK }

// call posts a request to a daemon. An empty key or a deadline of 0 leaves out
// the header.
func (c *cluster) call(daemon int, path, key, body string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.daemonAddresses[daemon]+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+callerToken)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if deadline > 0 {
		req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}
	}
	defer func() { _ = res.Body.Close() }()
	content, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{body: string(content)}
	}
	var problem struct {
		Outcome string `json:"outcome"`
	}
	_ = json.Unmarshal(bytes.TrimSpace(content), &problem)
	return reply{status: res.StatusCode, outcome: problem.Outcome, body: string(content)}
}

// stamp calls the service, which must run each key at most once.
func (c *cluster) stamp(daemon int, key, body string, deadline time.Duration) reply {
	return c.call(daemon, "/stamps", key, body, deadline)
}

// draft requests a stream of the given number of tokens.
func (c *cluster) draft(daemon int, key, prompt string, tokens int) reply {
	body, _ := json.Marshal(map[string]any{"model": "drafter", "prompt": prompt, "max_tokens": tokens, "stream": true})
	return c.call(daemon, "/v1/completions", key, string(body), 0)
}

// stampAsync calls the service in the background and sends the reply to the
// channel.
func (c *cluster) stampAsync(daemon int, key, body string, deadline time.Duration) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- c.stamp(daemon, key, body, deadline) }()
	return out
}
