package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// RelaysPerDataCentre is the number of relays in each data centre. If one is lost, another remains.
	RelaysPerDataCentre = 2
	// maxSources limits the peers that one process polls.
	maxSources = 8
)

// Plan describes how a process receives documents.
type Plan struct {
	// Relay reports whether the process watches the key-value service itself.
	Relay bool
	// Sources are the peers that a process polls if it is no relay, in order of preference. A relay
	// fetches from them while it has no contact with the key-value service, and to get older
	// documents of a service whose newest one it cannot parse.
	Sources []external.Instance
	// ProcessCount is the number of entries and sidecars, which sets the rate of direct reads.
	ProcessCount int
}

// NewPlan derives the plan of a process from the instance list. Processes with the same list choose
// the same relays. The order of the sources differs between processes, to spread the polls.
func NewPlan(instances []external.Instance, self external.Instance) Plan {
	entries := usableEntries(instances)
	plan := Plan{ProcessCount: len(instances)}
	relays := selectRelays(entries)
	if self.Role == external.RoleEntry {
		plan.Relay = slices.ContainsFunc(relays, func(r external.Instance) bool { return r.ID == self.ID })
		plan.Sources = orderSources(relays, self)
		return plan
	}
	plan.Sources = orderSources(entries, self)
	return plan
}

// usableEntries returns the entries that are not leaving, or all entries if every one is leaving.
func usableEntries(instances []external.Instance) []external.Instance {
	var live, leaving []external.Instance
	for _, in := range instances {
		switch {
		case in.Role != external.RoleEntry:
		case in.State == external.InstanceLeaving:
			leaving = append(leaving, in)
		default:
			live = append(live, in)
		}
	}
	if len(live) > 0 {
		return live
	}
	return leaving
}

// selectRelays chooses the relays of each data centre by rendezvous hashing.
func selectRelays(entries []external.Instance) []external.Instance {
	byDC := map[string][]external.Instance{}
	for _, in := range entries {
		byDC[in.DataCentre] = append(byDC[in.DataCentre], in)
	}
	var relays []external.Instance
	for dc, ins := range byDC {
		sortByWeight(ins, "relay/"+dc)
		relays = append(relays, ins[:min(RelaysPerDataCentre, len(ins))]...)
	}
	return relays
}

// orderSources returns the sources of a process: peers of its own data centre before others, each
// group in the order of rendezvous hashing. Up to half of the places are kept for other data centres,
// so that sources remain if the own data centre is lost.
func orderSources(peers []external.Instance, self external.Instance) []external.Instance {
	peers = slices.DeleteFunc(slices.Clone(peers), func(p external.Instance) bool { return p.ID == self.ID })
	sortByWeight(peers, "source/"+self.ID)
	var own, other []external.Instance
	for _, p := range peers {
		if p.DataCentre == self.DataCentre {
			own = append(own, p)
		} else {
			other = append(other, p)
		}
	}
	own = own[:min(len(own), max(maxSources/2, maxSources-len(other)))]
	return append(own, other[:min(len(other), maxSources-len(own))]...)
}

// sortByWeight sorts instances by descending rendezvous weight for a key.
func sortByWeight(ins []external.Instance, key string) {
	weight := func(in external.Instance) uint64 { return xxhash.Sum64String(key + "\x00" + in.ID) }
	slices.SortFunc(ins, func(a, b external.Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
}
