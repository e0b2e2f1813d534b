// Package catcher receives the signals that end or reload a process.
package catcher

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"k8s.io/klog/v2"
)

// Catcher turns SIGINT and SIGTERM into one request to stop, and SIGHUP into requests to
// reload. Create it with New.
type Catcher struct {
	// stop is closed by the first request to stop.
	stop     chan struct{}
	stopOnce sync.Once
	// reload has room for one request to reload.
	reload chan struct{}
}

// queuedSignals is how many signals may arrive while one is logged.
const queuedSignals = 16

// New starts to receive signals. It never stops: the default action of all three signals
// ends the process, and a process that is stopping still has answers to complete. SIGPIPE is
// ignored; it would end the process when nobody reads its log any more.
func New() *Catcher {
	signal.Ignore(syscall.SIGPIPE)
	c := &Catcher{stop: make(chan struct{}), reload: make(chan struct{}, 1)}
	signals := make(chan os.Signal, queuedSignals)
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		for s := range signals {
			klog.InfoS("signal received", "signal", s.String(), "stopping", c.stopping())
			if s == syscall.SIGHUP {
				c.requestReload()
				continue
			}
			c.RequestStop()
		}
	}()
	return c
}

// RequestStop does what SIGTERM does. Only the first request has an effect.
func (c *Catcher) RequestStop() { c.stopOnce.Do(func() { close(c.stop) }) }

// StopRequested returns a channel that is closed once a stop was requested.
func (c *Catcher) StopRequested() <-chan struct{} { return c.stop }

// ReloadRequested returns a channel that receives after requests to reload; those that come before
// the last one was received count as one.
func (c *Catcher) ReloadRequested() <-chan struct{} { return c.reload }

// StopContext returns a context that ends once a stop was requested.
func (c *Catcher) StopContext() (ctx context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(context.Background())
	go func() {
		defer cancel()
		select {
		case <-c.stop:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (c *Catcher) requestReload() {
	select {
	case c.reload <- struct{}{}:
	default:
	}
}

func (c *Catcher) stopping() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}
