package external

import (
	"context"
	"errors"
	"time"
)

// PieceTokens is the number of tokens in a piece, the unit in which engine capacity is reserved.
const PieceTokens = 1024

// Errors of engines and plain backend servers.
var (
	// ErrStaleFence means that the engine refused an order because its fence number is lower than one
	// that the engine has already seen.
	ErrStaleFence = errors.New("stale fence number")
	// ErrEngineRefused means that the engine or plain backend server did not run the request, because
	// it refused it or because the request was not sent. Despite its text, it is also returned for plain
	// backend servers and for failed dials. The text is part of RPC messages and order records.
	ErrEngineRefused = errors.New("engine refused the request")
	// ErrEngineFailed means that the engine or plain backend server failed, or that its response was lost.
	// It may have run the request, in part or as a whole. The text is part of RPC messages and order
	// records.
	ErrEngineFailed = errors.New("engine failed")
)

// EngineRole determines which phases of inference an engine performs.
type EngineRole string

// Roles of engines. A mixed engine performs both prefill and decode.
const (
	EngineRolePrefill EngineRole = "prefill"
	EngineRoleDecode  EngineRole = "decode"
	EngineRoleMixed   EngineRole = "mixed"
)

// GenerateRequest is a request to an engine to generate tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// PromptTokens is the number of tokens of the prompt, or 0 if it is unknown. In that case the engine
	// counts the words of the prompt.
	PromptTokens int `json:"prompt_tokens"`
	// MaxTokens is the maximum length of the whole answer in tokens, including the first Offset tokens.
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	// Priority determines the order of queued requests: a lower number is served first.
	Priority int `json:"priority"`
	// Offset is the number of tokens of the answer that the caller has already received. The answer
	// continues after them.
	Offset int `json:"offset"`
	// KVHandle is the handle of a KV cache that was imported for the prompt, with which the engine
	// skips the prefill.
	KVHandle string `json:"kv_handle,omitempty"`
}

// TokenChunk is a part of the answer to a GenerateRequest.
type TokenChunk struct {
	// Offset is the number of tokens of the answer before this chunk.
	Offset int    `json:"offset"`
	Tokens int    `json:"tokens"`
	Text   string `json:"text"`
	// FinishReason is set on the last chunk only.
	FinishReason string `json:"finish_reason,omitempty"`
}

// TokenStream reads the answer to a GenerateRequest.
type TokenStream interface {
	// Next returns the next chunk. It returns io.EOF after the chunk with a finish reason.
	Next() (TokenChunk, error)
	// Close releases the stream. If the answer has not finished, Close also cancels the request.
	Close() error
}

// ModelVersion is the name and version of a model or adapter.
type ModelVersion struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// EngineConfig is the part of an engine's configuration that an order sets.
type EngineConfig struct {
	Role     EngineRole     `json:"role"`
	Models   []ModelVersion `json:"models"`
	Adapters []ModelVersion `json:"adapters,omitempty"`
}

// EngineOrder is an order to an engine to change its configuration. An engine may refuse an order
// whose fence number is lower than the highest one it has seen.
type EngineOrder struct {
	Fence uint64 `json:"fence"`
	// Number increases by one with each new order to the engine. Fence and Number together identify an
	// order.
	Number uint64       `json:"number"`
	Config EngineConfig `json:"config"`
}

// EngineState is an engine's report on its configuration.
type EngineState struct {
	Config EngineConfig `json:"config"`
	// Number is the number of the last order that the engine finished, and Fence is the highest fence
	// number that it has seen. Both are 0 after a crash, because engines have no persistent state.
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	// Changing is true while the engine executes an order.
	Changing bool `json:"changing"`
	// StartID identifies a start of the engine. It is different after each restart.
	StartID string `json:"start_id"`
}

// EngineLoad is an engine's report on its load. It may be out of date.
type EngineLoad struct {
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// PrefillTokens and DecodeTokens are the outstanding work: the tokens that running and queued
	// requests still need in each phase.
	PrefillTokens int64 `json:"prefill_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	// FreePieces and TotalPieces are the capacity of an engine in pieces of PieceTokens tokens.
	FreePieces  int `json:"free_pieces"`
	TotalPieces int `json:"total_pieces"`
}

// CacheEvent reports that an engine has added a prompt prefix to its cache, or has evicted it. Events
// may be delayed or lost, so they are used only to score engines for routing.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Prefix is the hash of the prefix, as computed by enginewire.AppendPrefixHashes.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted"`
}

// Engine is a client of a model engine.
type Engine interface {
	// Generate starts a generation. The caller must close the stream.
	Generate(ctx context.Context, r *GenerateRequest) (TokenStream, error)
	// Cancel cancels the generation with the given request ID. Cancelling an unknown request is not an
	// error.
	Cancel(ctx context.Context, requestID string) error
	// State returns the engine's report on its configuration.
	State(ctx context.Context) (EngineState, error)
	// Apply sends an order and returns when the engine has finished executing it.
	Apply(ctx context.Context, o EngineOrder) error
	// Load returns the engine's load report.
	Load(ctx context.Context) (EngineLoad, error)
	// CacheEvents returns the events with sequence numbers greater than after.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	// ExportKV returns the KV cache of a request in a form that ImportKV of another engine accepts. The
	// prefill of the request must be complete; the request may be running or have recently finished.
	ExportKV(ctx context.Context, requestID string) ([]byte, error)
	// ImportKV imports a KV cache and returns a handle for GenerateRequest.KVHandle.
	ImportKV(ctx context.Context, data []byte) (handle string, err error)
}

// PlainRequest is an HTTP request to a plain backend server.
type PlainRequest struct {
	RequestID string
	Method    string
	// Path is the path and query. It must start with a slash.
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
	// Timeout limits the duration of the request. If it is 0, only the context limits it.
	Timeout time.Duration
}

// PlainResponse is the response of a plain backend server, with its whole body.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Backend is a client of a plain backend server.
type Backend interface {
	// Do sends the request at most once. ErrEngineRefused means that the request was certainly not sent.
	Do(ctx context.Context, r *PlainRequest) (*PlainResponse, error)
	// Load returns the load report. One piece is one request slot, so TotalPieces is the limit of running
	// requests.
	Load(ctx context.Context) (EngineLoad, error)
}
