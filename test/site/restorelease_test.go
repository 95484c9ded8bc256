package site

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/platform"
	"github.com/quetzallug/quetzallug/standin/site"
)

// competitor is an instance that competes for a pool.
type competitor struct {
	adapter *platform.Adapter
	leases  *lease.Manager
}

const restoredPool = "roles"

// addCompetitor starts an instance. acquired is called with each grant.
func (env *testEnv) addCompetitor(name string, done *sync.WaitGroup, acquired func(lease.Authority)) *competitor {
	h := env.newHost(name)
	c := &competitor{adapter: &platform.Adapter{}}
	require.NoError(env.t, c.adapter.Provision(context.Background(), kernel.Settings{"address": storeAddress, "watch-wait": "1.7s"}))
	c.adapter.SetDial(func(ctx context.Context, _, addr string) (net.Conn, error) { return env.net.Dial(ctx, h, addr) })
	var err error
	c.leases, err = lease.NewManager(c.adapter, lease.Config{
		Holder: name, Epoch: c.adapter.Epoch, Era: c.adapter.Era, Pools: []string{restoredPool}, TTL: leaseTTL, SafetyMargin: leaseTTL / 7, OnAcquire: acquired,
	})
	require.NoError(env.t, err)
	done.Go(func() { c.leases.Run(h.Ctx) })
	env.cleanups = append(env.cleanups, func() {
		h.Cancel()
		_ = c.adapter.Cleanup()
	})
	return c
}

// Guards against fences that come again or fall, and against a holder that acts on after it has learned that its lease may be
// gone, or after its guard, once the store has come back from an older copy.
func TestLeasesAfterRestores(t *testing.T) {
	for seed := range uint64(*restoreSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				random := rand.New(rand.NewPCG(6, seed))
				var mu sync.Mutex
				var grants []lease.Authority
				var done sync.WaitGroup
				acquired := func(a lease.Authority) {
					mu.Lock()
					defer mu.Unlock()
					grants = append(grants, a)
				}
				copies := []*site.Copy{env.store.Copy()}
				var all []*competitor
				for i := range 3 {
					all = append(all, env.addCompetitor(fmt.Sprint("edge-", i), &done, acquired))
				}
				for range 12 {
					time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
					switch random.IntN(4) {
					case 0:
						copies = append(copies, env.store.Copy())
					case 1:
						env.store.EndLeases()
					default:
						env.store.Restore(copies[random.IntN(len(copies))])
						mu.Lock()
						before := len(grants)
						mu.Unlock()
						for _, c := range all {
							_, _, err := c.adapter.List(context.Background(), "")
							require.NoError(t, err)
							a, valid := c.leases.Authority(restoredPool)
							mu.Lock()
							earlier := valid && before > 0 && a.Fence <= grants[before-1].Fence
							mu.Unlock()
							require.False(t, earlier, "a grant of before the restore is still used")
						}
					}
				}
				time.Sleep(2 * leaseTTL)
				valid := 0
				for _, c := range all {
					if _, ok := c.leases.Authority(restoredPool); ok {
						valid++
					}
				}
				mu.Lock()
				defer mu.Unlock()
				for i := 1; i < len(grants); i++ {
					require.Greater(t, grants[i].Fence, grants[i-1].Fence, "grants in order")
				}
				require.Equal(t, 1, valid)
				for _, f := range env.cleanups {
					f()
				}
				env.cleanups = nil
				done.Wait()
			})
		})
	}
}
