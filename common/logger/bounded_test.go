package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"yuccaspread/common/logger"
)

// blockedWriter is a writer that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (n int, err error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Guards against requests that stall because the log's reader does not keep up,
// and against lines that are lost without a count or a message in the log.
func TestBoundedWriteNeverBlocksAndCountsDroppedLines(t *testing.T) {
	const lines = 10_000
	out := &blockedWriter{unblock: make(chan struct{})}
	b := logger.NewBounded(out)
	for i := range lines {
		if n, err := fmt.Fprintf(b, "line %d\n", i); err != nil || n == 0 {
			t.Fatal(n, err)
		}
	}
	dropped := b.Dropped()
	if dropped == 0 {
		t.Error("no line was dropped although nothing could be written")
	}
	close(out.unblock)
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.written.String()
	if written := strings.Count(text, "\nline ") + 1; int64(written)+dropped != lines {
		t.Errorf("%d written, %d dropped of %d", written, dropped, lines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the log does not say that lines were dropped")
	}
}
