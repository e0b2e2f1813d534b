package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// runWorker serves requests as a worker of the users' platform. What it runs goes to standard output.
func runWorker(arguments []string) {
	var w workerOptions
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	address := flags.String("address", "", "address to listen on")
	flags.StringVar(&w.id, "id", "", "id in the store")
	flags.IntVar(&w.slots, "slots", 5, "requests at once")
	flags.IntVar(&w.events, "events", 10, "events of a stream")
	flags.IntVar(&w.eventBytes, "event-bytes", 50, "bytes of an event")
	flags.DurationVar(&w.gap, "gap", 20*time.Millisecond, "time between two events, or of a request")
	flags.DurationVar(&w.first, "first", 20*time.Millisecond, "time until the first event")
	flags.BoolVar(&w.unframed, "unframed", false, "answer with neither a length nor chunks")
	flags.DurationVar(&w.preemption, "preemption", 0, "how long requests are preempted after preemptAfter events while this worker is slow")
	flags.StringVar(&w.crashPart, "crash-part", "", "part of a prompt that crashes this worker once it begins to write")
	_ = flags.Parse(arguments)
	socket, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	w.factor.Store(1)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		for range signals {
			w.factor.Store(1 + slowFactor - w.factor.Load())
		}
	}()
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// slowFactor is how much longer all takes on a worker that is slow, from one SIGUSR1 to the next.
const slowFactor = 5

// preemptAfter is the number of events after which a request is preempted.
const preemptAfter = 3

type workerOptions struct {
	id                        string
	slots, events, eventBytes int
	gap, first                time.Duration
	unframed                  bool
	crashPart                 string
	preemption                time.Duration
	running                   atomic.Int64
	// factor is 1, or slowFactor.
	factor atomic.Int64
}

// say writes a line on what became of a request, with the Unix time in milliseconds.
func (w *workerOptions) say(format string, values ...any) {
	fmt.Printf("%d %s "+format+"\n", append([]any{time.Now().UnixMilli(), w.id}, values...)...)
}

func (w *workerOptions) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !w.answer(conn, req) {
			return
		}
	}
}

// sleep sleeps for the time that something takes on a quick worker, or longer on a slow one.
func (w *workerOptions) sleep(quick time.Duration) {
	time.Sleep(quick * time.Duration(w.factor.Load()))
}

// answer runs a request and reports whether the connection can carry another one.
func (w *workerOptions) answer(conn net.Conn, req *http.Request) (goesOn bool) {
	id := req.Header.Get("Attempt-Id")
	mark := fmt.Sprintf("Attempt-Id: %s\r\nServer-Load: %d,0,%d\r\n", id, w.running.Load(), w.slots)
	if id == "" {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", mark, w.id)
		return err == nil
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", mark)
		return err == nil
	}
	defer w.running.Add(-1)
	w.say("runs %s %s", id, req.RequestURI)
	if w.crashPart != "" && strings.Contains(req.Header.Get("Prompt-Prefix"), w.crashPart) {
		w.sleep(w.first)
		w.say("crashes on %s", id)
		os.Exit(exitBroken)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Seal: %s.%s\r\nContent-Type: text/event-stream\r\n", mark, w.id, id)
	if w.unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	w.sleep(w.first)
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= w.events; i++ {
		if i > last+1 {
			w.sleep(w.gap)
		}
		if i == preemptAfter+1 && w.preemption > 0 && w.factor.Load() > 1 {
			w.say("preempts %s", id)
			w.sleep(w.preemption)
		}
		text := fmt.Sprintf("id: %d\ndata: %d of %d ", i, i, w.events)
		text += strings.Repeat("x", max(w.eventBytes-len(text)-2, 0)) + "\n\n"
		if !w.unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, head+text); err != nil {
			w.say("cut %s after %d events", id, i-1)
			return false
		}
		head = ""
	}
	w.say("completes %s", id)
	if w.unframed {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
