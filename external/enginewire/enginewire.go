// Package enginewire defines the HTTP messages between the engine adapter and an engine, and the prefix
// hashes in cache events.
package enginewire

import (
	"errors"
	"net/http"

	"github.com/quetzallug/quetzallug/external"
)

// Paths of the calls. The response to PathGenerate consists of server-sent events, each with one
// "data: {json}" line that contains an Event; the responses to the other calls are JSON. A refused or
// failed call returns a status other than 200 and an error code.
const (
	PathGenerate = "/generate"    // POST external.GenerateRequest
	PathCancel   = "/cancel"      // POST RequestRef
	PathState    = "/state"       // GET, returns external.EngineState
	PathApply    = "/apply"       // POST external.EngineOrder
	PathLoad     = "/load"        // GET, returns external.EngineLoad
	PathEvents   = "/cacheevents" // GET ?after=sequence, returns []external.CacheEvent
	PathExport   = "/kv/export"   // POST RequestRef, returns KVCache
	PathImport   = "/kv/import"   // POST KVCache, returns Handle
)

// DataPrefix is the start of each line that contains an event.
const DataPrefix = "data: "

// RequestRef identifies the request that is to be cancelled or whose KV cache is to be exported.
type RequestRef struct {
	RequestID string `json:"request_id"`
}

// KVCache is an exported KV cache.
type KVCache struct {
	Data []byte `json:"data"`
}

// Handle identifies an imported KV cache.
type Handle struct {
	Handle string `json:"handle"`
}

// Error codes.
const (
	CodeRefused    = "refused"
	CodeFailed     = "failed"
	CodeStaleFence = "stale_fence"
)

// Code returns the HTTP status and error code for an error.
func Code(err error) (status int, code string) {
	switch {
	case errors.Is(err, external.ErrStaleFence):
		return http.StatusConflict, CodeStaleFence
	case errors.Is(err, external.ErrEngineRefused):
		return http.StatusServiceUnavailable, CodeRefused
	default:
		return http.StatusInternalServerError, CodeFailed
	}
}

// Error returns the error for an error code. For an unknown code it returns external.ErrEngineFailed,
// because the engine may have run the request.
func Error(code string) error {
	switch code {
	case CodeRefused:
		return external.ErrEngineRefused
	case CodeStaleFence:
		return external.ErrStaleFence
	default:
		return external.ErrEngineFailed
	}
}
