package sender

import (
	"errors"
	"net"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

// errAttemptEnded is returned by writes after the attempt was reported as failed.
var errAttemptEnded = errors.New("write on a connection whose attempt has ended")

// conn is a connection that records whether any byte of the current attempt was
// written.
type conn struct {
	net.Conn
	opened time.Time

	mu sync.Mutex
	// attempt is the attempt that uses the connection; if it is nil, writes fail.
	attempt *attempt
}

// attempt records whether one request was written to a connection. writeStarted and
// sealed are never reset.
type attempt struct {
	mu sync.Mutex
	// conn is the one connection that may carry the request.
	conn *conn
	// sealed makes all further writes fail.
	sealed bool
	// writeStarted reports whether a write was started, which may have sent bytes.
	writeStarted bool
}

// Write implements net.Conn.
func (c *conn) Write(piece []byte) (n int, err error) {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a == nil {
		return 0, errAttemptEnded
	}
	if !a.startWrite() {
		return 0, errAttemptEnded
	}
	return c.Conn.Write(piece)
}

// startWrite records that a write starts and reports true, or reports false if the
// attempt is sealed.
func (a *attempt) startWrite() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return false
	}
	a.writeStarted = true
	return true
}

// bind assigns the attempt to the first connection that the transport chooses. The
// transport may retry the request on another connection; writes on that one fail.
func (a *attempt) bind(c *conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	owner := a
	if a.conn != nil {
		owner = nil
	}
	if owner != nil {
		a.conn = c
	}
	c.mu.Lock()
	c.attempt = owner
	c.mu.Unlock()
}

// seal makes all further writes fail and reports whether any byte may have been sent.
func (a *attempt) seal() (writeStarted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.writeStarted
}

// exceedsAge reports whether the connection is older than maxAge.
func (c *conn) exceedsAge(maxAge clock.Millis) bool {
	return time.Since(c.opened) > maxAge.Duration()
}
