package site

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const engines = 8

// fleet starts engines of which one reads prompts, and gateways.
func fleet(w *world, gateways int, change func(*site.WorkerConfig)) []*node {
	w.configure()
	w.worker(site.WorkerConfig{ID: "i-api", Service: "api"})
	for i := range engines {
		cfg := site.WorkerConfig{ID: fmt.Sprintf("i-%d", i), Service: "llm", Stage: "decode", PerToken: 4 * time.Microsecond, RoleSwitch: 3 * time.Second}
		if i == 0 {
			cfg.Stage = "prefill"
		}
		if change != nil {
			change(&cfg)
		}
		w.worker(cfg)
	}
	var out []*node
	for i := range gateways {
		out = append(out, w.gateway(fmt.Sprintf("edge-%d", i+1)))
	}
	return out
}

// show writes the engines' entries as they do when their role changes.
func (w *world) show() {
	for _, wk := range w.workers {
		wk.Register(w.store)
	}
}

// play lets time pass while the engines keep their entries up to date.
func (w *world) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		w.show()
	}
}

func (w *world) orders() []site.Order {
	var all []site.Order
	for _, wk := range w.workers {
		all = append(all, wk.Orders()...)
	}
	slices.SortFunc(all, func(a, b site.Order) int { return a.At.Compare(b.At) })
	return all
}

func (w *world) stages() (prefill, decode int) {
	for _, wk := range w.workers {
		switch wk.Stage() {
		case "prefill":
			prefill++
		case "decode":
			decode++
		}
	}
	return prefill, decode
}

// checkOrders verifies that no two holders share a fence number, that fence numbers never fall, and
// that holders do not take turns within the lease time.
func (w *world) checkOrders() {
	w.t.Helper()
	holders := map[uint64]string{}
	all := w.orders()
	for i, o := range all {
		if h, ok := holders[o.Fence]; ok {
			require.Equal(w.t, h, o.Holder, "two holders with fence number %d", o.Fence)
		}
		holders[o.Fence] = o.Holder
		if i == 0 {
			continue
		}
		last := all[i-1]
		require.GreaterOrEqual(w.t, o.Fence, last.Fence)
		if o.Holder != last.Holder {
			require.GreaterOrEqual(w.t, o.At.Sub(last.At), guard, "%s after %s", o.Holder, last.Holder)
		}
	}
}

// Guards against a fleet that stays in the roles that it started with, and against orders without end.
func TestRolesAreOrderedOnce(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		fleet(w, 3, nil)
		w.play(20 * time.Second)
		prefill, decode := w.stages()
		require.Equal(t, engines, prefill+decode)
		require.Greater(t, prefill, decode)
		require.GreaterOrEqual(t, decode, 2)
		n := len(w.orders())
		require.Equal(t, prefill-1, n, "more orders than changes")
		w.play(40 * time.Second)
		require.Len(t, w.orders(), n)
		w.checkOrders()
	})
}

// Guards against orders of two holders: the first one is killed, frozen or cut off from the store while
// there is work to do, and wakes again.
func TestOrdersOfOneHolder(t *testing.T) {
	for name, fault := range map[string]func(w *world, n *node){
		"killed": func(w *world, n *node) { n.kill() },
		"frozen": func(w *world, n *node) {
			w.net.Freeze(n.host, true)
			time.AfterFunc(12*time.Second, func() { w.net.Freeze(n.host, false) })
		},
		"cut": func(w *world, n *node) {
			w.net.Cut(n.host.Name, "store", true)
			time.AfterFunc(12*time.Second, func() { w.net.Cut(n.host.Name, "store", false) })
		},
		"lease revoked": func(w *world, n *node) { w.store.EndLeases() },
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, w *world) {
				nodes := fleet(w, 3, nil)
				for len(w.orders()) == 0 {
					w.play(500 * time.Millisecond)
				}
				holder := w.orders()[0].Holder
				for _, n := range nodes {
					if n.host.Name == holder {
						fault(w, n)
					}
				}
				// Engines that are replaced bring back the roles of the start, so that there is work.
				for i := range 6 {
					w.worker(site.WorkerConfig{ID: fmt.Sprintf("i-new-%d", i), Service: "llm", Stage: "decode", RoleSwitch: 3 * time.Second})
					w.play(6 * time.Second)
				}
				w.checkOrders()
				holders := map[string]bool{}
				for _, o := range w.orders() {
					holders[o.Holder] = true
				}
				require.GreaterOrEqual(t, len(holders), 1)
			})
		})
	}
}

// Guards against an order that is carried out late and undoes a newer one.
func TestLateOrders(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		fleet(w, 2, func(c *site.WorkerConfig) {
			if c.ID == "i-1" || c.ID == "i-2" {
				c.LateOrders = 7 * time.Second
			}
		})
		w.play(60 * time.Second)
		for _, wk := range w.workers {
			require.LessOrEqual(t, len(wk.Orders()), 1, wk.ID())
		}
		w.checkOrders()
	})
}

// Guards against a gateway that knows nothing while the store is away and gives orders or stops serving.
func TestStoreAway(t *testing.T) {
	bubble(t, func(t *testing.T, w *world) {
		nodes := fleet(w, 2, nil)
		w.play(15 * time.Second)
		for _, mode := range []site.StoreMode{site.StoreBusy, site.StoreSilent, site.StoreReset} {
			w.store.SetMode(mode)
			before := len(w.orders())
			for range 20 {
				time.Sleep(400 * time.Millisecond)
				r := w.call(nodes[0], ask{path: pathRead + "x"})
				require.True(t, r.whole(), "%d %v", r.status, r.err)
			}
			require.Len(t, w.orders(), before)
			w.store.SetMode(site.StoreUp)
			time.Sleep(5 * time.Second)
			w.configure()
			time.Sleep(2 * time.Second)
			require.EqualValues(t, w.version, nodes[0].tables.Table().Version)
		}
		w.checkOrders()
	})
}
