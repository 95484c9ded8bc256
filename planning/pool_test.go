package planning

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
	"github.com/quetzallug/quetzallug/order"
	"github.com/quetzallug/quetzallug/placement"
)

// Guards against reading the records of an unchanged pool in every round, and against using old
// records although an engine, its sidecar or the loop has changed something.
func TestRecordsAreReadWhenTheyMayHaveChanged(t *testing.T) {
	for name, change := range map[string]func(p *pool, e *engine){
		"sidecar started again": func(_ *pool, e *engine) { e.report = &v1.LoadReport{Incarnation: "2", Models: []string{"m"}} },
		"sidecar unreachable":   func(_ *pool, e *engine) { e.reachable = false },
		"engine lost its model": func(_ *pool, e *engine) { e.report = &v1.LoadReport{Incarnation: "1"} },
		"engine drains": func(_ *pool, e *engine) {
			e.report = &v1.LoadReport{Incarnation: "1", Models: []string{"m"}, Draining: true}
		},
		"order written": func(p *pool, e *engine) { p.setRecord(e, e.record) },
		"not owned":     func(_ *pool, e *engine) { e.owned = false },
		"unknown state": func(_ *pool, e *engine) { e.record.Unknown = true },
		"engine added":  func(p *pool, _ *engine) { p.engines = append(p.engines, &engine{id: "e1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, e := unchangedPool()
				require.True(t, p.recordsDue(time.Now()), "the first probe counts as a change")
				time.Sleep(recordWatchTime)
				p.recordsReadAt = time.Now()
				require.False(t, p.recordsDue(time.Now()))
				change(p, e)
				require.True(t, p.recordsDue(time.Now()))
				p.recordsReadAt = time.Now()
				time.Sleep(recordWatchTime - time.Second)
				require.True(t, p.recordsDue(time.Now()), "the sidecar may still write")
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		p, _ := unchangedPool()
		p.recordsDue(time.Now())
		p.recordsReadAt = time.Now()
		time.Sleep(recordReadInterval)
		require.True(t, p.recordsDue(time.Now()))
	})
}

func unchangedPool() (*pool, *engine) {
	e := &engine{
		id: "e0", owned: true, reachable: true, hasRecord: true,
		record: order.Record{Number: 1, Phase: order.PhaseDone, Config: external.EngineConfig{
			Models: []external.ModelVersion{{Name: "m"}},
		}},
		report: &v1.LoadReport{Incarnation: "1", Models: []string{"m"}},
	}
	return &pool{engines: []*engine{e}, records: map[string]order.Record{"e0": e.record}}, e
}

// Guards against a placement planner that sees only admitted work: a part of the pool with too few
// engines would look sufficient, because the requests it cannot serve are refused.
func TestRefusedWorkIsOffered(t *testing.T) {
	p := &pool{offered: map[string]placement.KindWork{"chat": {Requests: 10, PromptTokens: 100, OutputTokens: 2000}}}
	p.countRefused(map[string]placement.KindWork{
		"chat":    {Requests: 3, PromptTokens: 30, OutputTokens: 3000},
		"verdict": {Requests: 2, PromptTokens: 8000, OutputTokens: 40},
	}, 4, 2)
	require.Equal(t, map[string]placement.KindWork{
		"chat":    {Requests: 16, PromptTokens: 160, OutputTokens: 3200},
		"verdict": {Requests: 4, PromptTokens: 16000, OutputTokens: 80},
	}, p.offered)
	p.offered = map[string]placement.KindWork{}
	p.countRefused(p.lastRefused, 4, 2)
	for kind, w := range p.offered {
		require.Zero(t, w.Requests, kind)
	}
}
