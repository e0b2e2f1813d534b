package relayer

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"yuccaspread/daemon/deduplicator"
	"yuccaspread/daemon/sender"
)

// chunkReader returns one event per read, as the stream of an engine does.
type chunkReader struct {
	chunks []string
}

func (c *chunkReader) Read(into []byte) (n int, err error) {
	if len(c.chunks) == 0 {
		return 0, io.EOF
	}
	n = copy(into, c.chunks[0])
	c.chunks = c.chunks[1:]
	return n, nil
}

// discardWriter is a response writer that never blocks and drops what is written.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header             { return d.header }
func (d discardWriter) WriteHeader(int)                 {}
func (d discardWriter) Write(piece []byte) (int, error) { return len(piece), nil }
func (d discardWriter) Flush()                          {}

// BenchmarkRelay measures the copying of a stream from the upstream's body to the
// caller's writer, without a network on either side.
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
				relayStream(b, chunks)
			}
			b.StopTimer()
			runtime.ReadMemStats(&after)
			total := float64(b.N * size)
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/chunk")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/total, "ns/chunk")
		})
	}
}

// relayStream relays one stream and fails unless all events up to the end marker
// arrived.
func relayStream(b *testing.B, chunks []string) {
	d := &deduplicator.Deduplicator{}
	entry := d.NewUnkeyedEntry()
	reader, err := entry.Answer.Read()
	if err != nil {
		b.Fatal(err)
	}
	defer reader.Close()
	written := make(chan error, 1)
	go func() { written <- WriteAnswer(b.Context(), discardWriter{http.Header{}}, reader) }()
	relay := &Relay{Sender: &sender.Sender{}, AttemptID: "a.1", SilenceTimeout: DefaultSilenceTimeout, Answer: entry.Answer}
	relay.events.attemptID = relay.AttemptID
	res := httptest.NewRecorder().Result()
	res.Body = io.NopCloser(&chunkReader{chunks: chunks})
	if err = relay.relayEvents(b.Context(), res); err != nil {
		b.Fatal(err)
	}
	d.End(entry, nil)
	if err = <-written; err != nil || relay.EventCount() != len(chunks) {
		b.Fatal(err, relay.EventCount())
	}
}
