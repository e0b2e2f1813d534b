package relayer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"yuccaspread/daemon/keeper"
	"yuccaspread/daemon/sender"
)

// chunked gives one event at each read, as an engine's stream does.
type chunked struct {
	chunks []string
}

func (c *chunked) Read(into []byte) (n int, err error) {
	if len(c.chunks) == 0 {
		return 0, io.EOF
	}
	n = copy(into, c.chunks[0])
	c.chunks = c.chunks[1:]
	return n, nil
}

// discard is a caller that reads at once.
type discard struct{ header http.Header }

func (d discard) Header() http.Header             { return d.header }
func (d discard) WriteHeader(int)                 {}
func (d discard) Write(piece []byte) (int, error) { return len(piece), nil }
func (d discard) Flush()                          {}

// BenchmarkRelay brings a stream from the upstream's body to the caller's
// writer, without the network on either side.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []int{16, 64, 256} {
		var chunks []string
		for i := 1; i < size; i++ {
			chunks = append(chunks, fmt.Sprintf("id: a.1:%d\ndata: {\"choices\":[{\"text\":\"word \"}]}\n\n", i))
		}
		chunks = append(chunks, "data: [DONE]\n\n")
		b.Run(fmt.Sprintf("chunks=%d", size), func(b *testing.B) {
			b.ReportAllocs()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				relay(b, chunks)
			}
			b.StopTimer()
			runtime.ReadMemStats(&after)
			total := float64(b.N * size)
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/chunk")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/chunk")
		})
	}
}

// relay brings one stream and fails unless its end mark came.
func relay(b *testing.B, chunks []string) {
	k := &keeper.Keeper{}
	entry := k.Lone()
	reader, err := entry.Answer.Read()
	if err != nil {
		b.Fatal(err)
	}
	defer reader.Close()
	given := make(chan error, 1)
	go func() { given <- Give(b.Context(), discard{http.Header{}}, reader) }()
	pull := &Pull{Sender: &sender.Sender{}, Tag: "a.1", Silence: DefaultSilence, Into: entry.Answer}
	pull.parsed.tag = pull.Tag
	res := httptest.NewRecorder().Result()
	res.Body = io.NopCloser(&chunked{chunks: chunks})
	if err = pull.follow(b.Context(), res); err != nil {
		b.Fatal(err)
	}
	k.End(entry, nil)
	if err = <-given; err != nil || pull.Events() != len(chunks) {
		b.Fatal(err, pull.Events())
	}
}
