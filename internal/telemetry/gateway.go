package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzallug/quetzallug/gateway"
)

// Gateway are the instruments of the gateway role.
type Gateway struct {
	requests   metric.Int64Counter
	duration   metric.Float64Histogram
	firstEvent metric.Float64Histogram
	attempts   metric.Int64Counter

	// sets holds the options of each combination of labels, which are few: no label grows with
	// requests or callers.
	sets sync.Map
}

var _ gateway.Metrics = (*Gateway)(nil)

// NewGateway creates the instruments of the gateway role.
func NewGateway(m *Metrics) (*Gateway, error) {
	b := builder{meter: m.meter}
	g := &Gateway{
		requests:   b.counter("quetzallug_gateway_requests", "Requests by outcome and cause."),
		duration:   b.histogram("quetzallug_gateway_request_duration", "Time from a request to the end of its answer."),
		firstEvent: b.histogram("quetzallug_gateway_first_event", "Time from a request to the first part of its answer."),
		attempts:   b.counter("quetzallug_gateway_attempts", "Requests sent to backend servers, by service and outcome."),
	}
	return g, b.err
}

type labelSet struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

type setKey struct{ a, b string }

func (g *Gateway) set(nameA, a, nameB, b string) *labelSet {
	key := setKey{nameA + a, nameB + b}
	if s, ok := g.sets.Load(key); ok {
		return s.(*labelSet)
	}
	o := metric.WithAttributeSet(attribute.NewSet(attribute.String(nameA, a), attribute.String(nameB, b)))
	s, _ := g.sets.LoadOrStore(key, &labelSet{add: []metric.AddOption{o}, record: []metric.RecordOption{o}})
	return s.(*labelSet)
}

// Request implements gateway.Metrics.
func (g *Gateway) Request(service, outcome string, elapsed time.Duration) {
	s := g.set("service", service, "outcome", outcome)
	g.requests.Add(context.Background(), 1, s.add...)
	g.duration.Record(context.Background(), elapsed.Seconds(), s.record...)
}

// FirstEvent implements gateway.Metrics.
func (g *Gateway) FirstEvent(service string, d time.Duration) {
	g.firstEvent.Record(context.Background(), d.Seconds(), g.set("service", service, "outcome", "answered").record...)
}

// Attempt implements gateway.Metrics.
func (g *Gateway) Attempt(service, outcome string) {
	g.attempts.Add(context.Background(), 1, g.set("service", service, "outcome", outcome).add...)
}
