package sidecar

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/standin/backend"
	"github.com/quetzallug/quetzallug/standin/engine"
)

// stubDocuments reports revision 1 for every service.
type stubDocuments struct{}

func (stubDocuments) Revision(string) uint64 { return 1 }
func (stubDocuments) Observe(string, uint64) {}

// discardMetrics discards all measurements.
type discardMetrics struct{}

func (discardMetrics) Attempt(v1.Outcome, v1.Reason) {}
func (discardMetrics) InFlight(int)                  {}

// newTestSidecar returns a sidecar and its engine, which has loaded the model "m".
func newTestSidecar(t *testing.T) (*Sidecar, *engine.Engine) {
	t.Helper()
	e := engine.New(engine.Config{OrderTime: time.Millisecond, Initial: external.EngineConfig{
		Role: external.EngineRoleDecode, Models: []external.ModelVersion{{Name: "m", Version: "1"}},
	}})
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	log := logrus.New()
	log.SetOutput(t.Output())
	s, err := New(Config{Cluster: "c", Instance: "i", Service: "s", Incarnation: "1", MaxInFlight: 8, Attempts: once.DefaultAttemptTableSettings()},
		e, nil, stubDocuments{}, discardMetrics{}, log)
	require.NoError(t, err)
	return s, e
}

// Guards against reporting an unreachable engine as a plain backend server, which accepts requests
// for any model.
func TestReportTellsEnginesFromPlain(t *testing.T) {
	s, e := newTestSidecar(t)
	ctx := context.Background()
	r := s.Report(ctx)
	require.False(t, r.GetPlain())
	require.Empty(t, r.GetModels())

	require.NoError(t, s.RefreshState(ctx))
	require.Equal(t, []string{"m"}, s.Report(ctx).GetModels())

	e.Crash()
	require.Error(t, s.RefreshState(ctx))
	r = s.Report(ctx)
	require.False(t, r.GetPlain())
	require.Empty(t, r.GetModels())

	plain, err := New(s.cfg, nil, backend.New(backend.Config{}), stubDocuments{}, discardMetrics{}, s.log)
	require.NoError(t, err)
	require.True(t, plain.Report(ctx).GetPlain())
}

// Guards against two faults: a replacement process refuses attempts permanently because the delayed
// instance list still marked the instance as leaving when it started, and a later update of the list
// cancels a shutdown or an operator's drain.
func TestListedLeavingEndsWithTheListing(t *testing.T) {
	s, _ := newTestSidecar(t)
	s.SetListedLeaving(true)
	require.True(t, s.Draining())
	require.True(t, s.Report(context.Background()).GetDraining())
	s.SetListedLeaving(false)
	require.False(t, s.Draining())

	s.StopAccepting()
	s.SetListedLeaving(true)
	s.SetListedLeaving(false)
	require.True(t, s.Draining())
	s.ResumeAccepting()
	require.False(t, s.Draining())
}
