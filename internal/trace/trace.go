// Package trace makes the spans of requests and jobs, one for each hop.
//
// Spans are queued in memory and sent by a goroutine of their own. When the receiver
// is slow or gone, spans are dropped and counted by the library; work never waits.
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

// maxQueue bounds the spans that wait to be sent.
const maxQueue = 512

// Tracer starts spans and carries their context between processes.
type Tracer struct {
	trace.Tracer
	propagation.TraceContext
	stop func(context.Context) error
}

// New returns a tracer that sends spans to the OTLP receiver at url. Requests whose
// caller asked for a trace are always traced, of the others a share in percent. An
// empty url gives a tracer that only passes trace contexts on.
func New(ctx context.Context, host id.Host, url string, sharePercent int) (*Tracer, error) {
	if url == "" {
		t := noop.NewTracerProvider().Tracer("")
		return &Tracer{Tracer: t, stop: func(context.Context) error { return nil }}, nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(url))
	if err != nil {
		return nil, fmt.Errorf("trace: %w", err)
	}
	return With(host, sdk.NewBatchSpanProcessor(exporter, sdk.WithMaxQueueSize(maxQueue)), sharePercent), nil
}

// With returns a tracer that hands its spans to p.
func With(host id.Host, p sdk.SpanProcessor, sharePercent int) *Tracer {
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

// Parent returns the W3C traceparent of ctx; empty if it has none.
func (t *Tracer) Parent(ctx context.Context) string {
	c := propagation.MapCarrier{}
	t.Inject(ctx, c)
	return c["traceparent"]
}

// Stop sends what is queued, until ctx is done.
func (t *Tracer) Stop(ctx context.Context) error { return t.stop(ctx) }
