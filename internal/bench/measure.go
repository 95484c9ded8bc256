package bench

import (
	"context"
	"time"

	"github.com/quetzallug/quetzallug/standin/kv"
)

// reportedRates maps the name of a reported rate to the counter whose increase per second it is.
var reportedRates = map[string]string{
	"cores":                     metricCPU,
	"control bytes/s in":        metricControlIn,
	"control bytes/s out":       metricControlOut,
	"key-value bytes/s in":      metricKVIn,
	"key-value bytes/s out":     metricKVOut,
	"instance list bytes/s in":  metricInstancesIn,
	"instance list bytes/s out": metricInstancesOut,
	"key-value calls/s":         metricKVCalls,
}

// kvOperations lists the operations of the key-value service that are reported separately.
var kvOperations = []string{"get", "list", "watch", "compare_and_swap", "delete", "grant_lease", "keep_alive", "revoke_lease"}

// measure runs action and records the rates of the processes and the call rates of the key-value
// service during that time, and the resident memory and the waiting watches after it.
func (r *capacityRun) measure(ctx context.Context, phase string, action func() error) error {
	before, err := scrapeAll(ctx, r.addresses)
	if err != nil {
		return err
	}
	var kvBefore, kvAfter kv.Calls
	if err := r.cluster.KVCalls(ctx, &kvBefore); err != nil {
		return err
	}
	start := time.Now()
	if err := action(); err != nil {
		return err
	}
	if err := r.cluster.KVCalls(ctx, &kvAfter); err != nil {
		return err
	}
	elapsed := time.Since(start).Seconds()
	after, err := scrapeAll(ctx, r.addresses)
	if err != nil {
		return err
	}
	for name, metric := range reportedRates {
		r.sampleRate(phase, name, metric, before, after, elapsed)
	}
	for _, op := range kvOperations {
		r.sampleRate(phase, "key-value "+op+"/s", metricKVCalls+"/"+op, before, after, elapsed)
	}
	memory := make([]float64, len(after))
	for i := range after {
		memory[i] = after[i][metricRSS] / (1 << 20)
	}
	e, s := r.splitByRole(memory)
	r.recordSample(phase, RoleEntry, "MiB resident", e)
	r.recordSample(phase, RoleSidecar, "MiB resident", s)
	for name, d := range map[string]uint64{
		"reads/s": kvAfter.Reads - kvBefore.Reads, "writes/s": kvAfter.Writes - kvBefore.Writes,
		"watches/s": kvAfter.Watches - kvBefore.Watches, "rejected/s": kvAfter.Rejected - kvBefore.Rejected,
	} {
		r.recordSample(phase, RoleKV, name, []float64{float64(d) / elapsed})
	}
	r.recordSample(phase, RoleKV, "waiting watches", []float64{float64(kvAfter.Waiting)})
	return nil
}

func (r *capacityRun) sampleRate(phase, name, metric string, before, after []metricValues, elapsed float64) {
	all := make([]float64, len(after))
	for i := range after {
		all[i] = (after[i][metric] - before[i][metric]) / elapsed
	}
	e, s := r.splitByRole(all)
	r.recordSample(phase, RoleEntry, name, e)
	r.recordSample(phase, RoleSidecar, name, s)
}
