package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drawnRoster applies drawn changes of one entry to a roster, as a store would tell them.
type drawnRoster struct {
	t      *testing.T
	random *rand.Rand
	roster *Roster
	now    time.Time
	// entry is the entry in the store; nil if there is none.
	entry *Registration
}

// write writes an entry of one of three runs, often an older one than before, and at times without a start or number.
func (d *drawnRoster) write() {
	reg := registration(8+d.random.Int64N(3), d.random.Int64N(6), d.random.IntN(6) == 0)
	if d.random.IntN(10) == 0 {
		reg.Seq = -1
	}
	if d.random.IntN(20) == 0 {
		reg.Born = 0
	}
	d.entry = &reg
	d.tell(Change{ID: "i", Registration: &reg})
}

func (d *drawnRoster) remove() {
	d.entry = nil
	d.tell(Change{ID: "i"})
}

// tell applies a change by an event or by a list.
func (d *drawnRoster) tell(c Change) {
	switch {
	case d.random.IntN(3) > 0:
		d.roster.Apply([]Change{c}, d.now)
	case d.entry != nil:
		d.roster.Replace([]Registration{*d.entry}, d.now)
	default:
		d.roster.Replace(nil, d.now)
	}
}

// pass lets time pass, most often a part of the hold time of older entries, at times most of the memory of ended runs.
func (d *drawnRoster) pass() {
	span := olderEntryHold
	if d.random.IntN(4) == 0 {
		span = lifetimeMemory + olderEntryHold
	}
	for end := d.now.Add(time.Duration(d.random.Int64N(int64(span)))); d.now.Before(end); d.now = d.now.Add(expiryInterval) {
		d.roster.Expire(d.now)
	}
}

func (d *drawnRoster) check(seed uint64) {
	if d.entry == nil {
		require.Empty(d.t, d.roster.Servers("s"), "seed %d: a backend server without an entry gets requests", seed)
	}
}

// Guards against a process that ends, or a backend server without an entry that gets requests, after entries that come
// again, late or from other writers.
func TestDrawnOrdersOfEntries(t *testing.T) {
	const seeds = 4000
	for seed := range uint64(seeds) {
		d := &drawnRoster{t: t, random: rand.New(rand.NewPCG(1, seed)), roster: NewRoster(), now: start}
		for range 40 {
			switch d.random.IntN(5) {
			case 0:
				d.remove()
			case 1, 2:
				d.write()
			default:
				d.pass()
			}
			d.check(seed)
		}
	}
}
