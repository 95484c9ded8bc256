// Package enginewire defines the HTTP messages between the engine adapter and an engine.
package enginewire

import (
	"errors"
	"net/http"

	"github.com/quetzallug/quetzallug/external"
)

// Paths of the calls. Generate answers with server-sent events, one "data: {json}" line per
// Event; the other calls answer with JSON. A refused or failed call answers with a status other
// than 200 and a code.
const (
	PathGenerate = "/generate"    // POST external.GenerateRequest
	PathCancel   = "/cancel"      // POST Cancel
	PathState    = "/state"       // GET, answers external.EngineState
	PathApply    = "/apply"       // POST external.EngineOrder
	PathLoad     = "/load"        // GET, answers external.EngineLoad
	PathEvents   = "/cacheevents" // GET ?after=sequence, answers []external.CacheEvent
	PathExport   = "/kv/export"   // POST Cancel, answers Blob
	PathImport   = "/kv/import"   // POST Blob, answers Handle
)

// DataPrefix starts each line that carries an event.
const DataPrefix = "data: "

// Cancel names a request.
type Cancel struct {
	RequestID string `json:"request_id"`
}

// Blob is exported KV cache.
type Blob struct {
	Data []byte `json:"data"`
}

// Handle names imported KV cache.
type Handle struct {
	Handle string `json:"handle"`
}

// Codes of errors.
const (
	CodeRefused    = "refused"
	CodeFailed     = "failed"
	CodeStaleFence = "stale_fence"
)

// Code returns the status and code of an error.
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

// Error returns the error of a code. An unknown code is a failure, after which the request may
// have run.
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
