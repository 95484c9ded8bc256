package cas_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/standin/fault"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// Guards against a writer that takes its own write for another's, or another's for its own.
func TestSwapLearnsItsOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		action  fault.Action
		present string // value in the store before the write
		want    error
	}{
		"plain":              {},
		"response lost":      {action: fault.Action{Lose: true}},
		"delivered twice":    {action: fault.Action{Twice: true}},
		"other writer":       {present: `{"write_id":"other"}`, want: external.ErrConflict},
		"other writer, lost": {action: fault.Action{Lose: true}, present: `{"write_id":"other"}`, want: external.ErrConflict},
		"malformed record":   {present: `x`, want: external.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			store := kv.NewStore(kv.Limits{})
			if c.present != "" {
				_, err := store.CompareAndSwap(t.Context(), "k", 0, []byte(c.present), 0)
				require.NoError(t, err)
			}
			p := fault.NewProcess(t.Context(), "writer", func(k fault.Call) fault.Action {
				if k.Op == "cas" {
					return c.action
				}
				return fault.Action{}
			})
			id := cas.NewID()
			view := &fault.KV{Process: p, Network: &fault.Network{}, Store: store}
			version, err := cas.Swap(t.Context(), view, cas.Write{Key: "k", Value: []byte(`{"write_id":"` + id + `"}`), ID: id})
			require.ErrorIs(t, err, c.want)
			if c.want == nil {
				require.Equal(t, uint64(1), version)
			}
		})
	}
}

// Guards against a write that is reported as failed although it may still arrive.
func TestSwapReportsUnknownOutcome(t *testing.T) {
	store, id := kv.NewStore(kv.Limits{}), cas.NewID()
	network := &fault.Network{}
	p := fault.NewProcess(t.Context(), "writer", func(k fault.Call) fault.Action {
		return fault.Action{Lose: k.Op == "cas" || k.Op == "get"}
	})
	view := &fault.KV{Process: p, Network: network, Store: store}
	_, err := cas.Swap(t.Context(), view, cas.Write{Key: "k", Value: []byte(`{"write_id":"` + id + `"}`), ID: id})
	require.ErrorIs(t, err, external.ErrOutcomeUnknown)
}
