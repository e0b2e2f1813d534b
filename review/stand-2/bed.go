package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

//nolint:gochecknoglobals // The list of the cases.
var cases = map[string]func(b *bed) (broken bool, err error){}

// bed is what a case runs on: a store, daemons and workers, each of the latter two a process.
type bed struct {
	// trouble is false if the disruption is to be left out.
	trouble bool
	folder  string
	store   *store
	address string
	daemons []*daemon
	workers []*worker

	// kills counts the daemons that the platform has killed for their memory.
	kills atomic.Int64

	recordMu sync.Mutex
	record   *os.File
	began    time.Time

	mu sync.Mutex
	// ending is set once no process must be started any more; over is closed then.
	ending bool
	over   chan struct{}
}

// runCase runs a case and returns its exit code.
func runCase(run func(b *bed) (broken bool, err error)) int {
	folder, err := os.MkdirTemp("", "lab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}()
	record, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b := &bed{trouble: os.Getenv("TROUBLE") != "0", folder: folder, store: newStore(), record: record, began: time.Now(), over: make(chan struct{})}
	defer func() { _ = record.Close() }()
	if b.address, err = b.store.serve(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	b.note("trouble %v", b.trouble)
	go b.endInTime()
	broken, err := run(b)
	b.stop()
	b.recordWork()
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		b.note("BROKEN")
		return exitBroken
	default:
		b.note("held")
		return exitHeld
	}
}

// maxTime ends a case that has not ended by itself.
const maxTime = 110 * time.Second

// endInTime ends the case and all that it has started at a signal or after maxTime.
func (b *bed) endInTime() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxTime):
	}
	b.note("the case is ended before its time")
	b.stop()
	os.Exit(exitNotRun)
}

// note writes a line to the record, with the time since the start, and prints it.
func (b *bed) note(format string, values ...any) {
	fmt.Print(b.log(format, values...))
}

// log writes a line to the record, with the time since the start.
func (b *bed) log(format string, values ...any) (line string) {
	line = fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(b.began).Seconds()}, values...)...)
	b.recordMu.Lock()
	defer b.recordMu.Unlock()
	_, _ = b.record.WriteString(line)
	return line
}

// recordWork adds what the workers wrote to the record.
func (b *bed) recordWork() {
	for _, w := range b.workers {
		content, _ := os.ReadFile(w.log)
		b.recordMu.Lock()
		_, _ = fmt.Fprintf(b.record, "worker %s, version %s (Unix time in ms, id, what it did, request):\n%s", w.id, w.version, content)
		b.recordMu.Unlock()
	}
}

// stop kills all processes that the case has started.
func (b *bed) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ending {
		return
	}
	b.ending = true
	close(b.over)
	for _, d := range b.daemons {
		d.kill()
	}
	for _, w := range b.workers {
		w.kill()
	}
}

// freePort returns a loopback address whose port was free just now. Each has an IP number of its own, so that no other
// socket takes the port before it is used.
func freePort() string {
	n := addresses.Add(1)
	socket, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%200, 1+n/200, 1+n%200))
	if err != nil {
		panic(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.Addr().String()
}

//nolint:gochecknoglobals // The number of addresses that were given out.
var addresses atomic.Int32

// process is a process that the case has started.
type process struct {
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
}

func startProcess(logPath, program string, arguments ...string) (p *process, err error) {
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, arguments...)
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		return nil, err
	}
	p = &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) {
	if p != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	p.signal(syscall.SIGCONT)
	<-p.ended
}

// daemon is a daemon of the project, started as the deploy file says.
type daemon struct {
	*process
	name, front, ready, control, directory, metrics, settings, log string
}

// addDaemons starts some daemons, whose seeds are the first three of them.
func (b *bed) addDaemons(count int) (err error) {
	var added []*daemon
	for range count {
		added = append(added, b.newDaemon())
	}
	for _, d := range added {
		if err = b.startDaemon(d, added[:min(count, maxSeeds)]); err != nil {
			return err
		}
	}
	return nil
}

// maxSeeds is the number of seeds that the platform names at most.
const maxSeeds = 3

// newDaemon returns a daemon that is not started yet.
func (b *bed) newDaemon() *daemon {
	n := len(b.daemons) + 1
	d := &daemon{
		name: fmt.Sprintf("front-wien-a-%d", n), front: freePort(), ready: freePort(), control: freePort(), directory: freePort(), metrics: freePort(),
		settings: filepath.Join(b.folder, fmt.Sprintf("node-%d.toml", n)), log: filepath.Join(b.folder, fmt.Sprintf("daemon-%d.log", n)),
	}
	b.daemons = append(b.daemons, d)
	return d
}

func (b *bed) startDaemon(d *daemon, seeds []*daemon) (err error) {
	if err = b.writeSettings(d, seeds); err != nil {
		return err
	}
	return d.start()
}

// writeSettings writes the settings that deploy/node.tmpl renders for a small deployment.
func (b *bed) writeSettings(d *daemon, seeds []*daemon) error {
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", seed.control))
	}
	return os.WriteFile(d.settings, []byte(fmt.Sprintf(`name = %q
listen = %q
peer_listen = %q
region = "wien"
failure_domain = "wien-a"
platform = "http://%s"
seeds = [%s]
memory_mb = 284

[hosted]
ready_listen = %q
directory_listen = %q
metrics_listen = %q
stop_ms = 8e3
address_lifetime_ms = 1000
config_apply_ms = 2500
retry_share = 0.2
retry_extra = 54
limit_slack_tokens = 190000
limit_window_s = 8
order_share = 0.1
cross_region_bytes_per_hour = 1099511627776

[hosted.regions]
"wien-a" = "wien"
`, d.name, d.front, d.control, b.address, strings.Join(addresses, ","), d.ready, d.directory, d.metrics)), 0o600)
}

func (d *daemon) start() (err error) {
	d.process, err = startProcess(d.log, "target/yuccaspread", "--settings", d.settings)
	return err
}

// awaitReady waits until all daemons say that they are ready.
func (b *bed) awaitReady() error {
	for _, d := range b.daemons {
		if err := d.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (d *daemon) awaitReady() error {
	for range 200 {
		res, err := http.Get("http://" + d.ready + "/readiness")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", d.name)
}

// worker is a worker stand-in in a process of its own, and its entry in the store.
type worker struct {
	*process
	bed                           *bed
	id, service, address, version string
	slots                         int
	flags                         []string
	log                           string
	state                         string
	born                          int64
}

// addWorker starts a worker of a service and writes its entry. flags go to "lab worker".
func (b *bed) addWorker(service, version string, slots int, flags ...string) (w *worker, err error) {
	id := fmt.Sprintf("i-%s-%d", service, len(b.workers)+1)
	w = &worker{
		bed: b, id: id, service: service, address: freePort(), version: version, slots: slots, flags: flags,
		log: filepath.Join(b.folder, id+".log"), state: "ready",
	}
	b.workers = append(b.workers, w)
	return w, w.start()
}

// start starts the process, waits until it listens and writes its entry: each start is a lifetime of its own.
func (w *worker) start() (err error) {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	arguments := append([]string{"worker", "-address", w.address, "-id", w.id, "-slots", fmt.Sprint(w.slots)}, w.flags...)
	if w.process, err = startProcess(w.log, program, arguments...); err != nil {
		return err
	}
	for range 100 {
		conn, err := net.Dial("tcp", w.address)
		if err == nil {
			_ = conn.Close()
			w.born = time.Now().UnixMilli()
			w.write()
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("worker %s does not listen", w.id)
}

// write writes the entry of the worker.
func (w *worker) write() {
	w.bed.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": "wien-a", "version": w.version, "slots": w.slots, "state": w.state,
		"cold-left-ms": 0, "seq-no": 1, "born": w.born,
	})
}

// route is a route of the operator's config.
type route map[string]any

// putConfig writes a config with one tenant, which has no limit.
func (b *bed) putConfig(version int, routes []route, services []map[string]any) {
	b.putLimitedConfig(version, routes, services, 0)
}

// putLimitedConfig writes a config with one tenant, which may use some tokens a second and as many at once; 0 is no limit.
func (b *bed) putLimitedConfig(version int, routes []route, services []map[string]any, tokensPerSecond int) {
	b.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"key-1"}, "priority": 0, "unit": "tokens", "plain-tokens": 200, "rate-per-s": tokensPerSecond, "burst": tokensPerSecond}},
	})
}

// run is a request that a worker ran.
type run struct {
	worker, version, attempt, path string
	at                             time.Time
}

// runs returns what the workers ran, from what they wrote.
func (b *bed) runs() (list []run) {
	for _, w := range b.workers {
		for _, said := range w.said("runs") {
			list = append(list, run{worker: w.id, version: w.version, attempt: said.attempt, path: said.rest, at: said.at})
		}
	}
	slices.SortFunc(list, func(a, b run) int { return a.at.Compare(b.at) })
	return list
}

// saying is a line that a worker wrote.
type saying struct {
	at            time.Time
	attempt, rest string
}

// said returns the lines of a worker with a verb.
func (w *worker) said(verb string) (list []saying) {
	content, _ := os.ReadFile(w.log)
	for line := range strings.SplitSeq(string(content), "\n") {
		fields := strings.Fields(strings.Replace(line, " on ", " ", 1))
		if len(fields) < 4 || fields[2] != verb {
			continue
		}
		ms, _ := strconv.ParseInt(fields[0], 10, 64)
		list = append(list, saying{at: time.UnixMilli(ms), attempt: fields[3], rest: strings.Join(fields[4:], " ")})
	}
	return list
}

// since returns the time of the record, in seconds.
func (b *bed) since(at time.Time) float64 { return at.Sub(b.began).Seconds() }

func sortTimes(times []time.Time) {
	slices.SortFunc(times, time.Time.Compare)
}

// restartDelay is how long after a crash a worker is back.
const restartDelay = 2 * time.Second

// keepAlive starts a worker again after each crash, until the case ends.
func (w *worker) keepAlive() {
	go func() {
		for {
			select {
			case <-w.bed.over:
				return
			case <-w.ended:
			}
			time.Sleep(restartDelay)
			w.bed.mu.Lock()
			ending := w.bed.ending
			var err error
			if !ending {
				err = w.start()
			}
			w.bed.mu.Unlock()
			if ending {
				return
			}
			if err != nil {
				w.bed.note("worker %s is not back: %v", w.id, err)
				return
			}
		}
	}()
}
