package engine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/quetzallug/quetzallug/external"
)

// kvBlob is the exported form of a request's KV cache.
type kvBlob struct {
	// Answer identifies model, adapter, prompt and seed.
	Answer uint64 `json:"answer"`
	Tokens int    `json:"tokens"`
}

// kvCache holds the KV caches that can be exported, and those imported, each up to
// exportedRequests. The engine's mutex guards it.
type kvCache struct {
	exports     map[string]*sequence
	exportOrder []string
	imports     map[string]kvBlob
	importOrder []string
}

func newKVCache() *kvCache {
	return &kvCache{exports: map[string]*sequence{}, imports: map[string]kvBlob{}}
}

// keep makes a prefilled request exportable.
func (c *kvCache) keep(s *sequence) {
	c.exportOrder = bounded(c.exports, c.exportOrder, s.req.RequestID, s)
}

func (c *kvCache) imported(handle string, key uint64) int {
	if b, ok := c.imports[handle]; ok && b.Answer == key {
		return b.Tokens
	}
	return 0
}

// bounded puts a value into a map and removes the oldest one over the limit.
func bounded[V any](m map[string]V, order []string, key string, v V) []string {
	if _, ok := m[key]; !ok {
		order = append(order, key)
	}
	m[key] = v
	if len(order) > exportedRequests {
		delete(m, order[0])
		order = order[1:]
	}
	return order
}

// ExportKV implements external.Engine. It serves requests whose prefill is complete, running or
// recently finished.
func (e *Engine) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return nil, err
	}
	s, ok := e.kv.exports[requestID]
	if !ok {
		return nil, fmt.Errorf("%w: no KV cache of request %q", external.ErrEngineRefused, requestID)
	}
	return json.Marshal(kvBlob{Answer: s.key, Tokens: s.prompt + s.produced})
}

// ImportKV implements external.Engine. Importing the same data again yields the same handle.
func (e *Engine) ImportKV(ctx context.Context, data []byte) (string, error) {
	var b kvBlob
	if err := json.Unmarshal(data, &b); err != nil || b.Tokens <= 0 {
		return "", fmt.Errorf("%w: KV cache data is not valid", external.ErrEngineRefused)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.readable(ctx); err != nil {
		return "", err
	}
	handle := fmt.Sprintf("kv-%016x-%d", b.Answer, b.Tokens)
	e.kv.importOrder = bounded(e.kv.imports, e.kv.importOrder, handle, b)
	return handle, nil
}
