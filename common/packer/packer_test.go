package packer_test

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"yuccaspread/common/packer"
)

// TestPackedIsWhole guards against data that change when they are packed, at the same time as others, and
// against data that are cut, are not packed at all or would fill the memory.
func TestPackedIsWhole(t *testing.T) {
	p := packer.New(gzip.BestSpeed)
	var packing sync.WaitGroup
	for i := range 50 {
		packing.Go(func() {
			data := []byte(strings.Repeat(fmt.Sprintf("row %d, ", i), 100*i))
			got, err := packer.Unpack(p.Pack(data), int64(len(data)))
			if err != nil || !bytes.Equal(got, data) {
				t.Errorf("%d of %d bytes, %v", len(got), len(data), err)
			}
		})
	}
	packing.Wait()
	packed := p.Pack(make([]byte, 1<<20))
	if _, err := packer.Unpack(packed, 1<<20-1); !errors.Is(err, packer.ErrTooLarge) {
		t.Errorf("more than allowed: %v", err)
	}
	for name, wrong := range map[string][]byte{"cut": packed[:len(packed)/2], "empty": nil, "plain": []byte("plain text, not packed")} {
		if _, err := packer.Unpack(wrong, 1<<21); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}
