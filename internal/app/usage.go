package app

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"golang.org/x/net/netutil"

	"github.com/quetzallug/quetzallug/duty"
	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/boottime"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/internal/settings"
	"github.com/quetzallug/quetzallug/internal/telemetry"
	"github.com/quetzallug/quetzallug/internal/traffic"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/usage"
	"github.com/quetzallug/quetzallug/usage/usagerpc"
)

// usageCounting counts the runs of client accounts and sends them to the holder of the lease. It is nil in deployments
// without that duty.
type usageCounting struct {
	windows usage.Windows
	clock   *usage.Clock
	counter *usage.Counter
	// sender is set by runUsage.
	sender *usage.Sender
}

// newUsageCounting returns nil if this deployment does not report usage.
func newUsageCounting(s *settings.Gateway, a Adapter, log logrus.FieldLogger) *usageCounting {
	kinds, _ := duty.ParseKinds(s.Duties, a) // unknown names are logged by newDuties
	if !kinds[duty.Usage] {
		return nil
	}
	if s.UsageWindow == 0 || s.PeerListen == "" {
		log.Error("usage reports are off because usage-window is 0s or peer-listen is empty")
		return nil
	}
	w := usage.Windows{Length: s.UsageWindow, Late: s.UsageLate}
	clock := usage.NewClock(time.Now, boottime.Elapsed)
	return &usageCounting{windows: w, clock: clock, counter: usage.NewCounter(w, clock.Now)}
}

// recorder returns the recorder of runs, or nil.
func (u *usageCounting) recorder() gateway.UsageRecorder {
	if u == nil {
		return nil
	}
	return u.counter
}

// status returns the state of the usage reports, or nil.
func (u *usageCounting) status() *usage.Status {
	if u == nil || u.sender == nil {
		return nil
	}
	return u.sender.Status()
}

// instances returns the number of instances that send counts, as far as known.
func (u *usageCounting) instances() int {
	if u == nil || u.sender == nil {
		return 1
	}
	return u.sender.Instances()
}

// noAuthority is the Authority of an instance that does not compete for the lease.
type noAuthority struct{}

// Authority implements usage.Authority.
func (noAuthority) Authority(string) (lease.Authority, bool) { return lease.Authority{}, false }

// runUsage sends the counts of this instance, and reports those of all instances while it holds the lease.
func runUsage(lc fx.Lifecycle, sd fx.Shutdowner, s *settings.Gateway, u *usageCounting, d *duties, leases *lease.Manager, w *usage.HolderWatch, sw *gateway.StoreWatcher, a Adapter, h *health, mm *telemetry.Metrics, m *telemetry.Gateway, guard *contain.Guard, log logrus.FieldLogger) error {
	if u == nil {
		return nil
	}
	cfg := usage.HolderConfig{
		Instance: s.Instance, Pool: gateway.RolesPool, Windows: u.windows, Guard: s.LeaseTTL + duty.CallTimeout,
		Leases: noAuthority{}, Current: w.Holder, KV: a, Era: a.Era, Encoder: a, Clock: u.clock, Metrics: m, Log: log,
	}
	if d.has(duty.Usage) {
		cfg.Leases, cfg.Caller = leases, d.client
	}
	holder := usage.NewHolder(cfg)
	sw.Subscribe(usage.NewStoredCounts(holder))
	sw.Subscribe(usage.NewRecordWatch(holder))
	counter := &traffic.Counter{}
	if err := observeTraffic(mm, "peer", "Usage counts between instances:", counter); err != nil {
		return err
	}
	clients := rpc.NewClients(rpc.ClientConfig{ControlTraffic: counter})
	lc.Append(fx.StopHook(clients.Close))
	u.sender = usage.NewSender(usage.SenderConfig{
		Instance: s.Instance, Address: s.PeerListen, Windows: u.windows, Counter: u.counter, Clock: u.clock, Holder: w.Holder, Local: holder,
		Peers: usagerpc.NewPeers(clients), KV: a, Log: log,
	})
	mux := http.NewServeMux()
	mux.Handle(usagerpc.NewHandler(holder))
	srv := rpc.NewServer(mux)
	// Only other instances reach this listener. At the limit, new connections wait until one ends, and the counts of the
	// instances that wait come through the store.
	limit := func(_ *http.Server, l net.Listener) net.Listener {
		return netutil.LimitListener(l, max(1, s.Shares().Peers))
	}
	drainDeadline := func() time.Time { return h.stoppingSince.Add(drainTime(s.Grace)) }
	serveUntilDrainDeadline(lc, sd, log, srv, s.PeerListen, limit, drainDeadline, func(context.Context) {})
	runInBackground(lc, guard.Loop("usage counts", u.sender.Run))
	runInBackground(lc, guard.Loop("usage counts in the store", u.sender.RunStore))
	runInBackground(lc, guard.Loop("usage reports", holder.Run))
	return nil
}

const (
	// firstCompetitors is the mean number of instances that compete for the lease at once when it becomes vacant. With
	// 8, none does once in 3,000 times. The others follow after the watch has told them of a new holder.
	firstCompetitors = 8
	firstWakeSpread  = 300 * time.Millisecond
	// laterWakeDelay is longer than the watch takes to tell of the new holder, and laterWakeSpread spreads the rest.
	laterWakeDelay  = 1500 * time.Millisecond
	laterWakeSpread = time.Second
)

// wakeDelay returns the delay between the end of the lease and the competition for it, for a number in [0, 1).
func wakeDelay(instances int, random float64) time.Duration {
	first := min(1, firstCompetitors/float64(instances))
	if random < first {
		return time.Duration(random / first * float64(firstWakeSpread))
	}
	return laterWakeDelay + time.Duration((random-first)/(1-first)*float64(laterWakeSpread))
}

// newHolderWatch returns the watch of the lease's holder.
func newHolderWatch(log logrus.FieldLogger) *usage.HolderWatch {
	return usage.NewHolderWatch(gateway.RolesPool, log)
}

// competeWhenVacant makes this instance compete for the lease as soon as the store's watch tells that it is vacant.
// Without duties, role changes are rare enough for the takeover by the next poll, which costs no further calls.
func competeWhenVacant(d *duties, u *usageCounting, leases *lease.Manager, w *usage.HolderWatch, sw *gateway.StoreWatcher) {
	if d == nil && u == nil {
		return
	}
	if leases != nil {
		w.OnVacant(leases.Wake)
		w.OnChange(func(r lease.HolderRecord, ok bool) { leases.HolderWatched(gateway.RolesPool, r, ok) })
	}
	sw.Subscribe(w)
}
