package site

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// minCopyAge and maxCopyAge are the ages of the copies from which the store comes back.
	minCopyAge = time.Second
	maxCopyAge = 30 * time.Second
)

// orderRestores is a deployment with engines whose roles are ordered while the store comes back from older copies.
type orderRestores struct {
	env    *testEnv
	random *rand.Rand
	nodes  []*gatewayNode
	// newEngines is the number of engines that were added.
	newEngines int
}

// runFor lets time pass while the living workers keep their registrations up to date.
func (d *orderRestores) runFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, wk := range d.env.workers {
			if !d.env.gone[wk.ID()] {
				wk.Register(d.env.store)
			}
		}
	}
}

// between returns a random duration.
func (d *orderRestores) between(least, most time.Duration) time.Duration {
	return least + time.Duration(d.random.Int64N(int64(most-least)))
}

func (d *orderRestores) restart(i int) {
	d.nodes[i].kill()
	d.nodes[i] = d.env.addGateway(fmt.Sprintf("edge-%d", i+1))
}

// step changes something.
func (d *orderRestores) step() {
	switch d.random.IntN(7) {
	case 0: // another role change is needed
		d.env.addWorker(site.WorkerConfig{ID: fmt.Sprintf("i-new-%d", d.newEngines), Service: "llm", Stage: "decode", RoleSwitch: 3 * time.Second})
		d.newEngines++
	case 1:
		d.env.store.EndLeases()
	case 2:
		d.restart(d.random.IntN(len(d.nodes)))
	case 3:
		for i := range d.nodes {
			d.restart(i)
		}
	case 4:
		d.env.writeConfig()
	case 5:
		for _, wk := range d.env.workers {
			if wk.Stage() == "prefill" && !d.env.gone[wk.ID()] {
				wk.Drain(d.env.store)
				time.Sleep(time.Second)
				d.env.leave(wk)
				break
			}
		}
	case 6: // a second restore
		d.env.restoreAfter(d.between(minCopyAge, 3*time.Second))
	}
}

// Guards against orders that are carried out twice, orders of two holders, and numbers of leases that come again or fall, in
// drawn orders of restores, hand-overs, kills of one gateway and of all, drains and configurations.
func TestOrdersUnderDrawnRestores(t *testing.T) {
	for seed := range uint64(*restoreSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, env *testEnv) {
				d := &orderRestores{env: env, random: rand.New(rand.NewPCG(7, seed))}
				d.nodes = startEngines(env, 3, nil)
				d.runFor(d.between(0, 12*time.Second))
				for range 4 {
					c, age := env.store.Copy(), d.between(minCopyAge, maxCopyAge)
					for end := time.Now().Add(age); time.Now().Before(end); {
						d.step()
						d.runFor(min(d.between(0, 8*time.Second), time.Until(end)))
					}
					env.restore(c)
					d.runFor(d.between(0, 3*time.Second))
					d.step()
					d.runFor(d.between(0, 8*time.Second))
				}
				d.runFor(30 * time.Second)
				env.checkOrders()
				for _, wk := range env.workers {
					for i, o := range wk.Orders() {
						if i > 0 {
							require.NotEqual(t, wk.Orders()[i-1].Stage, o.Stage, "%s was ordered twice", wk.ID())
						}
					}
				}
				for _, n := range d.nodes {
					require.EqualValues(t, env.version, n.tables.Table().Version)
				}
			})
		})
	}
}
