// Package trace creates the spans of requests and jobs, one per hop.
//
// Spans are queued in memory and exported by a goroutine of its own. When the
// receiver is slow or unreachable, the library drops and counts spans; requests
// and jobs never wait for it.
package trace

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"curlewsill.org/curlewsill/core/id"
)

// maxQueue bounds the spans that wait for export.
const maxQueue = 512

// Tracer starts spans and propagates their context between processes.
type Tracer struct {
	trace.Tracer
	propagation.TraceContext
	stop func(context.Context) error
}

// New returns a tracer that exports spans to the OTLP receiver at url. Requests
// whose caller sampled them are always traced, and of the others sharePercent
// percent. If url is empty, the tracer only propagates trace contexts.
func New(ctx context.Context, host id.Host, url string, sharePercent int) (*Tracer, error) {
	if url == "" {
		t := noop.NewTracerProvider().Tracer("")
		return &Tracer{Tracer: t, stop: func(context.Context) error { return nil }}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return NewWithProcessor(host, sdk.NewBatchSpanProcessor(exporter, sdk.WithMaxQueueSize(maxQueue)), sharePercent), nil
}

// NewWithProcessor returns a tracer that passes its spans to p.
func NewWithProcessor(host id.Host, p sdk.SpanProcessor, sharePercent int) *Tracer {
	provider := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(p),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(float64(sharePercent)/100))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "curlewsilld"),
			attribute.String("host.id", string(host)),
		)),
	)
	return &Tracer{Tracer: provider.Tracer("curlewsill"), stop: provider.Shutdown}
}

// Traceparent returns the W3C traceparent of ctx; empty if it has none.
func (t *Tracer) Traceparent(ctx context.Context) string {
	c := propagation.MapCarrier{}
	t.Inject(ctx, c)
	return c["traceparent"]
}

// Stop exports the queued spans, until ctx is done, and ends the tracer.
func (t *Tracer) Stop(ctx context.Context) error { return t.stop(ctx) }
