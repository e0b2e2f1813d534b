// Package tracer sets up OpenTelemetry tracing: the exporter of spans and the
// propagation of trace contexts in W3C headers, from callers and to upstreams.
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

// Exporter selects the destination of spans.
type Exporter string

// The exporters. None exports nothing, Stdout writes to the program's output and
// OTLP sends to a receiver over HTTP.
const (
	None   Exporter = "none"
	Stdout Exporter = "stdout"
	OTLP   Exporter = "otlp"
)

// defaultOTLPPath is the URL path at which OTLP receivers accept traces by
// default.
const defaultOTLPPath = "/v1/traces"

// Settings is the section of a program's settings about tracing.
type Settings struct {
	// Exporter is "none", "stdout" or "otlp"; empty means "none".
	Exporter Exporter `toml:"exporter" validate:"omitempty,oneof=none stdout otlp"`
	// Endpoint is the URL of the OTLP receiver over HTTP; without a path it means
	// /v1/traces at that host.
	Endpoint string `toml:"endpoint" validate:"required_if=Exporter otlp,omitempty,url"`
	// Ratio is the share of the traces started in this process that are sampled,
	// in [0, 1]; for other traces the caller's decision applies.
	Ratio float64 `toml:"ratio" validate:"gte=0,lte=1"`
}

// Start installs the global propagator and, unless the exporter is None, the
// global tracer provider with the program's and the instance's name. The exporter
// Stdout writes to out. The returned function exports the remaining spans and
// ends the provider; it is never nil, also if err is not nil.
func Start(ctx context.Context, s Settings, program, name string, out io.Writer) (stop func(context.Context) error, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start tracing: %w", err)
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
		endpoint.Path = defaultOTLPPath
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint.String()))
}
