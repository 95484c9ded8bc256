package site

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const engineCount = 8

// startEngines starts one plain worker, one prefill engine, decode engines and gateways. modifyConfig may
// change the configuration of an engine.
func startEngines(env *testEnv, gatewayCount int, modifyConfig func(*site.WorkerConfig)) []*gatewayNode {
	env.writeConfig()
	env.addWorker(site.WorkerConfig{ID: "i-api", Service: "api"})
	for i := range engineCount {
		cfg := site.WorkerConfig{ID: fmt.Sprintf("i-%d", i), Service: "llm", Stage: "decode", PrefillTimePerToken: 4 * time.Microsecond, RoleSwitch: 3 * time.Second}
		if i == 0 {
			cfg.Stage = "prefill"
		}
		if modifyConfig != nil {
			modifyConfig(&cfg)
		}
		env.addWorker(cfg)
	}
	var out []*gatewayNode
	for i := range gatewayCount {
		out = append(out, env.addGateway(fmt.Sprintf("edge-%d", i+1)))
	}
	return out
}

// refreshRegistrations writes the current registrations of all workers, as engines do when their role
// changes.
func (env *testEnv) refreshRegistrations() {
	for _, wk := range env.workers {
		wk.Register(env.store)
	}
}

// runFor lets time pass while the workers keep their registrations up to date.
func (env *testEnv) runFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		env.refreshRegistrations()
	}
}

// orders returns the role orders that the workers accepted, by time.
func (env *testEnv) orders() []site.Order {
	var all []site.Order
	for _, wk := range env.workers {
		all = append(all, wk.Orders()...)
	}
	slices.SortFunc(all, func(a, b site.Order) int { return a.At.Compare(b.At) })
	return all
}

func (env *testEnv) countStages() (prefill, decode int) {
	for _, wk := range env.workers {
		switch wk.Stage() {
		case "prefill":
			prefill++
		case "decode":
			decode++
		}
	}
	return prefill, decode
}

// checkOrders verifies that each fence number has one lease holder, that fence numbers never decrease, and
// that orders of different holders are at least orderGuard apart.
func (env *testEnv) checkOrders() {
	env.t.Helper()
	holders := map[uint64]string{}
	all := env.orders()
	for i, o := range all {
		if h, ok := holders[o.Fence]; ok {
			require.Equal(env.t, h, o.Holder, "two lease holders have fence number %d", o.Fence)
		}
		holders[o.Fence] = o.Holder
		if i == 0 {
			continue
		}
		previous := all[i-1]
		require.GreaterOrEqual(env.t, o.Fence, previous.Fence)
		if o.Holder != previous.Holder {
			require.GreaterOrEqual(env.t, o.At.Sub(previous.At), orderGuard, "order of %s too soon after one of %s", o.Holder, previous.Holder)
		}
	}
}

// Guards against engines that stay in their initial roles, and against role orders that never cease.
func TestRolesAreOrderedOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		startEngines(env, 3, nil)
		env.runFor(20 * time.Second)
		prefill, decode := env.countStages()
		require.Equal(t, engineCount, prefill+decode)
		require.Greater(t, prefill, decode)
		require.GreaterOrEqual(t, decode, 2)
		orderCount := len(env.orders())
		require.Equal(t, prefill-1, orderCount, "number of orders differs from the number of role changes")
		env.runFor(40 * time.Second)
		require.Len(t, env.orders(), orderCount)
		env.checkOrders()
	})
}

// Guards against orders of two lease holders at a time. The first holder is killed, is frozen or
// disconnected from the store for 12 s, or loses its lease, while role changes are still needed.
func TestOrdersOfOneHolder(t *testing.T) {
	for name, injectFault := range map[string]func(env *testEnv, n *gatewayNode){
		"killed": func(env *testEnv, n *gatewayNode) { n.kill() },
		"frozen": func(env *testEnv, n *gatewayNode) {
			env.net.Freeze(n.host, true)
			time.AfterFunc(12*time.Second, func() { env.net.Freeze(n.host, false) })
		},
		"cut": func(env *testEnv, n *gatewayNode) {
			env.net.Cut(n.host.Name, "store", true)
			time.AfterFunc(12*time.Second, func() { env.net.Cut(n.host.Name, "store", false) })
		},
		"lease revoked": func(env *testEnv, n *gatewayNode) { env.store.EndLeases() },
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				nodes := startEngines(env, 3, nil)
				for len(env.orders()) == 0 {
					env.runFor(500 * time.Millisecond)
				}
				holder := env.orders()[0].Holder
				for _, n := range nodes {
					if n.host.Name == holder {
						injectFault(env, n)
					}
				}
				// New engines start in the decode role, so that further role changes are needed.
				for i := range 6 {
					env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-new-%d", i), Service: "llm", Stage: "decode", RoleSwitch: 3 * time.Second})
					env.runFor(6 * time.Second)
				}
				env.checkOrders()
				holders := map[string]bool{}
				for _, o := range env.orders() {
					holders[o.Holder] = true
				}
				require.GreaterOrEqual(t, len(holders), 1)
			})
		})
	}
}

// Guards against repeated orders to an engine that has not yet applied the first one: applied late, the
// first would undo a newer one.
func TestLateOrders(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		startEngines(env, 2, func(c *site.WorkerConfig) {
			if c.ID == "i-1" || c.ID == "i-2" {
				c.LateOrders = 7 * time.Second
			}
		})
		env.runFor(60 * time.Second)
		for _, wk := range env.workers {
			require.LessOrEqual(t, len(wk.Orders()), 1, wk.ID())
		}
		env.checkOrders()
	})
}

// Guards against a gateway that gives role orders or stops serving while the store is unavailable, and
// against one that does not apply a new configuration afterwards.
func TestStoreAway(t *testing.T) {
	runInBubble(t, func(t *testing.T, env *testEnv) {
		nodes := startEngines(env, 2, nil)
		env.runFor(15 * time.Second)
		for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent, site.StoreReset} {
			env.store.SetMode(mode)
			before := len(env.orders())
			for range 20 {
				time.Sleep(400 * time.Millisecond)
				r := env.call(nodes[0], request{path: pathRead + "x"})
				require.True(t, r.succeeded(), "%d %v", r.status, r.err)
			}
			require.Len(t, env.orders(), before)
			env.store.SetMode(site.StoreUp)
			time.Sleep(5 * time.Second)
			env.writeConfig()
			time.Sleep(2 * time.Second)
			require.EqualValues(t, env.version, nodes[0].tables.Table().Version)
		}
		env.checkOrders()
	})
}
