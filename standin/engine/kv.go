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

// kvTransfers holds the requests whose KV cache can be exported and the imported KV caches, at most
// maxKVCaches of each. It is guarded by Engine.mu.
type kvTransfers struct {
	exports     map[string]*sequence
	exportOrder []string
	imports     map[string]kvBlob
	importOrder []string
}

func newKVTransfers() *kvTransfers {
	return &kvTransfers{exports: map[string]*sequence{}, imports: map[string]kvBlob{}}
}

// addExport makes the KV cache of a prefilled request exportable.
func (c *kvTransfers) addExport(s *sequence) {
	c.exportOrder = putBounded(c.exports, c.exportOrder, s.req.RequestID, s)
}

// importedTokens returns the number of tokens in an imported KV cache, or 0 if the handle is unknown
// or belongs to another answer.
func (c *kvTransfers) importedTokens(handle string, key uint64) int {
	if b, ok := c.imports[handle]; ok && b.Answer == key {
		return b.Tokens
	}
	return 0
}

// putBounded stores v under key and, beyond maxKVCaches, removes the oldest entry. order holds m's keys,
// oldest first; the updated order is returned.
func putBounded[V any](m map[string]V, order []string, key string, v V) []string {
	if _, ok := m[key]; !ok {
		order = append(order, key)
	}
	m[key] = v
	if len(order) > maxKVCaches {
		delete(m, order[0])
		order = order[1:]
	}
	return order
}

// ExportKV implements external.Engine. It exports the KV cache of requests whose prefill is complete,
// whether they are running or have recently finished.
func (e *Engine) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return nil, err
	}
	s, ok := e.kv.exports[requestID]
	if !ok {
		return nil, fmt.Errorf("%w: no KV cache of request %q", external.ErrEngineRefused, requestID)
	}
	return json.Marshal(kvBlob{Answer: s.answerKey, Tokens: s.promptTokens + s.generateOffset})
}

// ImportKV implements external.Engine. Importing the same data again returns the same handle.
func (e *Engine) ImportKV(ctx context.Context, data []byte) (string, error) {
	var b kvBlob
	if err := json.Unmarshal(data, &b); err != nil || b.Tokens <= 0 {
		return "", fmt.Errorf("%w: KV cache data is not valid", external.ErrEngineRefused)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkAvailable(ctx); err != nil {
		return "", err
	}
	handle := fmt.Sprintf("kv-%016x-%d", b.Answer, b.Tokens)
	e.kv.importOrder = putBounded(e.kv.imports, e.kv.importOrder, handle, b)
	return handle, nil
}
