package sender

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/tuner"
)

// minSilentUpstreams is the number of upstreams with a silent connection from which on those to all upstreams are
// suspect: what is between the machines, and not one upstream, has lost connections then.
const minSilentUpstreams = 2

// openConns holds the open connections that may carry several calls, and which upstreams are silent on one of them. The
// zero value is ready to use; nil holds none.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]struct{}
	silences  map[string]silence
}

// silence is that of a connection to one upstream.
type silence struct {
	conn *conn
	// since is when the connection was last heard or sent on, and recorded when this was found.
	since, recorded time.Time
}

// isOver reports whether the upstream has spoken again, or the socket has closed what was dead then.
func (s silence) isOver(now time.Time) bool {
	return now.Sub(s.recorded) > tuner.UserTimeout.Duration() || s.conn.lastHeard().After(s.since)
}

func (o *openConns) add(c *conn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	conns := o.byAddress[c.address]
	if conns == nil {
		if o.byAddress == nil {
			o.byAddress = map[string]map[*conn]struct{}{}
		}
		conns = map[*conn]struct{}{}
		o.byAddress[c.address] = conns
	}
	conns[c] = struct{}{}
}

func (o *openConns) remove(c *conn) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.byAddress[c.address], c)
	if len(o.byAddress[c.address]) == 0 {
		delete(o.byAddress, c.address)
	}
}

// recordSilence records that of a connection to an upstream, and returns the idle connections on which nothing has
// come since, to that upstream or, if several are silent, to all.
func (o *openConns) recordSilence(silent *conn, since time.Time) (suspects []*conn, upstreams int) {
	now, earliest := time.Now(), since
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.silences == nil {
		o.silences = map[string]silence{}
	}
	o.silences[silent.address] = silence{conn: silent, since: since, recorded: now}
	for address, s := range o.silences {
		if s.isOver(now) {
			delete(o.silences, address)
		} else if s.since.Before(earliest) {
			earliest = s.since
		}
	}
	for address, conns := range o.byAddress {
		limit := earliest
		if address == silent.address {
			limit = since
		} else if len(o.silences) < minSilentUpstreams {
			continue
		}
		for c := range conns {
			if c.idleRun() != nil && c.lastHeard().Before(limit) {
				suspects = append(suspects, c)
			}
		}
	}
	return suspects, len(o.silences)
}

// SuspectSilence checks whether the connection of a run is silent, at the end of a timeout that is longer than its
// upstream usually takes. The timeout may have begun before the request was sent. If the connection has worked before, it
// may be dead, with all others that were open then, while new ones work: idle connections on which nothing has come since
// are closed. That ends no run, and costs no more than new connections if the upstream was just slow. It returns since
// when the connection is silent, zero if it is not, or never worked.
func (s *Sender) SuspectSilence(run *Run, timeout clock.Millis) (since time.Time) {
	if !run.isOpen() {
		return since
	}
	c := run.connection()
	if since = c.silentSince(run); since.IsZero() || time.Since(since) < timeout.Duration()/2 {
		return time.Time{}
	}
	suspects, upstreams := s.conns.recordSilence(c, since)
	closed := 0
	for _, suspect := range suspects {
		if suspect.closeIfIdle() {
			closed++
		}
	}
	if closed > 0 {
		klog.InfoS("closed idle connections that may be as dead as one that is silent", "address", c.address,
			"silent_ms", time.Since(since).Milliseconds(), "silent_upstreams", upstreams, "closed", closed)
	}
	return since
}

// silentSince returns when the last data of a run came, or when it began, zero if nothing has ever come on
// the connection or the run has left it.
func (c *conn) silentSince(r *Run) (since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.run != r || c.heardAt.IsZero() {
		return since
	}
	return c.dataAt
}

// lastHeard returns when data has come last, or when the connection was opened.
func (c *conn) lastHeard() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt.IsZero() {
		return c.opened
	}
	return c.heardAt
}

// idleRun returns the last run if the answer to it has been read to its end, or else nil.
func (c *conn) idleRun() *Run {
	c.mu.Lock()
	run := c.run
	c.mu.Unlock()
	if run == nil || run.State() != Answered {
		return nil
	}
	return run
}
