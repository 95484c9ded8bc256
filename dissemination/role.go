package dissemination

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quetzallug/quetzallug/external"
)

const (
	// RelaysPerDataCentre is two, so that one may be lost at any time.
	RelaysPerDataCentre = 2
	// maxSources bounds the peers that one process turns to.
	maxSources = 8
)

// Plan is what a process does to receive documents.
type Plan struct {
	// Relay says that the process watches the key-value service itself.
	Relay bool
	// Sources are the peers that it polls otherwise, in order of preference.
	Sources []external.Instance
	// Fleet is the number of entries and sidecars, which sets the rate of direct reads.
	Fleet int
}

// Role derives the plan of a process from the instance list. Processes with the same list
// agree about the relays; the order of the sources differs, to spread the polls.
func Role(instances []external.Instance, self external.Instance) Plan {
	entries := liveEntries(instances)
	plan := Plan{Fleet: len(instances)}
	relays := relaysOf(entries)
	if self.Role == external.RoleEntry {
		plan.Relay = slices.ContainsFunc(relays, func(r external.Instance) bool { return r.ID == self.ID })
		plan.Sources = preferred(relays, self)
		return plan
	}
	plan.Sources = preferred(entries, self)
	return plan
}

// liveEntries returns the live entries, or the leaving ones if there are no others.
func liveEntries(instances []external.Instance) []external.Instance {
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

// relaysOf chooses the relays of each data centre by rendezvous hashing.
func relaysOf(entries []external.Instance) []external.Instance {
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

// preferred orders peers: own data centre first, then by rendezvous hashing. The last places
// go to other data centres, so that the loss of the own one leaves sources.
func preferred(peers []external.Instance, self external.Instance) []external.Instance {
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

// sortByWeight orders instances by their rendezvous weight for a key, the highest first.
func sortByWeight(ins []external.Instance, key string) {
	weight := func(in external.Instance) uint64 { return xxhash.Sum64String(key + "\x00" + in.ID) }
	slices.SortFunc(ins, func(a, b external.Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.ID, b.ID))
	})
}
