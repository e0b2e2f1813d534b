// Package packer compresses what daemons store and send to each other, as gzip.
package packer

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrTooLarge means that something unpacks to more than is allowed.
var ErrTooLarge = errors.New("too large")

// Packer compresses. It keeps its writers, each of which allocates over half a megabyte, and is safe for
// concurrent use.
type Packer struct {
	level int
	// writers holds *gzip.Writer.
	writers sync.Pool
}

// New returns a packer with a compression level of gzip, which must be valid.
func New(level int) *Packer { return &Packer{level: level} }

// Pack returns data compressed.
func (p *Packer) Pack(data []byte) []byte {
	var packed bytes.Buffer
	w, found := p.writers.Get().(*gzip.Writer)
	if !found {
		// Only an invalid level is an error, and a writer to memory never fails.
		w, _ = gzip.NewWriterLevel(&packed, p.level)
	}
	defer p.writers.Put(w)
	w.Reset(&packed)
	_, _ = w.Write(data)
	_ = w.Close()
	return packed.Bytes()
}

// Unpack returns what Pack was given. The error is ErrTooLarge for more than maxBytes.
func Unpack(packed []byte, maxBytes int64) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("unpack: %w", err)
		}
	}()
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	data, err = io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > maxBytes {
		return nil, ErrTooLarge
	}
	return data, nil
}
