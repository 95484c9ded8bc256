// Package soak runs gateways as separate processes against the stand-in of the users' platform on
// loopback and brings about random faults from outside them. Checks use only what callers and workers
// saw. A seed names a schedule of faults; the interleaving of processes differs between runs.
package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
)

var (
	seeds  = flag.Int("seeds", 0, "number of fresh seeds; 0 runs the fixed ones")
	seed   = flag.Uint64("seed", 0, "the only seed to run")
	length = flag.Duration("length", 6*time.Second, "time during which faults come")
	logs   = flag.String("logs", "", "directory that keeps the logs of all processes")
)

// fixedSeeds run in CI. A seed that ever failed stays here, with the cause.
var fixedSeeds = []uint64{
	20261204,
	// The stand-in answered a hanging stream with an empty success at its time limit; a worker answers 504.
	4712463620271783105,
	3575342084053007081,
	// SIGHUP ended a process that was starting: it was handled only once all was set up.
	7085740786696474655,
	12490154874927744332,
	13048827396821084613,
	6445014425434027971,
	3996980461148586961,
	10771193138473149037,
	// Streams that were broken off by a panic still counted as in progress, and their engines were
	// avoided for ever.
	9115907571842290497,
	12979586039161303901,
}

func TestSoak(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	for _, s := range chosenSeeds() {
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			dir := t.TempDir()
			if *logs != "" {
				dir = filepath.Join(*logs, fmt.Sprint(s))
				require.NoError(t, os.MkdirAll(dir, 0o700))
			}
			play(t, filepath.Join(bin, "quetzallugd"), dir, s)
		})
	}
}

func chosenSeeds() []uint64 {
	switch {
	case *seed != 0:
		return []uint64{*seed}
	case *seeds > 0:
		out := make([]uint64, *seeds)
		for i := range out {
			out[i] = rand.Uint64()
		}
		return out
	}
	return fixedSeeds
}

// play runs one schedule: calm, faults, and recovery.
func play(t *testing.T, program, dir string, s uint64) {
	d := newDeployment(t, program, dir)
	defer d.stop()
	d.waitReady()
	load := newLoad(d)
	load.start()
	d.fault(rand.New(rand.NewPCG(s, s)), *length)
	d.heal()
	d.waitReady()
	load.check(load.served, "nothing was served during the faults")
	load.waitServed()
	load.stop()
	d.checkOrders()
	for _, failure := range load.failures() {
		t.Errorf("seed %d: %s", s, failure)
	}
	t.Logf("seed %d: %s", s, load.summary())
}
