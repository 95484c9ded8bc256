package gatewaybench

import (
	"fmt"
	"math"
)

// Accounts describes the client accounts of a deployment. Without them, requests belong to no account.
type Accounts struct {
	// Count is the number of accounts.
	Count int `yaml:"count"`
	// Skew makes some accounts larger: the demand of account n is proportional to n^-Skew.
	Skew float64 `yaml:"skew"`
	// Connections is the number of connections of all accounts together. Each account has a number in proportion to
	// its demand, but at least one, and each connection leads to one entry for the whole run.
	Connections int `yaml:"connections"`
}

func (a *Accounts) validate() []error {
	return []error{
		check(a.Count >= 0, "accounts.count: found %d, must be at least 0", a.Count),
		check(a.Count == 0 || a.Connections > 0, "accounts.connections: found %d, must be at least 1", a.Connections),
	}
}

// accountNames returns the names of the accounts in order of their demand.
func (a *Accounts) names() []string {
	out := make([]string, a.Count)
	for i := range out {
		out[i] = fmt.Sprintf("account-%d", i+1)
	}
	return out
}

// callers draws the accounts of requests and the entries that they reach.
type callers struct {
	names []string
	// shares are the accounts' shares of the demand.
	shares []float64
	// entries holds the entries of each account's connections.
	entries [][]int
}

func newCallers(sim *simulation) callers {
	a := &sim.dep.Accounts
	c := callers{names: a.names(), shares: make([]float64, a.Count), entries: make([][]int, a.Count)}
	total := 0.0
	for i := range c.shares {
		c.shares[i] = math.Pow(float64(i+1), -a.Skew)
		total += c.shares[i]
	}
	for i := range c.shares {
		c.shares[i] /= total
		for range max(1, int(math.Round(c.shares[i]*float64(a.Connections)))) {
			c.entries[i] = append(c.entries[i], sim.random.IntN(sim.dep.Entries))
		}
	}
	return c
}

// weights returns the current demand of each account, as a share of the usual demand of all, and its sum. spread is the
// account whose requests reach any entry, or -1.
func (sim *simulation) accountWeights(kind int) (weights []float64, total float64, spread int) {
	weights, spread = append([]float64(nil), sim.callers.shares...), -1
	at := sim.clock.At - sim.warmUp()
	for i := range sim.day.Loads {
		l := &sim.day.Loads[i]
		if l.Account == 0 || !l.appliesTo(kind, sim.dep.Kinds[kind].Name) || !l.active(at) {
			continue
		}
		weights[l.Account-1] *= l.Factor
		if l.Spread {
			spread = l.Account - 1
		}
	}
	for _, w := range weights {
		total += w
	}
	return weights, total, spread
}

// drawAccount sets the account of a request and the entry that it reaches.
func (sim *simulation) drawAccount(r *request) {
	weights, total, spread := sim.accountWeights(r.kind)
	x := sim.random.Float64() * total
	for r.account < len(weights)-1 && x >= weights[r.account] {
		x -= weights[r.account]
		r.account++
	}
	if r.account != spread {
		entries := sim.callers.entries[r.account]
		r.entry = entries[sim.random.IntN(len(entries))]
	}
}

// accountResult counts the requests of one account.
type accountResult struct {
	offered, answered int
}

func (a accountResult) served() float64 { return float64(a.answered) / float64(max(1, a.offered)) }
