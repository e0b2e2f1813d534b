package claimer_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"yuccaspread/common/clock"
	"yuccaspread/common/platform"
	"yuccaspread/daemon/claimer"
)

// slowTable is a table that replies to a write after roundTrip and counts the
// writes.
type slowTable struct {
	faultyTable
	roundTrip time.Duration
	writes    atomic.Int64
}

func (s *slowTable) Apply(_ context.Context, txn platform.Txn) (result platform.TxnResult, err error) {
	s.writes.Add(1)
	time.Sleep(s.roundTrip)
	return s.apply(txn), nil
}

// BenchmarkClaims measures one writer of a region at several rates of claims
// per second: the claims per table write, and the latency of a claim beyond the
// table's round trip of 3 ms. The spacing of writes is that of six regions.
func BenchmarkClaims(b *testing.B) {
	for _, rate := range []int{10, 100, 2000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) { benchmarkClaimRate(b, rate) })
	}
}

func benchmarkClaimRate(b *testing.B, rate int) {
	table := &slowTable{roundTrip: 3 * time.Millisecond}
	writer := &claimer.Writer{Table: table, Clock: clock.System{}, Spacing: func() clock.Millis { return claimer.Spacing(6) }}
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go writer.Run(ctx)
	c := &claimer.Claimer{Committer: writer, Clock: clock.System{}, Holder: "bench"}
	var mu sync.Mutex
	var addedLatencies []time.Duration
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	nextKey := 0
	for b.Loop() {
		<-ticker.C
		key := fmt.Sprint(nextKey)
		nextKey++
		wg.Go(func() {
			start := time.Now()
			if _, err := c.Claim(ctx, "org", key, 1, clock.System{}.Now()+clock.Minute); err != nil {
				b.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			addedLatencies = append(addedLatencies, time.Since(start)-table.roundTrip)
		})
	}
	wg.Wait()
	slices.Sort(addedLatencies)
	b.ReportMetric(float64(len(addedLatencies))/float64(table.writes.Load()), "claims/write")
	b.ReportMetric(float64(table.writes.Load())/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(addedLatencies[len(addedLatencies)/2].Microseconds())/1000, "ms_added_p50")
	b.ReportMetric(float64(addedLatencies[len(addedLatencies)*95/100].Microseconds())/1000, "ms_added_p95")
}
