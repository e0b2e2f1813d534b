package keeper_test

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
	"yuccaspread/daemon/keeper"
)

func read(t *testing.T, r *keeper.Reader) (all []byte, err error) {
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

func TestRepeatJoinsAndIsAnsweredFromMemory(t *testing.T) {
	k := &keeper.Keeper{Clock: &clock.Manual{}}
	key := keeper.Key{Organisation: "o", Key: "k"}
	entry, first := k.Begin(key, 1, 100)
	again, second := k.Begin(key, 1, 100)
	if !first || second || again != entry {
		t.Fatal("the repeat did not join")
	}
	entry.Answer.Begin(keeper.Head{Status: http.StatusOK})
	_ = entry.Answer.Append(t.Context(), []byte("whole"))
	k.End(entry, nil)
	kept, first := k.Begin(key, 1, 100)
	if first {
		t.Fatal("the answer was not kept")
	}
	reader, err := kept.Answer.Read()
	if err != nil {
		t.Fatal(err)
	}
	if got, err := read(t, reader); err != nil || string(got) != "whole" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestCutAnswersAreForgottenAndTold(t *testing.T) {
	k := &keeper.Keeper{Clock: &clock.Manual{}}
	key := keeper.Key{Key: "k"}
	entry, _ := k.Begin(key, 1, 100)
	reader, _ := entry.Answer.Read()
	entry.Answer.Begin(keeper.Head{Status: http.StatusOK})
	_ = entry.Answer.Append(t.Context(), []byte("half"))
	cut := errors.New("cut")
	k.End(entry, cut)
	if got, err := read(t, reader); !errors.Is(err, cut) || string(got) != "half" {
		t.Fatalf("got %q, %v", got, err)
	}
	if _, found := k.Find(key); found {
		t.Fatal("a cut answer was kept")
	}
}

func TestMemoryIsBoundedBySizeAndAge(t *testing.T) {
	now := &clock.Manual{}
	k := &keeper.Keeper{Clock: now, TotalBytes: 10_000, Age: clock.Minute}
	finish := func(name string) {
		entry, _ := k.Begin(keeper.Key{Key: name}, 1, 4000)
		entry.Answer.Begin(keeper.Head{})
		_ = entry.Answer.Append(t.Context(), make([]byte, 3000))
		k.End(entry, nil)
	}
	for i := range 4 {
		finish(fmt.Sprint(i))
	}
	if _, found := k.Find(keeper.Key{Key: "0"}); found {
		t.Fatal("the oldest answer was kept beyond the bound")
	}
	if _, found := k.Find(keeper.Key{Key: "3"}); !found {
		t.Fatal("the newest answer was dropped")
	}
	now.Advance(2 * clock.Minute)
	finish("new")
	if _, found := k.Find(keeper.Key{Key: "3"}); found {
		t.Fatal("an old answer was kept")
	}
}

// A large answer waits for its slowest reader instead of growing.
func TestLargeAnswerPushesBack(t *testing.T) {
	entry := (&keeper.Keeper{}).Lone()
	reader, _ := entry.Answer.Read()
	entry.Answer.Begin(keeper.Head{Status: http.StatusOK})
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
			t.Fatal("the answer grew without bound")
		}
	}
	go func() {
		for range 8 {
			_ = entry.Answer.Append(context.Background(), piece)
		}
		entry.Answer.Finish(nil)
	}()
	got, err := read(t, reader)
	if err != nil || len(got) != written+8*len(piece) {
		t.Fatalf("got %d bytes, %v", len(got), err)
	}
}

// BenchmarkMemory measures what a running request and a kept answer of 1 KB
// take besides the goroutines that serve them.
func BenchmarkMemory(b *testing.B) {
	for _, requests := range []int{1_000, 4_000, 16_000} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) { requestMemory(b, requests) })
	}
}

func requestMemory(b *testing.B, count int) {
	body := make([]byte, 1<<10)
	for b.Loop() {
		k := &keeper.Keeper{Clock: &clock.Manual{}}
		before := heap()
		entries := make([]*keeper.Entry, count)
		for i := range entries {
			entries[i], _ = k.Begin(keeper.Key{Organisation: "organisation", Key: fmt.Sprintf("key-%032d", i)}, 1, 4096)
		}
		running := heap()
		for _, entry := range entries {
			entry.Answer.Begin(keeper.Head{Status: http.StatusOK})
			_ = entry.Answer.Append(b.Context(), body)
			k.End(entry, nil)
		}
		kept := heap()
		b.ReportMetric(float64(running-before), "B_running")
		b.ReportMetric(float64(kept-before), "B_kept")
		runtime.KeepAlive(entries)
		runtime.KeepAlive(k)
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
