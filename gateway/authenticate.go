package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/account"
	"github.com/quetzallug/quetzallug/route"
)

// Reasons why a request with an API key gets no send.
var (
	// errKeyUnknown means that the configuration in force doesn't hold the key.
	errKeyUnknown = errors.New("key_unknown")
	// errKeysUnconfirmed means that the key may have been dropped: the store has not confirmed the configuration for
	// RevocationBound.
	errKeysUnconfirmed = errors.New("configuration_unconfirmed")
	// errAccountChanged means that the key belongs to another account than the one that the call names, or that the call
	// would pass on a key that became one since it was prepared.
	errAccountChanged = errors.New("account_changed")
)

// authenticate finds the client account of a request. It reports false if the request needs an API key and has none
// that is valid; then the caller has been answered, before the body was read.
func (q *request) authenticate(now time.Time) bool {
	// Also without accounts, because they may be configured before a second send.
	q.key, _ = q.g.codec.Key(q.r.Header)
	if err := q.renewAccount(now); err != nil {
		q.service = q.route.Shares[0].Service // for the metrics only
		q.giveUpWithoutKey(err)
		return false
	}
	return true
}

// renewAccount is checkKey, after it has taken the account from the configuration in force. If the key is no longer
// valid, the account stays that of the earlier sends, for the log.
func (q *request) renewAccount(now time.Time) error {
	t := q.g.tables.Table()
	// A key stays hidden from backend servers if the accounts are removed from the configuration meanwhile.
	q.hideKey = q.hideKey || t.Accounts != nil
	if a := t.Accounts.Lookup(q.key); a != nil || !q.needsKey(t) {
		q.account = a
	}
	return q.checkKey(now)
}

// needsKey reports whether a configuration demands a key for the request.
func (q *request) needsKey(t *route.Table) bool {
	if t.Accounts == nil {
		return false
	}
	r := q.route
	if t.Version != q.configVersion {
		if m := t.Match(q.r.Host, q.r.URL.Path); m != nil {
			r = m
		}
	}
	return !r.Public
}

// checkKey reports why the request must not be sent under the configuration in force, or nil. It is asked again
// directly before each send, so that a dropped key also ends the sends of requests that were let in before.
func (q *request) checkKey(now time.Time) error {
	t := q.g.tables.Table()
	a, needed := t.Accounts.Lookup(q.key), q.needsKey(t)
	switch {
	case a == nil && needed:
		return errKeyUnknown
	case t.Accounts != nil && !q.hideKey, accountName(a) != accountName(q.account):
		return errAccountChanged
	}
	if limit := q.g.cfg.RevocationBound; needed && limit > 0 && now.Sub(q.g.roster.ConfirmedAt()) > limit {
		return errKeysUnconfirmed
	}
	return nil
}

// accountName returns the name of an account, which is empty if there is none.
func accountName(a *account.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// giveUpWithoutKey ends a request that checkKey forbids to send. A request that may have run gets no 401, which would
// not be true of it.
func (q *request) giveUpWithoutKey(err error) {
	if !errors.Is(err, errKeyUnknown) || q.runs > 0 || q.reply.started {
		q.giveUp(q.joinCause(err.Error()))
		return
	}
	h := q.reply.w.Header()
	q.g.codec.Challenge(h)
	if !q.bodyRead && q.r.ContentLength != 0 {
		h.Set("Connection", "close")
	}
	q.g.metrics.Refusal(q.service, err.Error())
	q.replyError(http.StatusUnauthorized, outcomeInvalid, err.Error())
}

// priority returns the rank of the request. That of its account goes before that of its route.
func (q *request) priority() int {
	if q.account != nil && q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// forwarded returns what is added to each call to a backend server that runs for the caller.
func (q *request) forwarded(s *Server) *ForwardedRequest {
	return &ForwardedRequest{Server: s, Priority: q.priority(), HideKey: q.hideKey, Account: accountName(q.account)}
}
