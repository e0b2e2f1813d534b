package logger_test

import (
	"bytes"
	"fmt"
	"strconv"
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

// countLines returns how many lines were written and how many are reported as dropped.
func (w *blockedWriter) countLines(t *testing.T) (written, reported int) {
	t.Helper()
	w.mu.Lock()
	text := w.written.String()
	w.mu.Unlock()
	for _, line := range strings.Split(text, "\n") {
		if _, count, found := strings.Cut(line, "\"count\":"); found {
			n, err := strconv.Atoi(strings.TrimSuffix(count, "}"))
			if err != nil {
				t.Fatalf("line %q: %v", line, err)
			}
			reported += n
		}
	}
	return strings.Count(text, "line\n"), reported
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

// Guards against lines that are lost without a trace while a process ends: each line
// has to be written or to be part of a reported count, whenever Close is called.
func TestBoundedCloseAccountsForEveryLine(t *testing.T) {
	const rounds, writers, linesPerWriter = 200, 3, 1000
	for round := range rounds {
		out := &blockedWriter{unblock: make(chan struct{})}
		close(out.unblock)
		b := logger.NewBounded(out)
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				for range linesPerWriter {
					_, _ = b.Write([]byte("line\n"))
				}
			})
		}
		if round%2 == 0 {
			group.Wait()
		}
		b.Close()
		group.Wait()
		// Close gives up waiting after a while; on a busy machine the rest is written
		// after that.
		written, reported := out.countLines(t)
		for try := 0; written+reported < writers*linesPerWriter && try < 20; try++ {
			b.Close()
			written, reported = out.countLines(t)
		}
		if written+reported != writers*linesPerWriter {
			t.Fatalf("round %d: %d written, %d reported as dropped of %d", round, written, reported, writers*linesPerWriter)
		}
	}
}
