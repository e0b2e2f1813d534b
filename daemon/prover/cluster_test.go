package prover_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// binaries is where TestMain built the programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prover")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
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

// freeze stops the process until SIGCONT. It returns once every thread stands
// still: the signal alone lets them go on for some milliseconds.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(patience); !p.frozen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			p.t.Fatalf("%s does not stand still", p.name)
		}
	}
}

func (p *process) frozen() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		// The state follows the name, which is in brackets.
		if _, state, _ := strings.Cut(string(stat), ") "); err != nil || !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// kill ends the process at once, as a VM that fails does.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) gone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// cluster is a platform, upstreams and daemons of one region.
type cluster struct {
	t        *testing.T
	dir      string
	platform *process
	engines  []*process
	daemons  []*process
	// addresses are those of the daemons, in order.
	addresses  []string
	engineAt   []string
	serviceAt  string
	platformAt string
}

// shape is what a test needs.
type shape struct {
	engines      int
	serviceSlots int
	serviceDelay time.Duration
	tokenGap     time.Duration
}

const (
	daemonCount = 3
	org         = "tents-lend"
	token       = "tents-lend-token"
	tokenHash   = "24cf7fa4180ced74a1b9aa40ee67b77e51ce29d8ddeaf5b67e21a5ca1e07af83"
	operator    = "operator-token"
	operatorSum = "0850123315d21ab90f4f7236408a52ef6dbd6a02a6550e5c10dc73f4d993680e"
	patience    = 30 * time.Second
)

func freePorts(t *testing.T, count int) (addresses []string) {
	t.Helper()
	for range count {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = socket.Close() }()
		addresses = append(addresses, socket.Addr().String())
	}
	return addresses
}

func (c *cluster) start(program, name, settings string) *process {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return c.launch(program, name)
}

// restart starts a daemon again at its old addresses.
func (c *cluster) restart(daemon int) {
	c.t.Helper()
	c.daemons[daemon] = c.launch("yuccaspread", fmt.Sprintf("daemon%d", daemon))
}

// launch starts a program whose settings are written.
func (c *cluster) launch(program, name string) *process {
	c.t.Helper()
	file := filepath.Join(c.dir, name+".toml")
	log, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		c.t.Fatal(err)
	}
	p := &process{t: c.t, name: name, cmd: exec.Command(filepath.Join(binaries, program), "--settings", file), done: make(chan struct{})}
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

// clusters bounds how many clusters run at once.
var clusters = make(chan struct{}, 3)

func newCluster(t *testing.T, s shape) *cluster {
	t.Helper()
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
	c := &cluster{t: t, dir: t.TempDir()}
	ports := freePorts(t, 2+s.engines+2*daemonCount)
	platform, service, ports := ports[0], ports[1], ports[2:]
	c.platformAt = platform
	c.serviceAt, c.engineAt = service, ports[:s.engines]
	c.addresses, ports = ports[s.engines:s.engines+daemonCount], ports[s.engines+daemonCount:]
	c.platform = c.start("yuccastandin", "platform", fmt.Sprintf("[platform]\nlisten = %q\n", platform))
	c.start("yuccastandin", "service", fmt.Sprintf("[[services]]\nname = \"registry\"\nlisten = %q\ndelay_ms = %d\n", service, s.serviceDelay.Milliseconds()))
	for i, at := range c.engineAt {
		c.engines = append(c.engines, c.start("yuccastandin", fmt.Sprintf("engine%d", i), fmt.Sprintf(
			"[[engines]]\nname = \"engine%d\"\nlisten = %q\nversion = \"v1\"\nslots = 8\nprefill_tokens_per_second = 100000.0\ntoken_gap_ms = %d\ncache_blocks = 64\n",
			i, at, s.tokenGap.Milliseconds())))
	}
	c.await("platform", func() bool { return c.get("http://"+platform+"/vms") == http.StatusOK })
	for i := range daemonCount {
		c.daemons = append(c.daemons, c.start("yuccaspread", fmt.Sprintf("daemon%d", i), fmt.Sprintf(
			"name = \"entry-%d\"\nlisten = %q\npeer_listen = %q\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nseeds = [%q, %q, %q]\nplatform = \"http://%s\"\nbootstrap_token_sha256 = %q\n",
			i, c.addresses[i], ports[i], ports[0], ports[1], ports[2], platform, operatorSum)))
	}
	for _, at := range c.addresses {
		c.await("daemon", func() bool { return c.get("http://"+at+"/readyz") == http.StatusOK })
	}
	for _, at := range c.addresses {
		c.await("membership", func() bool { return c.known(at) == daemonCount })
	}
	c.configure(s)
	return c
}

// configure brings the inventory in force and waits until every daemon serves
// both pools.
func (c *cluster) configure(s shape) {
	c.t.Helper()
	var text strings.Builder
	text.WriteString("[[regions]]\nname = \"muscat-a\"\nfailure_domains = [\"muscat-a-1\"]\n")
	text.WriteString("[[pools]]\nname = \"drafts\"\nkind = \"model\"\nmodel = \"drafter\"\nversion = \"v1\"\n[[pools]]\nname = \"stamps\"\nkind = \"service\"\n")
	for i, at := range c.engineAt {
		fmt.Fprintf(&text, "[[upstreams]]\nname = \"engine%d\"\naddress = %q\npool = \"drafts\"\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nslots = 8\nresumes = true\n", i, at)
	}
	fmt.Fprintf(&text, "[[upstreams]]\nname = \"registry\"\naddress = %q\npool = \"stamps\"\nregion = \"muscat-a\"\nfailure_domain = \"muscat-a-1\"\nslots = %d\n", c.serviceAt, s.serviceSlots)
	fmt.Fprintf(&text, "[[organisations]]\nname = %q\ntoken_sha256 = %q\n[[operators]]\nname = \"muscat\"\ntoken_sha256 = %q\nrole = \"admin\"\n", org, tokenHash, operatorSum)
	text.WriteString("[[tiers]]\nname = \"stamp\"\nrank = 0\ndeadline_ms = 20000\n[[tiers]]\nname = \"draft\"\nrank = 1\ndeadline_ms = 20000\n")
	text.WriteString("[[routes]]\nname = \"stamp\"\npath = \"/stamps\"\npool = \"stamps\"\ntier = \"stamp\"\n[[routes]]\nname = \"draft\"\npath = \"/v1/completions\"\nmodel = \"drafter\"\npool = \"drafts\"\ntier = \"draft\"\nidempotent = true\n")
	file := filepath.Join(c.dir, "inventory.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
	apply := exec.Command(filepath.Join(binaries, "yuccactl"), "--server", "http://"+c.addresses[0], "apply", "--file", file)
	apply.Env = append(os.Environ(), "YUCCACTL_TOKEN="+operator)
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

// await waits for a condition; the test fails where it does not come.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	c.t.Fatalf("%s did not come", what)
}

func (c *cluster) get(url string) (status int) {
	res, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// known counts the daemons that the daemon at an address tells callers.
func (c *cluster) known(at string) int {
	res, err := http.Get("http://" + at + "/v1/addresses?region=muscat-a")
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

// fault switches the faults of an upstream on.
func (c *cluster) fault(at, faults string) {
	c.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, "http://"+at+"/faults", strings.NewReader(faults))
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode/100 != 2 {
		c.t.Fatalf("faults: %s", res.Status)
	}
}

// runs tells how often the service ran each key.
func (c *cluster) runs() (runs map[string]int) {
	c.t.Helper()
	res, err := http.Get("http://" + c.serviceAt + "/runs")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	if err = json.NewDecoder(res.Body).Decode(&runs); err != nil {
		c.t.Fatal(err)
	}
	return runs
}

// reply is what a caller got.
type reply struct {
	// status is 0 where the connection broke before or in the answer.
	status  int
	outcome string
	body    string
}

// whole tells whether the caller has to take the answer for a whole one.
func (r reply) whole() bool { return r.status == http.StatusOK }

func (c *cluster) call(daemon int, path, key, body string, deadline time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addresses[daemon]+path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
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

// draft asks for a stream of so many tokens.
func (c *cluster) draft(daemon int, key, prompt string, tokens int) reply {
	body, _ := json.Marshal(map[string]any{"model": "drafter", "prompt": prompt, "max_tokens": tokens, "stream": true})
	return c.call(daemon, "/v1/completions", key, string(body), 0)
}

// stampLater calls the service and gives the reply by a channel.
func (c *cluster) stampLater(daemon int, key, body string, deadline time.Duration) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- c.stamp(daemon, key, body, deadline) }()
	return out
}
