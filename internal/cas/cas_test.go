package cas_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/standin/fault"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Guards against a writer that mistakes its own write for a conflicting one, or the reverse, after a lost
// response or a duplicate delivery.
func TestSwapLearnsItsOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		action   fault.Action
		existing string // value of the key before the write
		want     error
	}{
		"plain":              {},
		"response lost":      {action: fault.Action{LoseResponse: true}},
		"delivered twice":    {action: fault.Action{ExecuteTwice: true}},
		"other writer":       {existing: `{"write_id":"other"}`, want: external.ErrConflict},
		"other writer, lost": {action: fault.Action{LoseResponse: true}, existing: `{"write_id":"other"}`, want: external.ErrConflict},
		"malformed record":   {existing: `x`, want: external.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			store := kv.NewStore(kv.Limits{})
			if c.existing != "" {
				_, err := store.CompareAndSwap(t.Context(), "k", 0, []byte(c.existing), 0)
				require.NoError(t, err)
			}
			process := fault.NewProcess(t.Context(), "writer", func(call fault.Call) fault.Action {
				if call.Op == "cas" {
					return c.action
				}
				return fault.Action{}
			})
			id := cas.NewID()
			client := &fault.KV{Process: process, Network: &fault.Network{}, Store: store}
			version, err := cas.Swap(t.Context(), client, cas.Write{Key: "k", Value: []byte(`{"write_id":"` + id + `"}`), ID: id})
			require.ErrorIs(t, err, c.want)
			if c.want == nil {
				require.Equal(t, uint64(1), version)
			}
		})
	}
}

// Guards against a write that is reported as failed although it may still take effect.
func TestSwapReportsUnknownOutcome(t *testing.T) {
	store, id := kv.NewStore(kv.Limits{}), cas.NewID()
	network := &fault.Network{}
	process := fault.NewProcess(t.Context(), "writer", func(call fault.Call) fault.Action {
		return fault.Action{LoseResponse: call.Op == "cas" || call.Op == "get"}
	})
	client := &fault.KV{Process: process, Network: network, Store: store}
	_, err := cas.Swap(t.Context(), client, cas.Write{Key: "k", Value: []byte(`{"write_id":"` + id + `"}`), ID: id})
	require.ErrorIs(t, err, external.ErrOutcomeUnknown)
}
