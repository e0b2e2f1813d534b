package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the processes, the stand-ins and the record of one case.
type world struct {
	folder  string
	started time.Time
	// trouble is unset to play the case without its disruption.
	trouble bool

	mu       sync.Mutex
	record   io.Writer
	machines []*machine
	ended    bool
	// processes are the workers that are processes of their own.
	processes []*exec.Cmd
	store     *store
	// storeAddress is the store's IP address and port.
	storeAddress string
}

// note writes a line to the record, with the time since the start in seconds.
func (w *world) note(format string, values ...any) {
	line := fmt.Sprintf(format, values...)
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.started).Seconds(), line)
}

// at returns a moment as seconds since the start.
func (w *world) at(t time.Time) float64 { return t.Sub(w.started).Seconds() }

// Bounds of the platform, as the pages state them for a small deployment.
const (
	graceTime     = 8 * time.Second
	stableTime    = 3 * time.Second
	lossSlack     = 200 * time.Millisecond
	quotaWindow   = 8 * time.Second
	quotaExcess   = 0.1
	quotaSlack    = 190000
	idleTimeoutMS = 15000
	beatInterval  = 1200 * time.Millisecond
	readyTimeout  = 20 * time.Second
	restartDelay  = 300 * time.Millisecond
	configApplyMS = 2500
	deployFile    = "deploy/system.toml"
	routeHost     = "front.example"
)

// machine is one machine of the class front with its daemon.
type machine struct {
	world     *world
	name      string
	zone      string
	ip        string
	front     string
	ready     string
	control   string
	directory string
	settings  string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	starts  int
	// keepUp lets the platform start the process again when it has ended.
	keepUp bool
}

// zones lists the zones of the machines and their regions, as the small installations have them.
var zones = []struct{ name, region string }{{"wien-a", "wien"}, {"graz-a", "graz"}, {"linz-a", "linz"}}

// startMachines starts the daemons of a small deployment: 3, 2 and 2 machines in three zones.
func (w *world) startMachines() error {
	run, template, err := readDeployFile()
	if err != nil {
		return err
	}
	perZone := []int{3, 2, 2}
	for i, zone := range zones {
		for n := range perZone[i] {
			m := &machine{world: w, name: fmt.Sprintf("front-%s-%d", zone.name, n+1), zone: zone.name, ip: fmt.Sprintf("127.0.%d.%d", 10+i, 10+n)}
			for _, address := range []*string{&m.front, &m.ready, &m.control, &m.directory} {
				if *address, err = freeAddress(m.ip); err != nil {
					return err
				}
			}
			w.machines = append(w.machines, m)
		}
	}
	for _, m := range w.machines {
		m.settings = filepath.Join(w.folder, m.name+".toml")
		if err = m.writeSettings(template, w.seeds()); err != nil {
			return err
		}
	}
	for _, m := range w.machines {
		if err = m.start(run); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// seeds returns the control addresses of three machines.
func (w *world) seeds() (seeds []any) {
	for _, i := range []int{0, 3, 5} {
		seeds = append(seeds, w.machines[i].control)
	}
	return seeds
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	socket, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = socket.Close() }()
	return socket.Addr().String(), nil
}

// readDeployFile returns the command of the role and its template.
func readDeployFile() (command []string, template string, err error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, "", err
	}
	value := func(key string) string {
		found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
		if found == nil {
			return ""
		}
		return string(found[1])
	}
	templateText, err := os.ReadFile(value("template"))
	return strings.Fields(value("run")), string(templateText), err
}

// writeSettings renders the template for the machine, as the platform does.
func (m *machine) writeSettings(template string, seeds []any) error {
	regions := map[string]any{}
	for _, z := range zones {
		regions[z.name] = z.region
	}
	region, _ := regions[m.zone].(string)
	fields := map[string]any{
		"node-name": m.name, "ip": m.ip, "zone": m.zone, "region": region, "seeds": seeds, "zones": regions, "bootstrap": true,
		"listen":   map[string]any{"front": m.front, "ready": m.ready, "control": m.control, "directory": m.directory},
		"limits":   map[string]any{"memory-mb": 284},
		"platform": map[string]any{"address": m.world.storeAddress},
		"bounds": map[string]any{
			"grace-s": 8, "config-apply-ms": configApplyMS, "budget-ratio": 0.2, "budget-extra": 54, "quota-slack": quotaSlack, "quota-window-s": 8,
			"quota-excess": quotaExcess, "expose-share": 0.1, "expose-slack": 50, "drain-ms": 2500, "stable-ms": 3000, "loss-slack-ms": 200, "ttl_max_s": 5,
			"rollback-ms": 5000, "recovery-s": 12,
		},
	}
	return os.WriteFile(m.settings, []byte(render(template, fields, fields)), 0o600)
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([^{}]+)\}\}(.*?)\{\{/([^{}]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([^{}#/]+)\}\}`)
)

// render fills in the platform's placeholders: values, and sections over lists and tables.
func render(template string, fields map[string]any, scope any) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(text string) string {
		parts := sectionPattern.FindStringSubmatch(text)
		var out strings.Builder
		add := func(key, value any, last bool) {
			comma := ","
			if last {
				comma = ""
			}
			out.WriteString(valuePattern.ReplaceAllStringFunc(parts[2], func(p string) string {
				switch name := p[2 : len(p)-2]; name {
				case ".":
					return plainText(value)
				case "@":
					return plainText(key)
				case ",":
					return comma
				default:
					return plainText(lookup(fields, name))
				}
			}))
		}
		switch list := lookup(fields, parts[1]).(type) {
		case []any:
			for i, value := range list {
				add(i, value, i == len(list)-1)
			}
		case map[string]any:
			i := 0
			for _, z := range zones {
				add(z.name, list[z.name], i == len(list)-1)
				i++
			}
		}
		return out.String()
	})
	return valuePattern.ReplaceAllStringFunc(template, func(p string) string { return plainText(lookup(fields, p[2:len(p)-2])) })
}

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, isTable := value.(map[string]any)
		if !isTable {
			return nil
		}
		value = table[name]
	}
	return value
}

func plainText(value any) string {
	if value == nil {
		return ""
	}
	return fmt.Sprint(value)
}

// start starts the daemon of the machine.
func (m *machine) start(run []string) error {
	var args []string
	for _, word := range run[1:] {
		if word == "/etc/yuccaspread/node.toml" {
			word = m.settings
		}
		args = append(args, word)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.world.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(run[0], args...)
	process.Stdout, process.Stderr = log, log
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "YUCCASPREAD_SETTINGS=" + m.settings}
	if err = process.Start(); err != nil {
		return err
	}
	m.starts++
	exited := make(chan struct{})
	m.process, m.exited = process, exited
	m.world.note("%s starts, process %d", m.name, process.Process.Pid)
	go func() {
		_ = process.Wait()
		_ = log.Close()
		m.world.note("%s: process %d has ended: %s", m.name, process.Process.Pid, process.ProcessState)
		close(exited)
		m.mu.Lock()
		again := m.keepUp
		m.mu.Unlock()
		if again {
			time.Sleep(restartDelay)
			_ = m.startUnlessEnded(run)
		}
	}()
	return nil
}

func (m *machine) startUnlessEnded(run []string) error {
	m.world.mu.Lock()
	ended := m.world.ended
	m.world.mu.Unlock()
	if ended {
		return nil
	}
	return m.start(run)
}

// signal sends a signal to the daemon of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.world.note("%s gets signal %v", m.name, s)
	_ = m.process.Process.Signal(s)
}

// hasExited reports whether the daemon has ended.
func (m *machine) hasExited() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return true
	default:
		return false
	}
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	res, err := client.Get("http://" + m.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (w *world) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range w.machines {
		for !m.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.note("all machines are ready")
	return nil
}

// endProcesses kills the daemons.
func (w *world) endProcesses() {
	w.mu.Lock()
	w.ended = true
	processes := w.processes
	w.mu.Unlock()
	for _, process := range processes {
		_ = process.Process.Kill()
		_ = process.Wait()
	}
	for _, m := range w.machines {
		m.mu.Lock()
		m.keepUp = false
		process, exited := m.process, m.exited
		m.mu.Unlock()
		if process == nil {
			continue
		}
		_ = process.Process.Kill()
		<-exited
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, m := range w.machines {
			text, _ := os.ReadFile(filepath.Join(w.folder, m.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, m.name+".log"), text, 0o600)
		}
	}
}

// store is a stand-in for the platform's store with the calls that read rows.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[[2]string]storeRow
	history []storeRow
	changed chan struct{}
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// startStore starts the store.
func (w *world) startStore() error {
	socket, err := net.Listen("tcp", "127.0.9.1:0")
	if err != nil {
		return err
	}
	w.store = &store{rows: map[[2]string]storeRow{}, changed: make(chan struct{})}
	w.storeAddress = socket.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", w.store.serveRows)
	mux.HandleFunc("GET /rows-feed", w.store.serveFeed)
	go func() { _ = http.Serve(socket, mux) }()
	return nil
}

// put writes a row, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row := storeRow{Table: table, Key: key, Value: text, Version: s.version}
	s.rows[[2]string{table, key}] = row
	s.history = append(s.history, row)
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply writes rows with the store's version. It is called with mu held.
func (s *store) reply(w http.ResponseWriter, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has-more": false, "ver": s.version, "now-ms": time.Now().UnixMilli()})
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows {
		if row.Table == r.URL.Query().Get("table") && row.Key >= r.URL.Query().Get("from") {
			rows = append(rows, row)
		}
	}
	sortRows(rows)
	s.reply(w, rows)
}

func sortRows(rows []storeRow) {
	for i := range rows {
		for j := i; j > 0 && rows[j].Key < rows[j-1].Key; j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.history {
			if row.Table == r.URL.Query().Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, rows)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.mu.Lock()
			s.reply(w, nil)
			s.mu.Unlock()
			return
		}
	}
}

// putConfig writes a configuration with one tenant.
func (w *world) putConfig(version int, routes, services []any, tenant map[string]any) {
	w.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []any{tenant},
		"limits": map[string]any{"header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeoutMS},
	})
	w.note("the operator's config %d is acknowledged", version)
}
