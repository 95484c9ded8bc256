package bench

import (
	"fmt"
	"strings"
)

const service = "halte-llm"

var dataCentres = []string{"joburg-cbd", "pta-east", "midrand"}

// Size is the number of entries and sidecars of a run.
type Size struct{ Entries, Sidecars int }

// poolSizes spreads sidecars evenly over the data centres, with one pool in each.
func poolSizes(sidecars int) []int {
	n := min(sidecars, len(dataCentres))
	sizes := make([]int, n)
	for i := range sidecars {
		sizes[i%n]++
	}
	return sizes
}

// documentText returns a document for pools of the given sizes. serial makes documents differ: it
// changes the queue limit, which the load does not reach.
func documentText(pools []int, serial int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\ntype: model\ndata_centres: [%s]\n", service, strings.Join(dataCentres[:len(pools)], ", "))
	fmt.Fprintf(&b, "models:\n  - name: %s\n    version: \"1\"\n    weights_mib: 64\npools:\n", model)
	for i, n := range pools {
		fmt.Fprintf(&b, "  - data_centre: %s\n    workers: %d\n    roles: {mixed: %d}\n    checks_fence: true\n", dataCentres[i], n, n)
	}
	b.WriteString(`kinds:
  - name: chat
    rank: 1
    deadlines: {first_token: 730ms, between_tokens: 71ms, total: 60s}
    repeatable: true
    interruptible: true
weights:
  goodput: 1
  role_changes: 1
limits:
`)
	fmt.Fprintf(&b, "  queue: %d\n  body_kib: 1024\n", 1000+serial)
	b.WriteString("  per_caller:\n    requests_per_second: 1000\n    burst: 1000\n    concurrent: 1000\n")
	return b.String()
}
