package claimer

import (
	"context"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/common/ring"
)

// maxReadRows is the maximum number of rows of one read.
const maxReadRows = 256

// Reader batches reads of rows: requests that arrive while a read is in
// progress share the next one. Its exported fields are set before Run.
type Reader struct {
	Table platform.Table

	once     sync.Once
	requests *ring.Queue[readRequest]
}

type readRequest struct {
	key  string
	done chan readResult
}

type readResult struct {
	row platform.Row
	err error
}

func (r *Reader) init() {
	r.once.Do(func() { r.requests = ring.NewQueue[readRequest](queueCapacity) })
}

// Read returns the row as read after the call began; its Version is 0 if the
// row is absent. Run must be running.
func (r *Reader) Read(ctx context.Context, key string) (row platform.Row, err error) {
	r.init()
	request := readRequest{key: key, done: make(chan readResult, 1)}
	if err = r.requests.Push(ctx, request); err != nil {
		return row, err
	}
	select {
	case result := <-request.done:
		return result.row, result.err
	case <-ctx.Done():
		return row, ctx.Err()
	}
}

// Run serves the calls of Read until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	r.init()
	for {
		first, err := r.requests.Pop(ctx)
		if err != nil {
			return
		}
		r.readRows(ctx, r.collectBatch(first))
	}
}

// collectBatch returns first and the requests queued behind it, at most
// maxReadRows together.
func (r *Reader) collectBatch(first readRequest) (batch []readRequest) {
	batch = append(batch, first)
	for len(batch) < maxReadRows {
		select {
		case request := <-r.requests.Items():
			batch = append(batch, request)
		default:
			return batch
		}
	}
	return batch
}

// readRows reads the rows of a batch in one call and replies to each request.
func (r *Reader) readRows(ctx context.Context, batch []readRequest) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	keys := make([]string, 0, len(batch))
	for _, request := range batch {
		keys = append(keys, request.key)
	}
	rows, err := r.Table.Read(ctx, keys...)
	byKey := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		byKey[row.Key] = row
	}
	for _, request := range batch {
		row := byKey[request.key]
		row.Key = request.key
		request.done <- readResult{row: row, err: err}
	}
}

// readTimeout bounds one read, so that a table that does not respond delays the
// queued requests by this time at most.
const readTimeout = 1 * clock.Second
