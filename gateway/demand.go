package gateway

import (
	"strings"
	"sync"
	"time"
)

// Demand counts the requests of this process by service, for the plan of the number of backend servers. It passes all
// metrics on.
type Demand struct {
	Metrics

	mu     sync.Mutex
	counts map[string]*demandCount
}

type demandCount struct{ offered, refused int }

// NewDemand returns a Demand that passes metrics on to m.
func NewDemand(m Metrics) *Demand { return &Demand{Metrics: m, counts: make(map[string]*demandCount)} }

// Request implements Metrics.
func (d *Demand) Request(service, kind, outcome string, elapsed time.Duration) {
	d.Metrics.Request(service, kind, outcome, elapsed)
	if outcome != outcomeInvalid {
		d.add(service, demandCount{offered: 1})
	}
}

// Refusal implements Metrics.
func (d *Demand) Refusal(service, reason string) {
	d.Metrics.Refusal(service, reason)
	if lacksServers(reason) {
		d.add(service, demandCount{refused: 1})
	}
}

func (d *Demand) add(service string, n demandCount) {
	if service == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts[service]
	if c == nil {
		c = &demandCount{}
		d.counts[service] = c
	}
	c.offered += n.offered
	c.refused += n.refused
}

// take returns the counts of a service since the previous call.
func (d *Demand) take(service string) (offered, refused int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts[service]
	if c == nil {
		return 0, 0
	}
	offered, refused = c.offered, c.refused
	*c = demandCount{}
	return offered, refused
}

// reset forgets the counts. Nobody takes them while another process holds the lease.
func (d *Demand) reset() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.counts)
}

// Causes of refusals that more backend servers would have avoided.
const (
	causeOverload      = "overload"
	causeServerFull    = "server_full"
	causePromptRefused = "prompt_refused"
)

// lacksServers reports whether a request was refused because backend servers were too busy. Refusals for the memory of
// this process, the quarantine, a planned stop, an API key or an account's share are none of these.
func lacksServers(reason string) bool {
	for part := range strings.SplitSeq(reason, ",") {
		switch part {
		case causeOverload, causeServerFull, causePromptRefused, reasonAllRest:
			return true
		}
	}
	return false
}
