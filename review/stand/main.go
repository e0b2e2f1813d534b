// Command stand plays the cases of the review: it starts the daemons as processes with the
// command of the deploy file, plays the platform's store, the workers and the requesters, and
// checks one rule by what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// result is the outcome of a case: what breaks the rule, and why the case could not run.
type result struct {
	broken []string
	err    error
}

func main() {
	cases := map[string]func(*world) result{
		"hup":    playHangupWhileStopping,
		"wait":   playStopWhileWaiting,
		"resume": playCrashBeforeContinuation,
		"quota":  playRestarts,
	}
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		os.Exit(serveUnframed(os.Args[2], os.Args[3]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER, from the project's root")
		os.Exit(exitCantRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(*world) result, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer func() { _ = file.Close() }()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	w := &world{record: file, folder: temporary, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	w.note("trouble: %v", w.trouble)
	w.guard()
	r := func() (r result) {
		defer w.endProcesses()
		return play(w)
	}()
	for _, line := range r.broken {
		w.note("broken: %s", line)
	}
	switch {
	case r.err != nil:
		w.note("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return exitCantRun
	case len(r.broken) > 0:
		fmt.Println("rule broken:", len(r.broken), "cases; the first:", r.broken[0])
		return exitBroken
	}
	w.note("rule held")
	fmt.Println("rule held")
	return exitHeld
}

// maxTime bounds a case.
const maxTime = 110 * time.Second

// guard ends the processes of the case if it is interrupted or takes too long.
func (w *world) guard() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case s := <-signals:
			w.note("interrupted: %v", s)
		case <-time.After(maxTime):
			w.note("took more than %v", maxTime)
		}
		w.endProcesses()
		os.Exit(exitCantRun)
	}()
}
