package sender

import (
	"errors"
	"net"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

// errSealed ends writes of an attempt that was judged already.
var errSealed = errors.New("the attempt has ended")

// conn is a connection that knows for its present attempt whether any byte
// was written.
type conn struct {
	net.Conn
	opened time.Time

	mu sync.Mutex
	// attempt is the one that uses the connection; nil refuses every write.
	attempt *attempt
}

// attempt is the state of one request on the wire. It moves through the
// states of Sent upwards only.
type attempt struct {
	mu sync.Mutex
	// conn is the one connection that may carry the request.
	conn *conn
	// sealed refuses all writes from then on.
	sealed bool
	// began tells that a write was started and that it may have sent bytes.
	began bool
}

// Write implements net.Conn.
func (c *conn) Write(piece []byte) (n int, err error) {
	c.mu.Lock()
	a := c.attempt
	c.mu.Unlock()
	if a == nil {
		return 0, errSealed
	}
	if !a.admit() {
		return 0, errSealed
	}
	return c.Conn.Write(piece)
}

// admit notes that bytes go out from now on, unless the attempt is sealed.
func (a *attempt) admit() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return false
	}
	a.began = true
	return true
}

// bind ties the attempt to its connection. The transport may choose a second
// connection by itself to send a request again; that one gets no byte.
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

// seal ends all writes and tells whether any byte may have gone out.
func (a *attempt) seal() (began bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sealed = true
	return a.began
}

// old tells whether the connection has served long enough.
func (c *conn) old(age clock.Millis) bool {
	return time.Since(c.opened) > age.Duration()
}
