package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"yuccaspread/common/clock"
)

// Refusals are refusals of requests that may come again, and late copies of these, replaced by
// PUT /standin/refusals.
type Refusals struct {
	// Every chooses the ids whose number, in order of their first arrival, is a multiple of it; 0
	// chooses none.
	Every int `json:"every"`
	// First is how many of the first requests of a chosen id are refused, with Status.
	First  int `json:"first"`
	Status int `json:"status"`
	// CopyAfterMS are the times, in ascending order and from the start of a run, at which a
	// connection that has carried a refusal of the same id carries that once more.
	CopyAfterMS []clock.Millis `json:"copy_after_ms"`
	// IdleCopyMS is such a time from the refusal itself; 0 writes none then.
	IdleCopyMS clock.Millis `json:"idle_copy_ms"`
}

// arrivalCount is the number of an id among all ids, and how many requests of it came.
type arrivalCount struct{ number, requests int }

// connKey is the key of a connState in the context of a connection.
type connKey struct{}

// connState is a connection whose handler can write copies of refusals.
type connState struct {
	conn net.Conn
	// answering is held while a request on the connection is handled.
	answering sync.Mutex
	// refusals holds the refusals on the connection by id. It is used while answering is held.
	refusals map[string]string
}

// ConnContext returns a context for a connection of an http.Server, with which a worker can write
// copies of its refusals.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{conn: conn, refusals: map[string]string{}})
}

func (v *Worker) serveRefusals(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refusals = Refusals{}
	if err := json.NewDecoder(r.Body).Decode(&v.refusals); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// countArrival counts a request of an id and reports whether it is refused.
func (v *Worker) countArrival(id string) (refusals Refusals, refused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.arrived == nil {
		v.arrived = map[string]arrivalCount{}
	}
	count := v.arrived[id]
	if count.requests == 0 {
		count.number = len(v.arrived) + 1
	}
	count.requests++
	v.arrived[id] = count
	return v.refusals, isEveryNth(count.number, v.refusals.Every) && count.requests <= v.refusals.First
}

// refuseRepeatable refuses a request that may come again, and writes the refusal once more if the
// connection is idle then.
func (v *Worker) refuseRepeatable(w http.ResponseWriter, conn *connState, id string, refusals Refusals) {
	v.refuseUnexecuted(w, refusals.Status)
	if conn == nil {
		return
	}
	refusal := fmt.Sprintf("HTTP/1.1 %d %s\r\nNot-Executed: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		refusals.Status, http.StatusText(refusals.Status), headerAttempt, id)
	conn.refusals[id] = refusal
	if refusals.IdleCopyMS > 0 {
		time.AfterFunc(refusals.IdleCopyMS.Duration(), func() {
			if conn.answering.TryLock() {
				defer conn.answering.Unlock()
				_, _ = io.WriteString(conn.conn, refusal)
			}
		})
	}
}

// writeCopies writes the refusal of an id on the connection once more at each of the times, unless
// ctx is done before.
func (c *connState) writeCopies(ctx context.Context, id string, after []clock.Millis) {
	if c == nil || c.refusals[id] == "" {
		return
	}
	last := clock.Millis(0)
	for _, at := range after {
		if !clock.Sleep(ctx, at-last) {
			return
		}
		last = at
		_, _ = io.WriteString(c.conn, c.refusals[id])
	}
}
