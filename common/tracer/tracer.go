// Package tracer sets up traces: a span for each hop of a request, with the
// W3C headers towards callers and upstreams.
package tracer

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Exporter names where spans go.
type Exporter string

// The exporters.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// defaultPath is where OTLP receivers take traces.
const defaultPath = "/v1/traces"

// Settings are the section of a program's settings about traces.
type Settings struct {
	// Exporter is "none", "stdout" or "otlp"; empty means none.
	Exporter Exporter `toml:"exporter" validate:"omitempty,oneof=none stdout otlp"`
	// Endpoint is the URL of the OTLP receiver over HTTP; without a path it
	// stands for /v1/traces there.
	Endpoint string `toml:"endpoint" validate:"required_if=Exporter otlp,omitempty,url"`
	// Ratio is the share of traces that begin here and are kept, in [0, 1].
	Ratio float64 `toml:"ratio" validate:"gte=0,lte=1"`
}

// Start installs the global propagator and, unless the exporter is none, the
// global provider. Spans of the exporter "stdout" go to out. The returned
// function sends what is left; it is never nil.
func Start(ctx context.Context, s Settings, program, name string, out io.Writer) (stop func(context.Context) error, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start traces: %w", err)
		}
	}()
	stop = func(context.Context) error { return nil }
	otel.SetTextMapPropagator(propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}))
	if s.Exporter == "" || s.Exporter == None {
		return stop, nil
	}
	exporter, err := newExporter(ctx, s, out)
	if err != nil {
		return stop, err
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(s.Ratio))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", program),
			attribute.String("service.instance.id", name),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, s Settings, out io.Writer) (exporter trace.SpanExporter, err error) {
	if s.Exporter == Stdout {
		return stdouttrace.New(stdouttrace.WithWriter(out))
	}
	endpoint, err := url.Parse(s.Endpoint)
	if err != nil {
		return nil, err
	}
	if endpoint.Path == "" || endpoint.Path == "/" {
		endpoint.Path = defaultPath
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint.String()))
}
