// Package kvwire defines the JSON messages between the HTTP adapter of the key-value service and the
// stand-in for that service.
package kvwire

import (
	"errors"

	"github.com/quetzallug/quetzallug/external"
)

// Paths of the calls. Each call is a POST request with a Request as its body, and returns a Response.
const (
	PathGet       = "/kv/get"
	PathList      = "/kv/list"
	PathSwap      = "/kv/swap"
	PathDelete    = "/kv/delete"
	PathWatch     = "/kv/watch"
	PathGrant     = "/lease/grant"
	PathKeepAlive = "/lease/keepalive"
	PathRevoke    = "/lease/revoke"
)

// Request is the request body of every call. Each call reads only the fields that it needs.
type Request struct {
	// Key is the key, or the prefix for PathList and PathWatch.
	Key      string           `json:"key,omitempty"`
	Expected uint64           `json:"expected,omitempty"`
	Value    []byte           `json:"value,omitempty"`
	Lease    external.LeaseID `json:"lease,omitempty"`
	After    uint64           `json:"after,omitempty"`
	TTLMS    int64            `json:"ttl_ms,omitempty"`
}

// Response is the response body of every call. Error is an error code, empty for a successful call.
type Response struct {
	Error    string             `json:"error,omitempty"`
	Entries  []external.KVEntry `json:"entries,omitempty"`
	Events   []external.KVEvent `json:"events,omitempty"`
	Revision uint64             `json:"revision,omitempty"`
	Version  uint64             `json:"version,omitempty"`
	Lease    external.LeaseID   `json:"lease,omitempty"`
}

// codes maps error codes to errors and back.
var codes = []struct {
	code string
	err  error
}{
	{"not_found", external.ErrNotFound},
	{"conflict", external.ErrConflict},
	{"lease_expired", external.ErrLeaseExpired},
	{"outcome_unknown", external.ErrOutcomeUnknown},
	{"unavailable", external.ErrUnavailable},
}

// Code returns the error code of an error, or an empty string for nil. An unknown error has the code of
// external.ErrUnavailable.
func Code(err error) string {
	if err == nil {
		return ""
	}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return "unavailable"
}

// Error returns the error of an error code, or nil for an empty code. For an unknown code it returns
// external.ErrUnavailable.
func Error(code string) error {
	if code == "" {
		return nil
	}
	for _, c := range codes {
		if c.code == code {
			return c.err
		}
	}
	return external.ErrUnavailable
}
