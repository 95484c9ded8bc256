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
)

// maxStatus bounds the status of a gateway. 640 backend servers take about 200 KB.
const maxStatus = 8 << 20

// gateways returns the addresses of the gateways, none if the setting is empty.
func (a *app) gateways() []string {
	return strings.FieldsFunc(strings.Join(a.v.GetStringSlice(settingGateway), ","), func(r rune) bool { return r == ',' || r == ' ' })
}

// askGateways asks all gateways at once.
func (a *app) askGateways(ctx context.Context, addresses []string) ([]answer[*gateway.Status], error) {
	return askAll(a, "gateway", addresses, func(address string) (*gateway.Status, error) { return readStatus(ctx, address) })
}

func readStatus(ctx context.Context, address string) (*gateway.Status, error) {
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
		return nil, fmt.Errorf("status %d instead of 200: is this the address of the readiness check or of the metrics?", resp.StatusCode)
	}
	var s gateway.Status
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatus)).Decode(&s); err != nil {
		return nil, fmt.Errorf("decode the status: %w", err)
	}
	return &s, nil
}

// gatewayStatusView is the status of a gateway without its backend servers.
type gatewayStatusView struct {
	Gateway string `json:"gateway"`
	gateway.Status
	// Servers hides the backend servers, which have a command of their own.
	Servers int `json:"servers"`
}

func (a *app) gatewayStatus(ctx context.Context, addresses []string) error {
	answers, err := a.askGateways(ctx, addresses)
	if err != nil {
		return err
	}
	t := &table{header: []string{"INSTANCE", "DATA CENTRE", "READY", "CONFIG", "STORE AGE", "ORDERS", "SERVICE", "SERVERS", "USABLE", "IN FLIGHT", "UNREAD TOKENS", "RETRIES LEFT"}}
	views := make([]gatewayStatusView, 0, len(answers))
	for _, an := range answers {
		s := an.value
		views = append(views, gatewayStatusView{Gateway: an.address, Status: *s, Servers: len(s.Servers)})
		ready := strconv.FormatBool(s.Ready)
		if s.Reason != "" {
			ready += " (" + s.Reason + ")"
		}
		row := []string{s.Instance, s.DataCentre, ready, strconv.FormatUint(s.Config, 10), ageText(s.StoreAgeMS), strconv.FormatBool(s.Orders)}
		if len(s.Services) == 0 {
			t.add(append(row, "", "", "", "", "", "")...)
		}
		for _, v := range s.Services {
			t.add(append(slices.Clone(row), v.Service, strconv.Itoa(v.Servers), strconv.Itoa(v.Usable), strconv.Itoa(v.InFlight),
				strconv.Itoa(v.PendingTokens), strconv.Itoa(int(v.RetryBudgetLeft)))...)
		}
	}
	return a.emit(views, t)
}

// workerView is a backend server as several gateways see it together.
type workerView struct {
	gateway.ServerStatus
	// SeenBy and UsableBy are the numbers of gateways that know the backend server and that send to it.
	SeenBy   int `json:"seen_by"`
	UsableBy int `json:"usable_by"`
}

func (a *app) gatewayWorkers(ctx context.Context, addresses []string, service string) error {
	answers, err := a.askGateways(ctx, addresses)
	if err != nil {
		return err
	}
	views := mergeWorkers(answers)
	views = slices.DeleteFunc(views, func(v workerView) bool { return service != "" && v.Service != service })
	t := &table{header: []string{"SERVER", "SERVICE", "DATA CENTRE", "ADDRESS", "ROLE", "STATE", "USABLE", "IN FLIGHT", "SLOTS", "UNREAD TOKENS", "FAILING", "LOAD AGE", "CONNECTIONS"}}
	for _, v := range views {
		t.add(v.Server, v.Service, v.DataCentre, v.Address, v.Role, v.State, fmt.Sprintf("%d of %d", v.UsableBy, v.SeenBy),
			strconv.Itoa(v.InFlight), strconv.Itoa(v.Slots), strconv.Itoa(v.PendingTokens), strconv.FormatFloat(v.FailureRate, 'f', 2, 64),
			ageText(v.LoadAgeMS), strconv.Itoa(v.Connections))
	}
	return a.emit(views, t)
}

// mergeWorkers adds up what each gateway has at a backend server. Registrations are taken from the
// gateway that asked the store last, reported loads from the one that has the youngest.
func mergeWorkers(answers []answer[*gateway.Status]) []workerView {
	slices.SortStableFunc(answers, func(x, y answer[*gateway.Status]) int { return cmp.Compare(x.value.StoreAgeMS, y.value.StoreAgeMS) })
	merged := map[string]*workerView{}
	for _, an := range answers {
		for _, s := range an.value.Servers {
			v := merged[s.Server]
			if v == nil {
				v = &workerView{ServerStatus: s}
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
	out := make([]workerView, 0, len(merged))
	for _, v := range merged {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(x, y workerView) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Server, y.Server))
	})
	return out
}

func ageText(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
