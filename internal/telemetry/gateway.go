package telemetry

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/usage"
)

// Gateway holds the instruments of a gateway.
type Gateway struct {
	requests     metric.Int64Counter
	duration     metric.Float64Histogram
	firstEvent   metric.Float64Histogram
	eventGap     metric.Float64Histogram
	attempts     metric.Int64Counter
	broken       metric.Int64Counter
	crashes      metric.Int64Counter
	holds        metric.Int64Counter
	lostPrefills metric.Int64Counter
	refusals     metric.Int64Counter
	promptTokens metric.Float64Counter
	orders       metric.Int64Counter
	scaleOrders  metric.Int64Counter
	storeCalls   metric.Int64Counter
	unreadConns  metric.Int64Counter
	droppedConns metric.Int64Counter
	panics       metric.Int64Counter
	usageReports metric.Int64Counter
	usageLag     metric.Float64Histogram

	// optionCache holds the options of each combination of labels, by labelKey. There are few
	// combinations, because no label has a value per request or caller.
	optionCache sync.Map
}

var (
	_ gateway.Metrics      = (*Gateway)(nil)
	_ gateway.ScaleMetrics = (*Gateway)(nil)
)

// NewGateway creates the instruments of a gateway.
func NewGateway(m *Metrics) (*Gateway, error) {
	b := builder{meter: m.meter}
	g := &Gateway{
		requests:     b.counter("quetzallug_gateway_requests", "Requests of callers, by service, kind and outcome."),
		duration:     b.durationHistogram("quetzallug_gateway_request_duration", "Time from a request to the end of its answer."),
		firstEvent:   b.durationHistogram("quetzallug_gateway_first_event", "Time from a request to the first part of its answer."),
		eventGap:     b.durationHistogram("quetzallug_gateway_pause", "Time between two events of a stream."),
		attempts:     b.counter("quetzallug_gateway_attempts", "Requests sent to backend servers, by service and outcome."),
		broken:       b.counter("quetzallug_gateway_broken_streams", "Streams that a backend server broke off, by service and by what frames them: length, chunks or connection."),
		holds:        b.counter("quetzallug_gateway_server_holds", "Times that a backend server said that it leaves or wants no requests for a time, by service and reason."),
		lostPrefills: b.counter("quetzallug_gateway_lost_prefills", "Prefilled prompts that could not be fetched and were read again, by service."),
		crashes:      b.counter("quetzallug_gateway_server_crashes", "Backend servers that crashed while they processed prompts of this process, by service."),
		refusals:     b.counter("quetzallug_gateway_refusals", "Requests refused before they ran, by service and reason."),
		promptTokens: b.floatCounter("quetzallug_gateway_prompt_tokens", "Prompt tokens by service and where they came from: kept, read or moved, as the choice of the backend server expected it."),
		orders:       b.counter("quetzallug_gateway_role_orders", "Orders to change an engine's role, by service and by role and outcome."),
		scaleOrders:  b.counter("quetzallug_gateway_scale_orders", "Orders that set the number of a service's backend servers in a data centre, by service and outcome."),
		storeCalls:   b.counter("quetzallug_gateway_store_calls", "Calls to the store, by operation and result."),
		droppedConns: b.counter("quetzallug_gateway_dropped_connections", "Connections closed because of a limit, by listener and by what they were doing."),
		panics:       b.counter("quetzallug_gateway_panics", "Background tasks that failed unexpectedly, by task. Loops are started again."),
		usageReports: b.counter("quetzallug_gateway_usage_reports", "Usage windows that this process reported or missed, and calls that were not accepted, by outcome."),
		usageLag:     b.durationHistogram("quetzallug_gateway_usage_lag", "Time from the end of a usage window to the acceptance of its report."),
		unreadConns:  b.counter("quetzallug_gateway_unread_requests", "Connections of callers that ended before their request's header could be read."),
	}
	return g, b.err
}

// ObserveStatus adds gauges whose values are read from status and droppedLogLines when the metrics are
// scraped. The number of label values doesn't grow with the requests: services come from the
// configuration, backend servers from the registrations.
func (g *Gateway) ObserveStatus(m *Metrics, status func() *gateway.Status, droppedLogLines func() int64) error {
	b := builder{meter: m.meter}
	ready := b.observableGauge("quetzallug_gateway_ready", "1 if the process takes requests.")
	configVersion := b.observableGauge("quetzallug_gateway_config_version", "Version of the configuration in force.")
	storeAge := b.observableGauge("quetzallug_gateway_store_age", "Milliseconds since the store last told all changes: the age of the configuration and of the registrations.")
	storeEra := b.observableGauge("quetzallug_gateway_store_era", "Era of the store, which rises each time it comes back from an older copy; 0 if it tells none.")
	storeRewrites := b.observableGauge("quetzallug_gateway_store_rewrites", "Records of this process written again because the store had lost them, since the start.")
	quarantined := b.observableGauge("quetzallug_gateway_quarantined_parts", "Prompt parts whose requests are refused because backend servers crashed under them.")
	ordersHeld := b.observableGauge("quetzallug_gateway_orders_held", "1 if this process may give orders to engines.")
	logLines := b.observableGauge("quetzallug_gateway_log_lines_left_out", "Log lines left out because their reader was too slow.")
	servers := b.observableGauge("quetzallug_gateway_servers", "Registered backend servers by service.")
	usable := b.observableGauge("quetzallug_gateway_usable_servers", "Backend servers that get new requests, by service.")
	inFlight := b.observableGauge("quetzallug_gateway_in_flight", "Requests at backend servers, by service.")
	pendingTokens := b.observableGauge("quetzallug_gateway_unread_tokens", "Prompt tokens sent and not read yet, by service.")
	budget := b.observableGauge("quetzallug_gateway_retry_budget_left", "Requests that may be sent again now, by service.")
	conns := b.observableGauge("quetzallug_gateway_connections", "Open connections by backend server.")
	accounts := b.observableGauge("quetzallug_gateway_account_requests", "Requests since the start of the client accounts that have the most, by outcome.")
	names := accountLabels{}
	loadAge := b.observableGauge("quetzallug_gateway_load_age", "Milliseconds since a backend server last told its load; -1 if it never did.")
	wanted := b.observableGauge("quetzallug_gateway_wanted_servers", "Backend servers that the plan of the lease holder wants, by service and data centre.")
	present := b.observableGauge("quetzallug_gateway_planned_servers", "Backend servers that the plan of the lease holder counts, by service and data centre.")
	if b.err != nil {
		return b.err
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		s := status()
		o.ObserveInt64(ready, boolValue(s.Ready))
		o.ObserveInt64(configVersion, int64(s.Config)) //nolint:gosec // versions are far below 2^63
		o.ObserveInt64(storeAge, s.StoreAgeMS)
		o.ObserveInt64(storeEra, int64(s.StoreEra)) //nolint:gosec // rises by one
		o.ObserveInt64(storeRewrites, int64(s.StoreRewrites))
		o.ObserveInt64(quarantined, int64(len(s.Quarantined)))
		o.ObserveInt64(ordersHeld, boolValue(s.Orders))
		o.ObserveInt64(logLines, droppedLogLines())
		for _, v := range s.Services {
			label := metric.WithAttributes(attribute.String("service", v.Service))
			o.ObserveInt64(servers, int64(v.Servers), label)
			o.ObserveInt64(usable, int64(v.Usable), label)
			o.ObserveInt64(inFlight, int64(v.InFlight), label)
			o.ObserveInt64(pendingTokens, int64(v.PendingTokens), label)
			o.ObserveInt64(budget, int64(v.RetryBudgetLeft), label)
		}
		for _, v := range s.Scaling {
			label := metric.WithAttributes(attribute.String("service", v.Service), attribute.String("data_centre", v.DataCentre))
			o.ObserveInt64(wanted, int64(v.Wanted), label)
			o.ObserveInt64(present, int64(v.Present), label)
		}
		for key, n := range names.count(s.Accounts) {
			o.ObserveInt64(accounts, n, metric.WithAttributes(attribute.String("account", key[0]), attribute.String("outcome", key[1])))
		}
		for _, v := range s.Servers {
			label := metric.WithAttributes(attribute.String("server", v.Server))
			o.ObserveInt64(conns, int64(v.Connections), label)
			o.ObserveInt64(loadAge, v.LoadAgeMS, label)
		}
		return nil
	}, ready, configVersion, storeAge, storeEra, storeRewrites, quarantined, ordersHeld, logLines, servers, usable, inFlight, pendingTokens, budget, conns, loadAge, accounts, wanted, present)
	return err
}

// maxAccountLabels limits the accounts with metrics of their own.
const maxAccountLabels = 64

// accountLabels holds the names of the first accounts that were among the largest.
type accountLabels map[string]bool

// count returns the requests by account and outcome. Accounts without a label of their own are counted as "other".
func (l accountLabels) count(accounts []gateway.AccountStatus) map[[2]string]int64 {
	out := map[[2]string]int64{}
	for _, a := range accounts {
		name := a.Account
		if !l[name] && len(l) < maxAccountLabels {
			l[name] = true
		}
		if !l[name] {
			name = "other"
		}
		for outcome, n := range map[string]uint64{"served": a.Served, "refused_for_share": a.RefusedForShare, "refused_for_load": a.RefusedForLoad, "refused_otherwise": a.RefusedOtherwise} {
			out[[2]string{name, outcome}] += int64(n) //nolint:gosec // far below 2^63
		}
	}
	return out
}

// Panic counts a background task that failed unexpectedly.
func (g *Gateway) Panic(task string) {
	g.panics.Add(context.Background(), 1, metric.WithAttributes(attribute.String("task", task)))
}

func boolValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// labelOptions holds one set of labels as options of counters and of histograms.
type labelOptions struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

// labelKey holds up to three labels as pairs of name and value. Unused names are empty.
type labelKey [6]string

// optionsOf returns the options of labels, which are pairs of name and value.
func (g *Gateway) optionsOf(labels ...string) *labelOptions {
	var key labelKey
	copy(key[:], labels)
	if s, ok := g.optionCache.Load(key); ok {
		return s.(*labelOptions)
	}
	var attributes []attribute.KeyValue
	for i := 0; i < len(key); i += 2 {
		if key[i] != "" {
			attributes = append(attributes, attribute.String(key[i], key[i+1]))
		}
	}
	o := metric.WithAttributeSet(attribute.NewSet(attributes...))
	s, _ := g.optionCache.LoadOrStore(key, &labelOptions{add: []metric.AddOption{o}, record: []metric.RecordOption{o}})
	return s.(*labelOptions)
}

// Request implements gateway.Metrics.
func (g *Gateway) Request(service, kind, outcome string, elapsed time.Duration) {
	s := g.optionsOf("service", service, "kind", kind, "outcome", outcome)
	g.requests.Add(context.Background(), 1, s.add...)
	g.duration.Record(context.Background(), elapsed.Seconds(), s.record...)
}

// BrokenStream implements gateway.Metrics.
func (g *Gateway) BrokenStream(service, framing string) {
	g.broken.Add(context.Background(), 1, g.optionsOf("service", service, "framing", framing).add...)
}

// Crash implements gateway.Metrics.
func (g *Gateway) Crash(service string) {
	g.crashes.Add(context.Background(), 1, g.optionsOf("service", service).add...)
}

// LostPrefill implements gateway.Metrics.
func (g *Gateway) LostPrefill(service string) {
	g.lostPrefills.Add(context.Background(), 1, g.optionsOf("service", service).add...)
}

// Hold implements gateway.Metrics.
func (g *Gateway) Hold(service, reason string) {
	g.holds.Add(context.Background(), 1, g.optionsOf("service", service, "reason", reason).add...)
}

// Refusal implements gateway.Metrics.
func (g *Gateway) Refusal(service, reason string) {
	g.refusals.Add(context.Background(), 1, g.optionsOf("service", service, "reason", reason).add...)
}

// EventGap implements gateway.Metrics.
func (g *Gateway) EventGap(service string, d time.Duration) {
	g.eventGap.Record(context.Background(), d.Seconds(), g.optionsOf("service", service).record...)
}

// PromptTokens implements gateway.Metrics. The values kept, read and moved of the label source stand for the
// cached, prefilled and transferred tokens of gateway.PromptTokens.
func (g *Gateway) PromptTokens(service string, p gateway.PromptTokens) {
	for _, part := range [...]struct {
		source string
		tokens float64
	}{{"kept", p.Cached}, {"read", p.Prefilled}, {"moved", p.Transferred}} {
		if part.tokens > 0 {
			g.promptTokens.Add(context.Background(), part.tokens, g.optionsOf("service", service, "source", part.source).add...)
		}
	}
}

// RoleOrder implements gateway.Metrics.
func (g *Gateway) RoleOrder(service, role, outcome string) {
	g.orders.Add(context.Background(), 1, g.optionsOf("service", service, "role", role, "outcome", outcome).add...)
}

// ScaleOrder implements gateway.ScaleMetrics.
func (g *Gateway) ScaleOrder(service, outcome string) {
	g.scaleOrders.Add(context.Background(), 1, g.optionsOf("service", service, "outcome", outcome).add...)
}

// StoreCall counts a call to the store.
func (g *Gateway) StoreCall(operation, result string) {
	g.storeCalls.Add(context.Background(), 1, g.optionsOf("operation", operation, "result", result).add...)
}

// DroppedConnection counts a connection of a client that was closed because of a limit.
func (g *Gateway) DroppedConnection(listener, cause string) {
	g.droppedConns.Add(context.Background(), 1, g.optionsOf("listener", listener, "state", cause).add...)
}

// UnreadRequest counts a connection that ended before a valid request header was read.
func (g *Gateway) UnreadRequest() { g.unreadConns.Add(context.Background(), 1) }

// FirstEvent implements gateway.Metrics.
func (g *Gateway) FirstEvent(service, kind string, d time.Duration) {
	g.firstEvent.Record(context.Background(), d.Seconds(), g.optionsOf("service", service, "kind", kind).record...)
}

// Attempt implements gateway.Metrics.
func (g *Gateway) Attempt(service, outcome string) {
	g.attempts.Add(context.Background(), 1, g.optionsOf("service", service, "outcome", outcome).add...)
}

// UsageReport implements usage.Metrics.
func (g *Gateway) UsageReport(outcome string, lag time.Duration) {
	g.usageReports.Add(context.Background(), 1, g.optionsOf("outcome", outcome).add...)
	if outcome == usage.OutcomeReported {
		g.usageLag.Record(context.Background(), lag.Seconds())
	}
}
