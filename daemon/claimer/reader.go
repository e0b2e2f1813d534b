package claimer

import (
	"context"
	"sync"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/common/ring"
)

// readBatch bounds the rows of one read.
const readBatch = 256

// Reader reads rows in groups: what arrives while a read is in progress
// shares the next one. Its exported fields are set before Run.
type Reader struct {
	Table platform.Table

	once sync.Once
	asks *ring.Ring[ask]
}

type ask struct {
	key  string
	done chan found
}

type found struct {
	row platform.Row
	err error
}

func (r *Reader) init() {
	r.once.Do(func() { r.asks = ring.New[ask](submitRing) })
}

// Read returns the row as it stood at some moment after the call; its Version
// is 0 where it is absent.
func (r *Reader) Read(ctx context.Context, key string) (row platform.Row, err error) {
	r.init()
	a := ask{key: key, done: make(chan found, 1)}
	if err = r.asks.Push(ctx, a); err != nil {
		return row, err
	}
	select {
	case f := <-a.done:
		return f.row, f.err
	case <-ctx.Done():
		return row, ctx.Err()
	}
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) {
	r.init()
	for {
		first, err := r.asks.Pop(ctx)
		if err != nil {
			return
		}
		r.read(ctx, r.group(first))
	}
}

// group returns the first ask and those that wait behind it.
func (r *Reader) group(first ask) (asks []ask) {
	asks = append(asks, first)
	for len(asks) < readBatch {
		select {
		case a := <-r.asks.Items():
			asks = append(asks, a)
		default:
			return asks
		}
	}
	return asks
}

func (r *Reader) read(ctx context.Context, asks []ask) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	keys := make([]string, 0, len(asks))
	for _, a := range asks {
		keys = append(keys, a.key)
	}
	rows, err := r.Table.Read(ctx, keys...)
	known := make(map[string]platform.Row, len(rows))
	for _, row := range rows {
		known[row.Key] = row
	}
	for _, a := range asks {
		row := known[a.key]
		row.Key = a.key
		a.done <- found{row: row, err: err}
	}
}

// readTimeout bounds one read, so that a silent table holds up nobody for long.
const readTimeout = 1 * clock.Second
