package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/document"
	"github.com/quetzallug/quetzallug/entry"
	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/internal/rpc"
	"github.com/quetzallug/quetzallug/membership"
)

// newFleet returns a fleet with one worker, whose engine has model m loaded.
func newFleet(t *testing.T) *entry.Fleet {
	t.Helper()
	view, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(t, err)
	now := time.Now()
	view.ApplyList(now, external.InstanceSnapshot{Version: 1, Instances: []external.Instance{{
		ID: "w", Role: external.RoleSidecar, Service: "m", DataCentre: "d", Address: "127.0.0.1:1", State: external.InstanceLive,
	}}})
	f := entry.NewFleet("c", "d", view, rpc.NewClients(rpc.ClientConfig{}), 1)
	f.ApplyReport(&v1.LoadReport{
		Instance: "w", Incarnation: "i", Sequence: 1, Role: "mixed", Models: []string{"m"}, FreePieces: 512, TotalPieces: 512,
	}, now)
	return f
}

// A request to an idle worker must be admitted even if its estimated latency exceeds the target.
// Otherwise a wrong estimate of the worker's speed causes all requests to be refused, the worker stays
// idle and the estimate is never corrected.
func TestIdleWorkerIsNotTooLate(t *testing.T) {
	f := newFleet(t)
	a := entry.NewAdmission(f)
	now := time.Now()
	r := entry.AdmitRequest{
		Caller: "c", Service: &document.Service{Service: "m", Limits: document.Limits{Queue: 10}},
		Kind: &document.Kind{Rank: 1, Deadlines: document.Deadlines{
			FirstToken: document.Duration(730 * time.Millisecond), Total: document.Duration(time.Minute),
		}},
		Deadline: now.Add(time.Minute), Now: now,
		// The prefill of 20,000 tokens takes 2 s at the default speed, far above the target of 730 ms.
		Pick: entry.PickRequest{RequestID: "r", Service: "m", Model: "m", PromptTokens: 20_000, MaxTokens: 10},
	}
	release, _, err := a.Admit(r)
	require.Nil(t, err)
	defer release()
	w, _, pickErr := f.Pick(r.Pick)
	require.NoError(t, pickErr)
	f.Sent(w, r.Pick)
	_, _, err = a.Admit(r)
	require.NotNil(t, err)
	require.Equal(t, entry.ReasonDeadline, err.Reason)
	require.Equal(t, entry.OutcomeNotRun, err.Outcome)
}
