package sender

import (
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

// errRunEnded is returned by writes after the run was reported as failed.
var errRunEnded = errors.New("write on a connection whose run has ended")

const (
	// closeTimeout is how long an upstream has to close a connection on which this process has
	// ended a run early. The connection is reset after it.
	closeTimeout = 50 * clock.Millisecond
	// maxDiscardedBytes bounds what is read meanwhile, in pieces of discardBytes.
	maxDiscardedBytes = 64 << 10
	discardBytes      = 4 << 10
)

// conn is a connection that records whether any byte of the current run was written, and
// whether the upstream has closed it. A close during a run ends the sending side first and then
// waits for the upstream, which tells that the upstream has noticed.
type conn struct {
	net.Conn
	// address is that of the upstream, and pool holds the connection while it is open; nil for none.
	address string
	pool    *openConns
	opened  time.Time
	// gone is closed when nothing more is read from the connection.
	gone chan struct{}
	// reading is held during a read.
	reading sync.Mutex
	// idSeed is the seed of the hashes in carried.
	idSeed maphash.Seed

	mu sync.Mutex
	// settled is closed once the answer to the current call is taken for its own, or the connection is
	// closed; nil after that. The pool may give the connection to the next call before.
	settled chan struct{}
	// carried holds a hash of the id of each request that the connection has carried.
	carried map[uint64]bool
	// run is the run that uses the connection; if it is nil, writes fail.
	run *Run
	// closedByUpstream reports that a read found the end of the connection or a reset.
	closedByUpstream bool
	// closedAt is when Close was called first, zero before.
	closedAt time.Time
	// askedAt is when the sending side was ended by askEnd, zero before; stopped is called once the
	// upstream closes after it.
	askedAt time.Time
	stopped func()
	// writing is closed when the write in progress ends; nil for none. writeFailed reports that the peer has
	// ended a write.
	writing     chan struct{}
	writeFailed bool
	// heardAt is when data came last, zero before the first.
	heardAt time.Time
	// dataAt is when data of the run came last, or when the run began, and pause the time
	// between that and the one before, 0 if no data has come.
	dataAt time.Time
	pause  time.Duration
}

func newConn(plain net.Conn) *conn {
	return &conn{Conn: plain, opened: time.Now(), gone: make(chan struct{}), idSeed: maphash.MakeSeed()}
}

// rejection is the reason why a connection must not carry a call.
type rejection int

const (
	// accepted means that it may.
	accepted rejection = iota
	// repeatedID means that it has carried a request with the same id.
	repeatedID
	// worn means that it has carried MaxCarriedRequests, or is older than maxConnectionAge.
	worn
	// unsettled means that the answer to its last call was not taken for its own.
	unsettled
	// unheard means that nothing has come on it since the time that the call names.
	unheard
	// closed means that it was closed before the call could take it.
	closed
)

// String returns the reason in snake case, as logs show it.
func (r rejection) String() string {
	return [...]string{"accepted", "repeated_id", "worn", "unsettled", "unheard", "closed"}[r]
}

// admit records that the connection is to carry a request with the id, unless it must not.
func (c *conn) admit(ctx context.Context, id string, heardSince time.Time) rejection {
	if !c.awaitSettled(ctx) {
		return unsettled
	}
	if c.lastHeard().Before(heardSince) {
		return unheard
	}
	if time.Since(c.opened) > maxConnectionAge.Duration() || c.isAsked() {
		return worn
	}
	if id == "" {
		return accepted
	}
	hash := maphash.String(c.idSeed, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.carried[hash]:
		return repeatedID
	case len(c.carried) >= MaxCarriedRequests:
		return worn
	case c.carried == nil:
		c.carried = map[uint64]bool{}
	}
	c.carried[hash] = true
	return accepted
}

// settleTimeout is how long a call waits for a decision on the answer to the one before.
const settleTimeout = 100 * clock.Millisecond

// awaitSettled waits until the answer to the last call on the connection is taken for its own. It returns
// false if the connection was closed instead.
func (c *conn) awaitSettled(ctx context.Context) bool {
	c.mu.Lock()
	settled := c.settled
	c.mu.Unlock()
	if settled != nil {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout.Duration())
		defer cancel()
		select {
		case <-settled:
		case <-ctx.Done():
			return false
		}
	}
	return !c.isClosed()
}

// settle lets the call after the run use the connection, unless that is closed.
func (c *conn) settle(r *Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.run == r && c.settled != nil {
		close(c.settled)
		c.settled = nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(piece []byte) (n int, err error) {
	c.mu.Lock()
	r, closed := c.run, !c.closedAt.IsZero() || !c.askedAt.IsZero()
	c.mu.Unlock()
	if closed || r == nil || !r.startWrite() {
		return 0, errRunEnded
	}
	ended := make(chan struct{})
	c.mu.Lock()
	c.writing = ended
	c.mu.Unlock()
	n, err = c.Conn.Write(piece)
	c.mu.Lock()
	// A write also fails if this process closes the connection.
	c.writing, c.writeFailed = nil, c.writeFailed || (err != nil && !errors.Is(err, net.ErrClosed))
	c.mu.Unlock()
	close(ended)
	return n, err
}

// writeEndTimeout is how long a write that a reset has ended may take to return.
const writeEndTimeout = 100 * clock.Millisecond

// wasReset reports whether a write has met a reset. The kernel reports a reset once, to a write or to a read; after
// a write, a read finds the end of the connection as if the peer had closed it in order.
func (c *conn) wasReset() bool {
	c.mu.Lock()
	writing := c.writing
	c.mu.Unlock()
	if writing != nil {
		// A write that the peer does not take blocks beyond the end of the answer.
		select {
		case <-writing:
		case <-time.After(writeEndTimeout.Duration()):
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeFailed
}

// Read implements net.Conn.
func (c *conn) Read(piece []byte) (n int, err error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	n, err = c.Conn.Read(piece)
	c.recordRead(n, err)
	if c.isClosed() {
		// What has come may be the upstream's answer to the close.
		return 0, net.ErrClosed
	}
	if errors.Is(err, io.EOF) && c.isAsked() {
		return n, errStopped
	}
	return n, err
}

// recordRead records the data or the error of a read.
func (c *conn) recordRead(n int, err error) {
	var stopped func()
	c.mu.Lock()
	if n > 0 {
		now := time.Now()
		c.pause, c.dataAt, c.heardAt = now.Sub(c.dataAt), now, now
	}
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.closedByUpstream = true
		stopped, c.stopped = c.stopped, nil
	}
	c.mu.Unlock()
	if stopped != nil {
		stopped()
	}
}

// errStopped is the end of a connection after askEnd: an answer that only the end delimits may have
// been broken off.
var errStopped = errors.New("upstream closed the connection when it was asked to stop")

// askEnd ends the sending side during a run and goes on reading. It returns false if that can't be done,
// or was done before.
func (c *conn) askEnd(r *Run, stopped func()) bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isTCP || c.run != r || c.writing != nil || c.closedByUpstream || !c.closedAt.IsZero() || !c.askedAt.IsZero() {
		return false
	}
	if tcp.CloseWrite() != nil {
		return false
	}
	c.askedAt, c.stopped = time.Now(), stopped
	return true
}

func (c *conn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.dataAt) > c.pause+endTimeout.Duration()
}

func (c *conn) isAsked() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.askedAt.IsZero()
}

// Close implements net.Conn. It returns at once.
func (c *conn) Close() error {
	c.mu.Lock()
	r, isOpen := c.run, c.markClosed()
	c.mu.Unlock()
	if !isOpen {
		return nil
	}
	return c.finishClose(r)
}

// closeIfIdle closes the connection unless a call uses it or has just taken it.
func (c *conn) closeIfIdle() (isClosed bool) {
	r := c.idleRun()
	if r == nil {
		return false
	}
	c.mu.Lock()
	isClosed = c.run == r && c.markClosed()
	c.mu.Unlock()
	if isClosed {
		_ = c.finishClose(r)
	}
	return isClosed
}

// markClosed records that the connection is closed, and returns false if it was before. From then on no run can
// be bound to it. It is called with mu held.
func (c *conn) markClosed() (isFirst bool) {
	if !c.closedAt.IsZero() {
		return false
	}
	c.closedAt = time.Now()
	return true
}

// finishClose closes the socket after markClosed, when r was the connection's run.
func (c *conn) finishClose(r *Run) error {
	byUpstream := c.isClosedByUpstream()
	c.pool.remove(c)
	c.settle(r)
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP || byUpstream || r == nil || !r.isOpen() || tcp.CloseWrite() != nil {
		defer close(c.gone)
		return c.Conn.Close()
	}
	// A deadline in the past ends a read in progress.
	_ = c.SetReadDeadline(c.opened)
	go c.awaitUpstream(tcp, r)
	return nil
}

// awaitUpstream waits until the upstream closes the connection, and resets the connection if it
// does not: the next write of an upstream that looks at the connection only then fails.
func (c *conn) awaitUpstream(tcp *net.TCPConn, r *Run) {
	defer close(c.gone)
	c.reading.Lock()
	defer c.reading.Unlock()
	_ = tcp.SetReadDeadline(time.Now().Add(closeTimeout.Duration()))
	buffer := make([]byte, discardBytes)
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := tcp.Read(buffer)
		c.recordRead(n, err)
		if err != nil {
			break
		}
		discarded += n
	}
	if !c.isClosedByUpstream() && r.isOpen() {
		_ = tcp.SetLinger(0)
	}
	_ = tcp.Close()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closedAt.IsZero()
}

// presumedEnd returns when an upstream that has not closed the connection counts as having
// stopped. One that has written before looks at the connection when it writes again, and a write
// that was on its way at Close has succeeded.
func (c *conn) presumedEnd() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	from := c.closedAt
	if c.askedAt.After(c.dataAt) {
		from = c.askedAt
	}
	end := from.Add(endTimeout.Duration())
	next := c.dataAt.Add(c.pause)
	if from.After(c.dataAt) {
		next = from.Add(from.Sub(c.dataAt))
	}
	if c.pause > 0 && next.After(end) {
		end = next
	}
	if latest := from.Add(MaxEndTimeout.Duration()); end.After(latest) {
		return latest
	}
	return end
}

func (c *conn) isClosedByUpstream() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closedByUpstream
}
