package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Of the streams of playCrashBeforeContinuation and their workers.
const (
	streamEvents   = 30
	streamGap      = 20 * time.Millisecond
	prefillTime    = 600 * time.Millisecond
	crashAfter     = 300 * time.Millisecond
	lastEventKnown = 12
	resumeRequests = 14
	workersPerZone = 3
)

// playCrashBeforeContinuation lets requesters resume streams after an event, and crashes one of
// the workers while it reads their prompts, after the head of its answers. Without trouble all
// workers go on.
func playCrashBeforeContinuation(w *world) (r result) {
	if err := w.startResumable(); err != nil {
		return result{err: err}
	}
	var workers []*workerProcess
	for zone := range zones {
		for n := range workersPerZone {
			v, err := w.startWorkerProcess(zone, fmt.Sprintf("i-%d", zone*workersPerZone+n+1))
			if err != nil {
				return result{err: err}
			}
			workers = append(workers, v)
		}
	}
	if err := w.startMachines(); err != nil {
		return result{err: err}
	}
	time.Sleep(stableTime + 2*time.Second)
	client := w.newRequester()
	requests, bodies := make([]*request, resumeRequests), make([]string, resumeRequests)
	var running sync.WaitGroup
	for i := range requests {
		target := w.machines[i%len(w.machines)]
		requests[i] = newRequest(target, "/brief/", 5*time.Second)
		running.Go(func() { bodies[i] = client.resume(target, requests[i]) })
	}
	time.Sleep(crashAfter)
	victim := slices.MaxFunc(workers, func(a, b *workerProcess) int { return int(a.runs.Load() - b.runs.Load()) })
	if victim.runs.Load() == 0 {
		return result{err: errors.New("no request has reached a worker")}
	}
	if w.trouble {
		w.note("%s is killed, process %d, with %d requests", victim.id, victim.process.Process.Pid, victim.runs.Load())
		_ = victim.process.Process.Signal(syscall.SIGKILL)
	}
	running.Wait()
	for i, q := range requests {
		if !q.whole || q.status != http.StatusOK {
			continue
		}
		for event := lastEventKnown + 1; event <= streamEvents; event++ {
			if !strings.Contains(bodies[i], fmt.Sprintf("id: %d\n", event)) {
				r.broken = append(r.broken, fmt.Sprintf("%s is answered 200, whole, and its stream lacks the events from %d to %d", q, event, streamEvents))
				break
			}
		}
	}
	if !w.trouble {
		for _, q := range requests {
			if !q.whole || q.status != http.StatusOK {
				return result{err: fmt.Errorf("%s was not served although nothing crashed", q)}
			}
		}
	}
	return r
}

// startResumable starts the store and writes an operator's config with one route whose streams
// may be resumed.
func (w *world) startResumable() error {
	if err := w.startStore(); err != nil {
		return err
	}
	routes := []any{map[string]any{
		"name": "caterer-brief", "host": routeHost, "prefix": "/brief/", "kind": "streaming", "timeout-ms": 5000, "goal-ms": 600, "priority": 1,
		"service": "yucca-pool", "max-attempts": 2, "anonymous": false, "sticky": true, "resumable": true, "gap-goal-ms": 250,
	}}
	services := []any{map[string]any{"name": "yucca-pool", "health-path": "/health", "max-conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 5}}}
	w.putConfig(1, routes, services, map[string]any{"name": "hule930", "api-keys": []any{apiKey}})
	return nil
}

// resume sends a request that goes on after an event, and returns the body that came.
func (c *requester) resume(m *machine, q *request) (body string) {
	ctx, cancel := context.WithTimeout(context.Background(), q.limit)
	defer cancel()
	q.sent = time.Now()
	c.world.note("%s is sent, to go on after event %d", q, lastEventKnown)
	q.err = func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.front+q.route+"2f", strings.NewReader("the request's body"))
		if err != nil {
			return err
		}
		req.Host, req.GetBody = routeHost, nil
		req.Header = http.Header{
			"Attempt-Id": {q.id}, "Deadline-Ms": {strconv.FormatInt(q.limit.Milliseconds(), 10)}, "Authorization": {"Bearer " + apiKey},
			"Last-Event-Id": {strconv.Itoa(lastEventKnown)},
		}
		res, err := c.client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = res.Body.Close() }()
		q.status = res.StatusCode
		text, err := io.ReadAll(res.Body)
		body = string(text)
		return err
	}()
	q.ended, q.size, q.whole = time.Now(), len(body), q.err == nil
	c.world.note("%s ends after %d ms: status %d, whole %v, %d events, error %v", q, q.ended.Sub(q.sent).Milliseconds(), q.status, q.whole, strings.Count(body, "id: "), q.err)
	return body
}

// workerProcess is a worker that is a process of its own.
type workerProcess struct {
	id      string
	process *exec.Cmd
	// runs counts the requests that it began to work on.
	runs atomic.Int64
}

// startWorkerProcess starts a worker as a process of its own and registers it.
func (w *world) startWorkerProcess(zone int, id string) (v *workerProcess, err error) {
	address, err := freeAddress(fmt.Sprintf("127.0.%d.1", 20+zone))
	if err != nil {
		return nil, err
	}
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	v = &workerProcess{id: id, process: exec.Command(own, "worker", address, id)}
	output, err := v.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = v.process.Start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, v.process)
	w.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			w.note("%s", lines.Text())
			if strings.Contains(lines.Text(), " runs ") {
				v.runs.Add(1)
			}
		}
	}()
	if err = awaitListener(address); err != nil {
		return nil, err
	}
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			w.store.put("servers", id, map[string]any{
				"service": "yucca-pool", "address": address, "zone": zones[zone].name, "version": "v1", "slots": 5,
				"state": "ready", "cold-left-ms": 0, "seq-no": seq, "born": born,
			})
			time.Sleep(beatInterval)
		}
	}()
	return v, nil
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string) (err error) {
	for range 100 {
		var conn net.Conn
		if conn, err = net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// serveUnframed is the process of a worker whose answers have neither a length nor chunks and
// end with their connection.
func serveUnframed(address, id string) int {
	socket, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(id, "can't listen:", err)
		return exitCantRun
	}
	for {
		conn, err := socket.Accept()
		if err != nil {
			return exitCantRun
		}
		go serveUnframedOn(conn, id)
	}
}

func serveUnframedOn(conn net.Conn, id string) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	attempt := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", id)
		return
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	fmt.Println(id, "runs", attempt, "after event", last)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", attempt, attempt)
	time.Sleep(prefillTime)
	for event := last + 1; event <= streamEvents; event++ {
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: piece %d\n\n", event, event); err != nil {
			fmt.Println(id, "lost the connection of", attempt)
			return
		}
		time.Sleep(streamGap)
	}
	fmt.Println(id, "has answered", attempt)
}
