package watcher_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"yuccaspread/common/clock"
	"yuccaspread/common/inventory"
	"yuccaspread/daemon/scheduler"
	"yuccaspread/daemon/watcher"
)

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReports reports the bytes of a poll: a load report and the cache
// events of the given number of stored blocks.
func BenchmarkReports(b *testing.B) {
	for _, blocks := range []int{0, 16, 64} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			benchmarkReports(b, blocks)
		})
	}
}

func benchmarkReports(b *testing.B, blocks int) {
	var sequence, polls, bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/load" {
			polls.Add(1)
			_, _ = fmt.Fprint(w, `{"time_ms":1764828000000,"running":12,"waiting":3,"version":"v1","served":12345}`)
			return
		}
		n := sequence.Add(1)
		stored := make([]string, blocks)
		for i := range stored {
			stored[i] = fmt.Sprint(uint64(n*100+int64(i)) * 0x9e3779b97f4a7c15)
		}
		_, _ = fmt.Fprintf(w, `{"last":%d,"events":[{"sequence":%d,"stored":[%s]}]}`, n, n, strings.Join(stored, ","))
	}))
	defer server.Close()
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}}
	ctx, cancel := context.WithCancel(context.Background())
	loadReports := make(chan struct{}, 1)
	upstream := inventory.Upstream{Name: "u1", Pool: "p", Address: strings.TrimPrefix(server.URL, "http://")}
	w := &watcher.Watcher{
		Upstreams: func() []inventory.Upstream { return []inventory.Upstream{upstream} },
		Source:    &staticSource{inventory.Config{Pools: []inventory.Pool{{Name: "p", Kind: inventory.PoolModel}}}},
		Send: func(_ string, m scheduler.Message) {
			if _, ok := m.(scheduler.Load); ok {
				select {
				case loadReports <- struct{}{}:
				case <-ctx.Done():
				}
			}
		},
		Clock: clock.System{}, Client: &http.Client{Transport: transport}, Interval: clock.Millisecond,
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	for range b.N {
		<-loadReports
	}
	cancel()
	<-done
	b.ReportMetric(float64(bytes.Load())/float64(polls.Load()), "bytes/poll")
}
