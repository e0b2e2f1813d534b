package main

import (
	"cmp"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// load sends calls at a fixed rate, to the daemons in turn, until stop is called.
type load struct {
	bed *bed
	// perSecond is the number of calls a second.
	perSecond float64
	// daemons are those that get the calls; nil stands for all of the bed.
	daemons []*daemon
	// name begins the ids of the calls.
	name string
	// next returns the n-th call, from 1.
	next func(n int) call
	// done is called with each result; it may be nil.
	done func(n int, c call, sentAt time.Time, r result)

	ended chan struct{}
	calls sync.WaitGroup
	sent  atomic.Int64
}

func (l *load) start() {
	l.ended = make(chan struct{})
	daemons := l.daemons
	if daemons == nil {
		daemons = l.bed.daemons
	}
	l.calls.Go(func() {
		began := time.Now()
		for n := 1; ; n++ {
			due := began.Add(time.Duration(float64(n) / l.perSecond * float64(time.Second)))
			select {
			case <-l.ended:
				return
			case <-time.After(time.Until(due)):
			}
			c, d := l.next(n), daemons[n%len(daemons)]
			if c.id == "" {
				c.id = fmt.Sprintf("%s-%d", cmp.Or(l.name, "load"), n)
			}
			l.sent.Add(1)
			l.calls.Go(func() {
				sentAt := time.Now()
				l.bed.log("caller %s: %s %s sent to %s", c.id, c.method, c.path, d.name)
				r := c.do(d.front)
				l.bed.log("caller %s: status %d, %s", c.id, r.status, r.reason())
				if l.done != nil {
					l.done(n, c, sentAt, r)
				}
			})
		}
	})
}

// stop ends the load and waits for the answers to its calls.
func (l *load) stop() {
	close(l.ended)
	l.calls.Wait()
}
