package deduplicator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/daemon/deduplicator"
)

// readAll reads to the end of the answer.
func readAll(t *testing.T, r *deduplicator.Reader) (all []byte, err error) {
	t.Helper()
	for {
		piece, err := r.Next(t.Context())
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, piece...)
	}
}

// TestRepeatedKeyJoinsAndIsAnsweredFromMemory guards against a second run of a
// request with a known key: it must get the entry of the running request, and
// after the end the kept answer.
func TestRepeatedKeyJoinsAndIsAnsweredFromMemory(t *testing.T) {
	d := &deduplicator.Deduplicator{Clock: &clock.Manual{}}
	key := deduplicator.Key{Organisation: "o", Key: "k"}
	entry, created := d.Begin(key, 1, 100)
	repeated, createdAgain := d.Begin(key, 1, 100)
	if !created || createdAgain || repeated != entry {
		t.Fatal("repeated key did not join the running request")
	}
	entry.Answer.SetHead(deduplicator.Head{Status: http.StatusOK})
	_ = entry.Answer.Append(t.Context(), []byte("whole"))
	d.End(entry, nil)
	kept, created := d.Begin(key, 1, 100)
	if created {
		t.Fatal("finished answer was not kept")
	}
	reader, err := kept.Answer.Read()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := readAll(t, reader); err != nil || string(got) != "whole" {
		t.Fatalf("got %q, %v", got, err)
	}
}

// TestIncompleteAnswerFailsReadersAndIsDropped guards against an answer that ended
// with an error but reads as complete, or that is served to a later request with
// the key.
func TestIncompleteAnswerFailsReadersAndIsDropped(t *testing.T) {
	d := &deduplicator.Deduplicator{Clock: &clock.Manual{}}
	key := deduplicator.Key{Key: "k"}
	entry, _ := d.Begin(key, 1, 100)
	reader, _ := entry.Answer.Read()
	entry.Answer.SetHead(deduplicator.Head{Status: http.StatusOK})
	_ = entry.Answer.Append(t.Context(), []byte("half"))
	errCut := errors.New("cut")
	d.End(entry, errCut)
	if got, err := readAll(t, reader); !errors.Is(err, errCut) || string(got) != "half" {
		t.Fatalf("got %q, %v", got, err)
	}
	if _, found := d.Find(key); found {
		t.Fatal("incomplete answer was kept")
	}
}

// TestFinishedAnswersAreEvictedBySizeAndAge guards against finished answers that
// use memory beyond MaxBytes or stay beyond MaxAge.
func TestFinishedAnswersAreEvictedBySizeAndAge(t *testing.T) {
	now := &clock.Manual{}
	d := &deduplicator.Deduplicator{Clock: now, MaxBytes: 10_000, MaxAge: clock.Minute}
	finish := func(name string) {
		entry, _ := d.Begin(deduplicator.Key{Key: name}, 1, 4000)
		entry.Answer.SetHead(deduplicator.Head{})
		_ = entry.Answer.Append(t.Context(), make([]byte, 3000))
		d.End(entry, nil)
	}
	for i := range 4 {
		finish(fmt.Sprint(i))
	}
	if _, found := d.Find(deduplicator.Key{Key: "0"}); found {
		t.Fatal("oldest answer was kept beyond MaxBytes")
	}
	if _, found := d.Find(deduplicator.Key{Key: "3"}); !found {
		t.Fatal("newest answer was evicted")
	}
	now.Advance(2 * clock.Minute)
	finish("new")
	if _, found := d.Find(deduplicator.Key{Key: "3"}); found {
		t.Fatal("answer was kept beyond MaxAge")
	}
}

// TestAppendBlocksWhileReaderOfLargeAnswerIsSlow guards against a large answer that
// grows in memory while its reader is slow: Append has to block until the reader
// goes on, and no byte may be lost.
func TestAppendBlocksWhileReaderOfLargeAnswerIsSlow(t *testing.T) {
	entry := (&deduplicator.Deduplicator{}).NewUnkeyedEntry()
	reader, _ := entry.Answer.Read()
	entry.Answer.SetHead(deduplicator.Head{Status: http.StatusOK})
	piece := bytes.Repeat([]byte("x"), 64<<10)
	written := 0
	for {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		err := entry.Answer.Append(ctx, piece)
		cancel()
		if err != nil {
			break
		}
		written += len(piece)
		if written > 1<<20 {
			t.Fatal("Append did not block: more than 1 MiB is buffered for the reader")
		}
	}
	go func() {
		for range 8 {
			_ = entry.Answer.Append(context.Background(), piece)
		}
		entry.Answer.Finish(nil)
	}()
	got, err := readAll(t, reader)
	if err != nil || len(got) != written+8*len(piece) {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// BenchmarkMemory measures the memory of a running request and of a kept answer
// of 1 KB, without the goroutines that serve them.
func BenchmarkMemory(b *testing.B) {
	for _, requests := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) { benchmarkRequestMemory(b, requests) })
	}
}

func benchmarkRequestMemory(b *testing.B, requests int) {
	body := make([]byte, 1<<10)
	for b.Loop() {
		d := &deduplicator.Deduplicator{Clock: &clock.Manual{}}
		before := heapBytes()
		entries := make([]*deduplicator.Entry, requests)
		for i := range entries {
			entries[i], _ = d.Begin(deduplicator.Key{Organisation: "organisation", Key: fmt.Sprintf("key-%032d", i)}, 1, 4096)
		}
		running := heapBytes()
		for _, entry := range entries {
			entry.Answer.SetHead(deduplicator.Head{Status: http.StatusOK})
			_ = entry.Answer.Append(b.Context(), body)
			d.End(entry, nil)
		}
		kept := heapBytes()
		b.ReportMetric(float64(running-before), "B_running")
		b.ReportMetric(float64(kept-before), "B_kept")
		runtime.KeepAlive(entries)
		runtime.KeepAlive(d)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
