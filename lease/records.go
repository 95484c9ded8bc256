package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
)

// KeyPrefix is the prefix of all pool keys.
const KeyPrefix = "pool/"

const (
	holderSuffix = "/holder"
	fenceSuffix  = "/fence"
)

// HolderKey returns the key of a pool's holder record, which exists as long as the holder's lease.
func HolderKey(pool string) string { return KeyPrefix + pool + holderSuffix }

// FenceKey returns the key of a pool's fence record.
func FenceKey(pool string) string { return KeyPrefix + pool + fenceSuffix }

// HolderRecord is the value of the holder key. Its write ID is the session ID.
type HolderRecord struct {
	Holder  string `json:"holder"`
	Session string `json:"write_id"`
	// Address is where other processes reach the holder; empty if they need not.
	Address string `json:"address,omitempty"`
}

// FenceRecord is the value of the fence key.
type FenceRecord struct {
	Fence   uint64 `json:"fence"`
	Holder  string `json:"holder"`
	Session string `json:"session"`
	WriteID string `json:"write_id"`
}

// PoolState is a pool's holder and fence, read in one call.
type PoolState struct {
	FenceRecord  FenceRecord
	HasHolder    bool // a holder key exists
	HolderRecord HolderRecord

	fenceVersion uint64
	malformed    error
}

// HeldUnder reports whether the given holder holds the pool under the given fence number.
func (s PoolState) HeldUnder(fence uint64, holder string) bool {
	return s.HasHolder && s.FenceRecord.Fence == fence && s.FenceRecord.Holder == holder &&
		s.HolderRecord.Holder == holder && s.HolderRecord.Session == s.FenceRecord.Session
}

// ReadPool returns the state of one pool, the zero value if it has no records. Its error wraps
// ErrUnavailable or ErrBadRecord; with ErrBadRecord, only a part of the returned state is valid.
func ReadPool(ctx context.Context, kv external.KV, pool string) (PoolState, error) {
	states, err := readPools(ctx, kv, KeyPrefix+pool+"/")
	if err != nil {
		return PoolState{}, err
	}
	return states[pool], states[pool].malformed
}

func readPools(ctx context.Context, kv external.KV, prefix string) (map[string]PoolState, error) {
	ctx, cancel := context.WithTimeout(ctx, cas.DefaultCallTimeout)
	defer cancel()
	entries, _, err := kv.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list %q: %w: %w", prefix, ErrUnavailable, err)
	}
	states := map[string]PoolState{}
	for _, e := range entries {
		decodeEntry(states, e)
	}
	return states, nil
}

// decodeEntry decodes a pool record into states. A malformed record makes only its own pool
// unusable.
func decodeEntry(states map[string]PoolState, e external.KVEntry) {
	name := strings.TrimPrefix(e.Key, KeyPrefix)
	pool, isHolder := strings.CutSuffix(name, holderSuffix)
	if isHolder {
		s := states[pool]
		s.HasHolder = true
		s.decode(e, &s.HolderRecord)
		states[pool] = s
		return
	}
	if pool, isFence := strings.CutSuffix(name, fenceSuffix); isFence {
		s := states[pool]
		s.fenceVersion = e.Version
		s.decode(e, &s.FenceRecord)
		states[pool] = s
	}
}

func (s *PoolState) decode(e external.KVEntry, into any) {
	if err := json.Unmarshal(e.Value, into); err != nil {
		s.malformed = fmt.Errorf("%w: key %q: %w", ErrBadRecord, e.Key, err)
	}
}

func mustEncode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", v, err)) // the records hold strings and numbers only
	}
	return b
}

// session is one acquisition of a pool.
type session struct {
	pool      string
	id        string
	lease     external.LeaseID
	grantSent time.Time // when the request for the lease was sent
	epoch     uint64    // the epoch of the key-value service in which the lease was requested
}
