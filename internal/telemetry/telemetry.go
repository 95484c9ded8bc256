// Package telemetry records the metrics of a process and serves them to Prometheus.
package telemetry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/quetzallug/quetzallug/entry"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// latencyBounds are the bucket boundaries of the histograms in seconds. 0.071 and 0.73 are the latency
// targets for the time between tokens and for the first token.
var latencyBounds = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.071, 0.1, 0.2, 0.4, 0.73, 1, 2, 5, 10, 30}

// Metrics holds the registry of a process and the instruments of entries and sidecars.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter

	requests      metric.Int64Counter
	onTime        metric.Int64Counter
	duration      metric.Float64Histogram
	firstToken    metric.Float64Histogram
	betweenTokens metric.Float64Histogram
	retries       metric.Int64Counter
	attempts      metric.Int64Counter
	inFlight      metric.Int64Gauge
	roleChanges   metric.Int64Counter
	kvCalls       metric.Int64Counter

	// requestOptions caches the options of each service and kind of request, by requestKey: building
	// them takes four allocations, and they are needed for each token.
	requestOptions sync.Map
	// attemptOptions caches the options of each outcome and reason of an attempt, by attemptKey.
	attemptOptions sync.Map
}

type attemptKey struct {
	outcome v1.Outcome
	reason  v1.Reason
}

type requestKey struct{ service, kind string }

// instrumentOptions holds one set of labels as options of histograms and of counters.
type instrumentOptions struct {
	record []metric.RecordOption
	add    []metric.AddOption
}

var _ entry.Metrics = (*Metrics)(nil)

// New creates the metrics of a process, which include the Go runtime's metrics and the operating system's
// metrics of the process.
func New() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry))
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter))
	m := &Metrics{registry: registry, meter: provider.Meter("quetzallug")}
	return m, m.createInstruments()
}

func (m *Metrics) createInstruments() error {
	b := builder{meter: m.meter}
	m.requests = b.counter("quetzallug_requests", "Requests by service, kind, outcome and reason.")
	m.onTime = b.counter("quetzallug_goodput", "Requests answered whole within their deadline.")
	m.duration = b.durationHistogram("quetzallug_request_duration", "Time from a request to the end of its answer.")
	m.firstToken = b.durationHistogram("quetzallug_first_token", "Time from a request to the first part of its answer.")
	m.betweenTokens = b.durationHistogram("quetzallug_between_tokens", "Time between tokens of an answer.")
	m.retries = b.counter("quetzallug_retries", "Attempts after the first, by cause.")
	m.attempts = b.counter("quetzallug_attempts", "Attempts at a sidecar by outcome and reason.")
	m.inFlight = b.gauge("quetzallug_in_flight", "Attempts in flight at a sidecar.")
	m.roleChanges = b.counter("quetzallug_role_changes", "Role changes ordered.")
	m.kvCalls = b.counter("quetzallug_kv_calls", "Calls to the key-value service.")
	return b.err
}

// builder creates instruments and stores the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) setError(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *builder) counter(name, help string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithDescription(help))
	b.setError(err)
	return c
}

func (b *builder) gauge(name, help string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(name, metric.WithDescription(help))
	b.setError(err)
	return g
}

func (b *builder) floatCounter(name, help string) metric.Float64Counter {
	c, err := b.meter.Float64Counter(name, metric.WithDescription(help))
	b.setError(err)
	return c
}

func (b *builder) observableGauge(name, help string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(help))
	b.setError(err)
	return g
}

// durationHistogram creates a histogram of durations in seconds.
func (b *builder) durationHistogram(name, help string) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(latencyBounds...))
	b.setError(err)
	return h
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveCounter adds a counter whose value is read when the metrics are scraped.
func (m *Metrics) ObserveCounter(name, help string, read func() int64) error {
	_, err := m.meter.Int64ObservableCounter(name, metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

func (m *Metrics) optionsOf(service, kind string) *instrumentOptions {
	key := requestKey{service, kind}
	if o, ok := m.requestOptions.Load(key); ok {
		return o.(*instrumentOptions)
	}
	set := metric.WithAttributeSet(attribute.NewSet(attribute.String("service", service), attribute.String("kind", kind)))
	o, _ := m.requestOptions.LoadOrStore(key, &instrumentOptions{record: []metric.RecordOption{set}, add: []metric.AddOption{set}})
	return o.(*instrumentOptions)
}

// Request implements entry.Metrics.
func (m *Metrics) Request(service, kind, outcome string, reason entry.Reason, onTime bool, elapsed time.Duration) {
	ctx := context.Background()
	m.requests.Add(ctx, 1, metric.WithAttributes(attribute.String("service", service), attribute.String("kind", kind),
		attribute.String("outcome", outcome), attribute.String("reason", string(reason))))
	if onTime {
		m.onTime.Add(ctx, 1, m.optionsOf(service, kind).add...)
	}
	m.duration.Record(ctx, elapsed.Seconds(), m.optionsOf(service, kind).record...)
}

// FirstToken implements entry.Metrics.
func (m *Metrics) FirstToken(service, kind string, d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds(), m.optionsOf(service, kind).record...)
}

// BetweenTokens implements entry.Metrics.
func (m *Metrics) BetweenTokens(service, kind string, d time.Duration) {
	m.betweenTokens.Record(context.Background(), d.Seconds(), m.optionsOf(service, kind).record...)
}

// Retry implements entry.Metrics.
func (m *Metrics) Retry(service string, cause v1.Reason) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service), attribute.String("cause", cause.String())))
}

// Attempt implements sidecar.Metrics.
func (m *Metrics) Attempt(outcome v1.Outcome, reason v1.Reason) {
	key := attemptKey{outcome, reason}
	o, ok := m.attemptOptions.Load(key)
	if !ok {
		set := attribute.NewSet(attribute.String("outcome", outcome.String()), attribute.String("reason", reason.String()))
		o, _ = m.attemptOptions.LoadOrStore(key, []metric.AddOption{metric.WithAttributeSet(set)})
	}
	m.attempts.Add(context.Background(), 1, o.([]metric.AddOption)...)
}

// InFlight implements sidecar.Metrics.
func (m *Metrics) InFlight(n int) { m.inFlight.Record(context.Background(), int64(n)) }

// RoleChange counts an order that changes the role of an engine.
func (m *Metrics) RoleChange(pool, from, to string) {
	m.roleChanges.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("pool", pool), attribute.String("from", from), attribute.String("to", to)))
}

// KVCall counts a call to the key-value service.
func (m *Metrics) KVCall(operation string) {
	m.kvCalls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("operation", operation)))
}
