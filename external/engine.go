package external

import (
	"context"
	"errors"
	"time"
)

// PieceTokens is the unit of engine capacity, in tokens.
const PieceTokens = 1024

// Errors of engines and plain backend servers.
var (
	// ErrStaleFence means that the engine refused an order with an old fence number.
	ErrStaleFence = errors.New("stale fence number")
	// ErrEngineRefused means that the engine refused a request before running it.
	ErrEngineRefused = errors.New("engine refused the request")
	// ErrEngineFailed means that the engine failed; the request may have run in part.
	ErrEngineFailed = errors.New("engine failed")
)

// Role is the part of the work that an engine takes.
type Role string

// Roles of engines.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// GenerateRequest asks an engine to generate tokens.
type GenerateRequest struct {
	RequestID    string `json:"request_id"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter,omitempty"`
	Prompt       string `json:"prompt"`
	PromptTokens int    `json:"prompt_tokens"`
	MaxTokens    int    `json:"max_tokens"`
	Seed         uint64 `json:"seed"`
	// Priority orders waiting requests: lower numbers are served first.
	Priority int `json:"priority"`
	// Offset is the number of answer tokens that the caller already has.
	Offset int `json:"offset"`
	// KVHandle names imported KV cache, so that prefill can be skipped.
	KVHandle string `json:"kv_handle,omitempty"`
}

// TokenChunk is a part of an engine's answer.
type TokenChunk struct {
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// FinishReason is set on the last chunk only.
	FinishReason string `json:"finish_reason,omitempty"`
}

// TokenStream yields the answer of one generation.
type TokenStream interface {
	// Next returns io.EOF after the chunk that carries a finish reason.
	Next() (TokenChunk, error)
	Close() error
}

// ModelVersion names a model or adapter at one version.
type ModelVersion struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// EngineConfig is what an order sets on an engine.
type EngineConfig struct {
	Role     Role           `json:"role"`
	Models   []ModelVersion `json:"models"`
	Adapters []ModelVersion `json:"adapters,omitempty"`
}

// EngineOrder changes an engine's configuration.
type EngineOrder struct {
	Fence  uint64       `json:"fence"`
	Number uint64       `json:"number"`
	Config EngineConfig `json:"config"`
}

// EngineState is what an engine reports about its configuration.
type EngineState struct {
	Config EngineConfig `json:"config"`
	// Number is the last order that the engine finished, Fence the highest fence number seen.
	// Both are 0 after a crash, because engines keep nothing.
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	// Changing is true while an order executes.
	Changing bool `json:"changing"`
	// StartID changes with each start of the engine.
	StartID string `json:"start_id"`
}

// EngineLoad is an engine's own load report. It lags.
type EngineLoad struct {
	Running       int   `json:"running"`
	Queued        int   `json:"queued"`
	PrefillTokens int64 `json:"prefill_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	FreePieces    int   `json:"free_pieces"`
	TotalPieces   int   `json:"total_pieces"`
}

// CacheEvent reports that an engine stored or evicted a prompt prefix. Events arrive late and
// with gaps, so they inform a score only.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// Engine is one model engine.
type Engine interface {
	Generate(ctx context.Context, r *GenerateRequest) (TokenStream, error)
	Cancel(ctx context.Context, requestID string) error
	State(ctx context.Context) (EngineState, error)
	// Apply executes an order and returns when the engine has finished it.
	Apply(ctx context.Context, o EngineOrder) error
	Load(ctx context.Context) (EngineLoad, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, requestID string) ([]byte, error)
	ImportKV(ctx context.Context, data []byte) (handle string, err error)
}

// PlainRequest is an HTTP call to a plain backend server.
type PlainRequest struct {
	RequestID      string
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	Timeout        time.Duration
}

// PlainResponse is the whole answer of a plain backend server.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Backend is one plain backend server.
type Backend interface {
	// Do sends the request at most once. ErrEngineRefused means that it was certainly not sent.
	Do(ctx context.Context, r *PlainRequest) (*PlainResponse, error)
	// Load reports the number of running requests and the limit.
	Load(ctx context.Context) (EngineLoad, error)
}
