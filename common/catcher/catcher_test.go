package catcher_test

import (
	"syscall"
	"testing"
	"time"

	"yuccaspread/common/catcher"
)

const waitTimeout = 10 * time.Second

func receives(t *testing.T, name string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("%s: nothing was received", name)
	}
}

// Guards against signals that end the process: SIGHUP asks for a reload only, also after a
// stop was requested, and a further SIGTERM or SIGINT changes nothing.
func TestSignalsNeverEndTheProcess(t *testing.T) {
	c := catcher.New()
	send := func(s syscall.Signal) {
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := c.StopContext()
	defer cancel()
	send(syscall.SIGHUP)
	receives(t, "reload", c.ReloadRequested())
	if ctx.Err() != nil {
		t.Error("SIGHUP requested a stop")
	}
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP} {
		send(s)
		receives(t, "stop", c.StopRequested())
	}
	receives(t, "reload in a stop", c.ReloadRequested())
	receives(t, "context", ctx.Done())
	c.RequestStop()
}
