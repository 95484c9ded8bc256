package gateway

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// maxShownAccounts limits the accounts in the status.
	maxShownAccounts = 16
	// maxCountedAccounts limits the accounts whose requests are counted, at about 150 bytes each. The largest foreseen
	// deployment has 14,000; the requests of further ones are counted together.
	maxCountedAccounts = 16384
	// otherAccounts is the name under which they are counted. Names of accounts don't contain spaces at their ends.
	otherAccounts = "other "
)

// AccountStatus counts the requests of one client account since the process started.
type AccountStatus struct {
	Account string `json:"account"`
	// Requests is the number of all requests, Served of those with an answer.
	Requests uint64 `json:"requests"`
	Served   uint64 `json:"served"`
	// RefusedForShare counts the requests refused because the account asked for more than its fair share,
	// RefusedForLoad those refused because their answers would have been late, and RefusedOtherwise all others.
	RefusedForShare  uint64 `json:"refused_for_share"`
	RefusedForLoad   uint64 `json:"refused_for_load"`
	RefusedOtherwise uint64 `json:"refused_otherwise"`
}

// accountTotals counts requests by account.
type accountTotals struct {
	mu     sync.Mutex
	byName map[string]*AccountStatus
}

func (t *accountTotals) record(name, outcome, cause string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.byName[name]
	if a == nil && len(t.byName) >= maxCountedAccounts {
		name = otherAccounts
		a = t.byName[name]
	}
	if a == nil {
		if t.byName == nil {
			t.byName = make(map[string]*AccountStatus)
		}
		a = &AccountStatus{Account: name}
		t.byName[name] = a
	}
	a.Requests++
	switch {
	case outcome == outcomeAnswered:
		a.Served++
	case outcome != outcomeRefused:
	case cause == RefusalShare:
		a.RefusedForShare++
	case cause == refusalOverload:
		a.RefusedForLoad++
	default:
		a.RefusedOtherwise++
	}
}

// largest returns the accounts with the most requests.
func (t *accountTotals) largest() []AccountStatus {
	t.mu.Lock()
	out := make([]AccountStatus, 0, len(t.byName))
	for _, a := range t.byName {
		out = append(out, *a)
	}
	t.mu.Unlock()
	slices.SortFunc(out, func(x, y AccountStatus) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Account, y.Account))
	})
	return out[:min(len(out), maxShownAccounts)]
}
