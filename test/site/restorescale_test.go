package site

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/gateway"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/standin/site"
)

var measure = flag.Bool("measure", false, "print the figures of docs/CAPACITY.md")

// storeFollower is the part of an instance that calls the store.
type storeFollower struct {
	tables *route.ActiveTable
	roster *gateway.Roster
}

func (env *testEnv) addStoreFollower(name string, instances int, done *sync.WaitGroup) *storeFollower {
	h := env.newHost(name)
	adapter := &platform.Adapter{}
	require.NoError(env.t, adapter.Provision(context.Background(), kernel.Settings{"address": storeAddress, "watch-wait": "1.7s"}))
	adapter.SetDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return env.net.Dial(ctx, h, addr) })
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &storeFollower{tables: &route.ActiveTable{}, roster: gateway.NewRoster()}
	quarantined := gateway.NewQuarantine(name, adapter, log)
	watcher := gateway.NewStoreWatcher(adapter, f.tables, f.roster, quarantined, contain.New(log, func(string) {}), log)
	leases, err := lease.NewManager(adapter, lease.Config{
		Holder: name, Epoch: adapter.Epoch, Era: adapter.Era, Pools: []string{gateway.RolesPool}, TTL: leaseTTL, SafetyMargin: leaseTTL / 7,
		PollSpacing: 8 * time.Second, Competitors: func() int { return instances },
	})
	require.NoError(env.t, err)
	for _, run := range []func(context.Context){watcher.Run, quarantined.Run, leases.Run} {
		done.Go(func() { run(h.Ctx) })
	}
	env.cleanups = append(env.cleanups, func() {
		h.Cancel()
		_ = adapter.Cleanup()
	})
	return f
}

// Measures the calls to the store after a restore, and the time until all instances serve by the present state.
func TestMeasureRestores(t *testing.T) {
	if !*measure {
		t.Skip("measures only with -measure")
	}
	const workers = 120
	for _, instances := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				env.writeConfig()
				for i := range workers {
					site.NewWorker(site.WorkerConfig{ID: fmt.Sprintf("i-%03d", i), Service: "api", Address: fmt.Sprintf("10.2.%d.1:80", i), Zone: "z", Slots: 8}).Register(env.store)
				}
				var done sync.WaitGroup
				var followers []*storeFollower
				for i := range instances {
					followers = append(followers, env.addStoreFollower(fmt.Sprint("edge-", i), instances, &done))
				}
				time.Sleep(20 * time.Second)
				calls := func() (n int) {
					for _, c := range env.store.Calls() {
						n += c
					}
					return n
				}
				before := calls()
				time.Sleep(10 * time.Second)
				atRest := float64(calls()-before) / 10
				c := env.store.Copy()
				env.writeConfig(routeConfig("moved", "/moved/", "idempotent", "api2", nil))
				time.Sleep(3 * time.Second)
				env.restore(c)
				restored, written := time.Now(), false
				var counts []int
				var allAt time.Duration
				late := env.addStoreFollower("edge-late", instances, &done)
				for time.Since(restored) < 10*time.Second {
					counts = append(counts, calls())
					time.Sleep(100 * time.Millisecond)
					all := late.tables.Table() != nil && late.tables.Table().Match(hostname, "/moved/x") != nil
					for _, f := range followers {
						all = all && f.roster.Era() == 2 && f.tables.Table().Match(hostname, "/moved/x") != nil && len(f.roster.Servers("api")) == workers
					}
					if all && !written {
						written, allAt = true, time.Since(restored)
					}
				}
				most := 0
				for i := 10; i < len(counts); i++ {
					most = max(most, counts[i]-counts[i-10])
				}
				t.Logf("%d instances, %d workers: %.0f calls a second at rest, at most %d in a second after the restore, %d in 10 s; all follow after %v",
					instances, workers, atRest, most, counts[len(counts)-1]-counts[0], allAt)
				for _, f := range env.cleanups {
					f()
				}
				env.cleanups = nil
				done.Wait()
			})
		})
	}
}
