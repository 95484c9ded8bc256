package cli

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	quetzallugv1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

type documentView struct {
	Service      string `json:"service"`
	Revision     uint64 `json:"revision"`
	Deleted      bool   `json:"deleted"`
	InForceSince string `json:"in_force_since"`
}

type statusView struct {
	Entry       string         `json:"entry"`
	Instance    string         `json:"instance"`
	DataCentre  string         `json:"data_centre"`
	Incarnation string         `json:"incarnation"`
	Confirmed   bool           `json:"confirmed"`
	PoolsHeld   []string       `json:"pools_held"`
	Workers     int            `json:"workers"`
	Documents   []documentView `json:"documents"`
}

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the entries or gateways and their configuration in force",
		Long: `With --gateway, status shows for each gateway its readiness, the version of the configuration in
force, the age of its data from the store, whether it orders role changes, and the load of each
service. A gateway that does not respond is reported on standard error; the exit code is 5 only if
none responds.

Without --gateway, status shows the documents in force at each entry. An entry that is not confirmed
has not reached the key-value service since it started, neither directly nor through a peer. An entry
that does not respond is reported on standard error; the exit code is 5 only if none responds.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			if addresses := a.gateways(); len(addresses) > 0 {
				return a.gatewayStatus(ctx, addresses)
			}
			responses, err := a.queryStatus(ctx)
			if err != nil {
				return err
			}
			t := &table{header: []string{"INSTANCE", "DATA CENTRE", "CONFIRMED", "POOLS HELD", "SERVICE", "REVISION", "DELETED", "IN FORCE SINCE"}}
			var views []statusView
			for _, r := range responses {
				v := newStatusView(r.address, r.value)
				views = append(views, v)
				addStatusRows(t, &v)
			}
			return a.emit(views, t)
		},
	}
}

func newStatusView(address string, s *quetzallugv1.StatusResponse) statusView {
	v := statusView{
		Entry: address, Instance: s.GetInstance(), DataCentre: s.GetDataCentre(), Incarnation: s.GetIncarnation(),
		Confirmed: s.GetConfirmed(), PoolsHeld: append([]string{}, s.GetPoolsHeld()...), Workers: len(s.GetWorkers()),
		Documents: []documentView{},
	}
	for _, d := range s.GetDocuments() {
		v.Documents = append(v.Documents, documentView{
			d.GetService(), d.GetRevision(), d.GetDeleted(), formatTime(fromUnixMS(d.GetInForceSinceUnixMs())),
		})
	}
	return v
}

// addStatusRows adds one row for each document of an entry, and a single row if it has none.
func addStatusRows(t *table, v *statusView) {
	row := []string{v.Instance, v.DataCentre, strconv.FormatBool(v.Confirmed), strings.Join(v.PoolsHeld, ",")}
	if len(v.Documents) == 0 {
		t.add(append(row, "", "", "", "")...)
	}
	for _, d := range v.Documents {
		t.add(append(slices.Clone(row), d.Service, strconv.FormatUint(d.Revision, 10), strconv.FormatBool(d.Deleted), d.InForceSince)...)
	}
}

// engineView is the status of a backend server as an entry reports it. The API and the alias of the engines command
// call it a worker.
type engineView struct {
	Instance      string   `json:"instance"`
	Address       string   `json:"address"`
	Service       string   `json:"service"`
	DataCentre    string   `json:"data_centre"`
	State         string   `json:"state"`
	Role          string   `json:"role"`
	Models        []string `json:"models"`
	Draining      bool     `json:"draining"`
	Running       uint32   `json:"running"`
	Queued        uint32   `json:"queued"`
	PrefillTokens uint64   `json:"prefill_tokens"`
	DecodeTokens  uint64   `json:"decode_tokens"`
	FreeBlocks    uint32   `json:"free_pieces"`
	TotalBlocks   uint32   `json:"total_pieces"`
	ReportAgeMS   uint32   `json:"report_age_ms"`
	// Entry is the address of the entry that reported this backend server.
	Entry string `json:"entry"`
}

func (a *app) enginesCommand() *cobra.Command {
	var service string
	cmd := &cobra.Command{
		Use:     "engines",
		Aliases: []string{"workers"},
		Short:   "Show the backend servers of all services",
		Long: `With --gateway, engines shows for each backend server the requests, prompt tokens not yet prefilled and
connections of all given gateways together, and how many of the gateways send new requests to it.

Without --gateway, engines shows each backend server once, with the most recent load report that any of the
given entries has. FREE and TOTAL count blocks of 1,024 tokens of an engine's KV cache.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			if addresses := a.gateways(); len(addresses) > 0 {
				return a.gatewayServers(ctx, addresses, service)
			}
			responses, err := a.queryStatus(ctx)
			if err != nil {
				return err
			}
			views := mergeEngines(responses)
			views = slices.DeleteFunc(views, func(v engineView) bool { return service != "" && v.Service != service })
			return a.emit(views, engineTable(views))
		},
	}
	cmd.Flags().StringVar(&service, "service", "", "show only backend servers of this service")
	return cmd
}

// mergeEngines returns each backend server once, with its most recent load report.
func mergeEngines(responses []response[*quetzallugv1.StatusResponse]) []engineView {
	latest := map[string]engineView{}
	for _, r := range responses {
		for _, w := range r.value.GetWorkers() {
			v := newEngineView(r.address, w)
			if current, ok := latest[v.Instance]; !ok || v.ReportAgeMS < current.ReportAgeMS {
				latest[v.Instance] = v
			}
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(x, y engineView) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.DataCentre, y.DataCentre), cmp.Compare(x.Instance, y.Instance))
	})
}

func newEngineView(entry string, w *quetzallugv1.WorkerStatus) engineView {
	l := w.GetLoad()
	return engineView{
		Instance: w.GetInstance(), Address: w.GetAddress(), Service: w.GetService(), DataCentre: w.GetDataCentre(),
		State: w.GetState(), Role: l.GetRole(), Models: append([]string{}, l.GetModels()...), Draining: l.GetDraining(),
		Running: l.GetRunning(), Queued: l.GetQueued(), PrefillTokens: l.GetPrefillTokens(), DecodeTokens: l.GetDecodeTokens(),
		FreeBlocks: l.GetFreePieces(), TotalBlocks: l.GetTotalPieces(), ReportAgeMS: l.GetAgeMs(), Entry: entry,
	}
}

func engineTable(views []engineView) *table {
	t := &table{header: []string{"INSTANCE", "SERVICE", "DATA CENTRE", "STATE", "ROLE", "MODELS", "RUNNING", "QUEUED", "FREE", "TOTAL", "REPORT AGE"}}
	for _, v := range views {
		state := v.State
		if v.Draining && !strings.Contains(state, "drain") {
			state += ",draining"
		}
		t.add(v.Instance, v.Service, v.DataCentre, state, v.Role, strings.Join(v.Models, ","),
			formatUint32(v.Running), formatUint32(v.Queued), formatUint32(v.FreeBlocks), formatUint32(v.TotalBlocks), formatUint32(v.ReportAgeMS)+"ms")
	}
	return t
}

func formatUint32(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
