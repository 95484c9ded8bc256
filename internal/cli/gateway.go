package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/usage"
)

// maxStatusBytes limits the size of a gateway's status. The status of 640 backend servers is about 200 KB.
const maxStatusBytes = 8 << 20

// gateways returns the addresses of the gateways. They may be separated by commas or spaces.
func (a *app) gateways() []string {
	return strings.FieldsFunc(strings.Join(a.settings.GetStringSlice(settingGateway), ","), func(r rune) bool { return r == ',' || r == ' ' })
}

// queryGateways fetches the status of all gateways concurrently.
func (a *app) queryGateways(ctx context.Context, addresses []string) ([]response[*gateway.Status], error) {
	return queryAll(a, "gateway", addresses, func(address string) (*gateway.Status, error) { return fetchStatus(ctx, address) })
}

func fetchStatus(ctx context.Context, address string) (*gateway.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/status", nil)
	if err != nil {
		return nil, &usageError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", external.ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("HTTP status %d instead of 200: the address must be that of the readiness or metrics listener", resp.StatusCode)
	}
	var s gateway.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return &s, nil
}

// gatewayStatusView is the status of a gateway without its backend servers.
type gatewayStatusView struct {
	Gateway string `json:"gateway"`
	gateway.Status
	// Servers is the number of backend servers. It shadows Status.Servers, which the engines command shows.
	Servers int `json:"servers"`
}

func (a *app) gatewayStatus(ctx context.Context, addresses []string) error {
	responses, err := a.queryGateways(ctx, addresses)
	if err != nil {
		return err
	}
	t := &table{header: []string{"INSTANCE", "DATA CENTRE", "READY", "CONFIG", "STORE AGE", "ORDERS", "SERVICE", "SERVERS", "USABLE", "IN FLIGHT", "UNREAD TOKENS", "RETRIES LEFT", "QUARANTINED", "USAGE REPORTS"}}
	views := make([]gatewayStatusView, 0, len(responses))
	for _, r := range responses {
		s := r.value
		views = append(views, gatewayStatusView{Gateway: r.address, Status: *s, Servers: len(s.Servers)})
		ready := strconv.FormatBool(s.Ready)
		if s.Reason != "" {
			ready += " (" + s.Reason + ")"
		}
		row := []string{s.Instance, s.DataCentre, ready, strconv.FormatUint(s.Config, 10), formatAge(s.StoreAgeMS), strconv.FormatBool(s.Orders)}
		if len(s.Services) == 0 {
			t.add(append(row, "", "", "", "", "", "", "", formatUsage(s.Usage))...)
		}
		for _, v := range s.Services {
			t.add(append(slices.Clone(row), v.Service, strconv.Itoa(v.Servers), strconv.Itoa(v.Usable), strconv.Itoa(v.InFlight),
				strconv.Itoa(v.PendingTokens), strconv.Itoa(int(v.RetryBudgetLeft)), strconv.Itoa(len(s.Quarantined)), formatUsage(s.Usage))...)
		}
	}
	if err := a.emit(views, t); err != nil {
		return err
	}
	plans := scalingTable(responses)
	if a.output() != "table" || len(plans.rows) == 0 {
		return nil
	}
	if err := a.print("\n"); err != nil {
		return err
	}
	return a.emit(nil, plans)
}

// scalingTable returns the plans of the numbers of backend servers, which the holder of the lease has.
func scalingTable(responses []response[*gateway.Status]) *table {
	t := &table{header: []string{"INSTANCE", "SERVICE", "DATA CENTRE", "PRESENT", "UNUSABLE", "ORDERED", "WANTED", "NEEDED", "AT PEAKS", "LIMITS", "CALLERS WAIT", "REASON"}}
	for _, r := range responses {
		for _, p := range r.value.Scaling {
			ordered := "-"
			if p.Ordered >= 0 {
				ordered = fmt.Sprintf("%d (%s)", p.Ordered, cmp.Or(p.Outcome, "sending"))
			}
			t.add(r.value.Instance, p.Service, p.DataCentre, strconv.Itoa(p.Present), strconv.Itoa(p.Unusable), ordered, strconv.Itoa(p.Wanted),
				strconv.FormatFloat(p.Needed, 'f', 1, 64), strconv.FormatFloat(p.PeakNeeded, 'f', 1, 64), fmt.Sprintf("%d to %d", p.Min, p.Max), strconv.FormatBool(p.Waits), p.Reason)
		}
	}
	return t
}

// formatUsage formats the state of the usage reports of a gateway.
func formatUsage(u *usage.Status) string {
	switch {
	case u == nil:
		return ""
	case u.Holding:
		text := fmt.Sprintf("holder, fence %d, %d instances", u.Fence, u.Instances)
		missed := 0
		for _, w := range u.Recent {
			if w.Outcome == usage.OutcomeMissed {
				missed++
			}
		}
		if n := len(u.Recent); n > 0 {
			last := u.Recent[n-1]
			text += fmt.Sprintf(", window %d %s after %s, %d of the last %d missed", last.Window, last.Outcome, formatAge(last.LagMS), missed, n)
		}
		return text
	case u.UnsentMS > 0:
		return "counts not sent for " + formatAge(u.UnsentMS)
	}
	return "sends to " + u.Holder
}

// serverView is the combined status of a backend server from several gateways.
type serverView struct {
	gateway.ServerStatus
	// SeenBy is the number of gateways that know the backend server, UsableBy the number that send new requests
	// to it.
	SeenBy   int `json:"seen_by"`
	UsableBy int `json:"usable_by"`
}

func (a *app) gatewayServers(ctx context.Context, addresses []string, service string) error {
	responses, err := a.queryGateways(ctx, addresses)
	if err != nil {
		return err
	}
	views := mergeServers(responses)
	views = slices.DeleteFunc(views, func(v serverView) bool { return service != "" && v.Service != service })
	t := &table{header: []string{"SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "ROLE", "STATE", "USABLE", "IN FLIGHT", "SLOTS", "UNREAD TOKENS", "FAILING", "LOAD AGE", "CONNECTIONS"}}
	for _, v := range views {
		t.add(v.Server, v.Service, v.DataCentre, v.Address, v.Role, v.State, fmt.Sprintf("%d of %d", v.UsableBy, v.SeenBy),
			strconv.Itoa(v.InFlight), strconv.Itoa(v.Slots), strconv.Itoa(v.PendingTokens), strconv.FormatFloat(v.FailureRate, 'f', 2, 64),
			formatAge(v.LoadAgeMS), strconv.Itoa(v.Connections))
	}
	return a.emit(views, t)
}

// mergeServers sums the requests, tokens and connections of all gateways for each backend server. FailureRate is
// the highest of all. It takes the registration from the gateway with the most recent data from the store, where a
// gateway without data from the store sorts first, and the reported load from the one with the most recent report.
func mergeServers(responses []response[*gateway.Status]) []serverView {
	slices.SortStableFunc(responses, func(x, y response[*gateway.Status]) int { return cmp.Compare(x.value.StoreAgeMS, y.value.StoreAgeMS) })
	merged := map[string]*serverView{}
	for _, r := range responses {
		for _, s := range r.value.Servers {
			v := merged[s.Server]
			if v == nil {
				v = &serverView{ServerStatus: s}
				merged[s.Server] = v
			} else {
				v.InFlight += s.InFlight
				v.PendingTokens += s.PendingTokens
				v.Connections += s.Connections
				v.FailureRate = max(v.FailureRate, s.FailureRate)
				if s.LoadAgeMS >= 0 && (v.LoadAgeMS < 0 || s.LoadAgeMS < v.LoadAgeMS) {
					v.LoadAgeMS, v.OtherRequests = s.LoadAgeMS, s.OtherRequests
				}
			}
			v.SeenBy++
			if s.Usable {
				v.UsableBy++
			}
		}
	}
	out := make([]serverView, 0, len(merged))
	for _, v := range merged {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(x, y serverView) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Server, y.Server))
	})
	return out
}

// formatAge formats an age in milliseconds. A negative age means that there is no data yet.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
