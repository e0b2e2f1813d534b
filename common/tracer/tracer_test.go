package tracer_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"go.opentelemetry.io/otel"

	"yuccaspread/common/tracer"
)

// Guards against spans that are lost at the end of the program or sent to a wrong
// path: each exporter gets one span, an OTLP endpoint with and without a path.
func TestSpansReachTheReceiver(t *testing.T) {
	var received atomic.Int64
	receiver := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		content, _ := io.ReadAll(r.Body)
		if r.URL.Path == "/v1/traces" && bytes.Contains(content, []byte("ingress")) {
			received.Add(1)
		}
	}))
	defer receiver.Close()
	for _, s := range []tracer.Settings{
		{Exporter: tracer.OTLP, Endpoint: receiver.URL + "/v1/traces", Ratio: 1},
		{Exporter: tracer.OTLP, Endpoint: receiver.URL, Ratio: 1},
		{Exporter: tracer.Stdout, Ratio: 1},
		{Exporter: tracer.None},
	} {
		var out bytes.Buffer
		stop, err := tracer.Start(t.Context(), s, "yuccaspread", "entry-1", &out)
		if err != nil {
			t.Fatal(err)
		}
		_, span := otel.Tracer("test").Start(t.Context(), "ingress")
		span.End()
		if err = stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		if printed := bytes.Contains(out.Bytes(), []byte("ingress")); printed != (s.Exporter == tracer.Stdout) {
			t.Errorf("%s: printed %v", s.Exporter, printed)
		}
	}
	if received.Load() != 2 {
		t.Errorf("the receiver got %d spans", received.Load())
	}
}
