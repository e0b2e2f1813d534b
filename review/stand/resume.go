package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Of the streams that the worker of playCrashBeforeContinuation sends.
const (
	streamEvents   = 30
	streamGap      = 20 * time.Millisecond
	prefillTime    = 600 * time.Millisecond
	crashAfter     = 300 * time.Millisecond
	lastEventKnown = 12
	resumeRequests = 4
)

// playCrashBeforeContinuation lets requesters resume streams after an event, and crashes the
// worker while it reads their prompts, after the head of its answers. Without trouble the worker
// goes on.
func playCrashBeforeContinuation(w *world) (r result) {
	if err := w.startResumable(); err != nil {
		return result{err: err}
	}
	process, id, err := w.startWorkerProcess()
	if err != nil {
		return result{err: err}
	}
	if err = w.startMachines(); err != nil {
		return result{err: err}
	}
	time.Sleep(stableTime + 2*time.Second)
	client := w.newRequester()
	requests, bodies := make([]*request, resumeRequests), make([]string, resumeRequests)
	var running sync.WaitGroup
	for i := range requests {
		target := w.machines[i%3]
		requests[i] = newRequest(target, "/brief/", 5*time.Second)
		running.Go(func() { bodies[i] = client.resume(target, requests[i]) })
	}
	time.Sleep(crashAfter)
	if w.trouble {
		w.note("%s is killed, process %d", id, process.Process.Pid)
		_ = process.Process.Signal(syscall.SIGKILL)
	}
	running.Wait()
	if w.workerLines.Load() < resumeRequests {
		return result{err: fmt.Errorf("%d of %d requests have reached the worker", w.workerLines.Load(), resumeRequests)}
	}
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

// startWorkerProcess starts a worker as a process of its own and registers it.
func (w *world) startWorkerProcess() (process *exec.Cmd, id string, err error) {
	address, err := freeAddress("127.0.20.1")
	if err != nil {
		return nil, "", err
	}
	id = "i-1"
	own, err := os.Executable()
	if err != nil {
		return nil, "", err
	}
	process = exec.Command(own, "worker", address, id)
	output, err := process.StdoutPipe()
	if err != nil {
		return nil, "", err
	}
	if err = process.Start(); err != nil {
		return nil, "", err
	}
	w.mu.Lock()
	w.processes = append(w.processes, process)
	w.mu.Unlock()
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			w.note("%s", lines.Text())
			w.workerLines.Add(1)
		}
	}()
	if err = awaitListener(address); err != nil {
		return nil, "", err
	}
	born := time.Now().UnixMilli()
	go func() {
		for seq := 1; ; seq++ {
			w.store.put("servers", id, map[string]any{
				"service": "yucca-pool", "address": address, "zone": zones[0].name, "version": "v1", "slots": 5,
				"state": "ready", "cold-left-ms": 0, "seq-no": seq, "born": born,
			})
			time.Sleep(beatInterval)
		}
	}()
	return process, id, nil
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
