package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/membership"
)

// fullSizeList returns an instance list of the target size: 640 sidecars of 8 services and 340 entries.
func fullSizeList() external.InstanceSnapshot {
	s := external.InstanceSnapshot{Version: 1}
	for i := range 640 {
		s.Instances = append(s.Instances, external.Instance{
			ID: fmt.Sprintf("worker-%d", i), Role: external.RoleSidecar, Service: fmt.Sprintf("model-%d", i%8),
			DataCentre: fmt.Sprintf("dc-%d", i%5), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), State: external.InstanceLive,
		})
	}
	for i := range 340 {
		s.Instances = append(s.Instances, external.Instance{
			ID: fmt.Sprintf("entry-%d", i), Role: external.RoleEntry,
			DataCentre: fmt.Sprintf("dc-%d", i%5), Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), State: external.InstanceLive,
		})
	}
	return s
}

func fullSizeView(b *testing.B) *membership.View {
	v, err := membership.NewView(membership.DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	require.NoError(b, err)
	require.True(b, v.ApplyList(time.Now(), fullSizeList()))
	return v
}

// BenchmarkSnapshot measures the read of the snapshot that each routing decision makes.
func BenchmarkSnapshot(b *testing.B) {
	v := fullSizeView(b)
	b.ReportAllocs()
	for b.Loop() {
		if len(v.Snapshot().Usable("model-3")) != 80 {
			b.Fatal("wrong number of usable members")
		}
	}
}

// BenchmarkObserve measures an answer that changes no published state, the usual outcome of an attempt.
func BenchmarkObserve(b *testing.B) {
	v := fullSizeView(b)
	e := membership.Evidence{ID: "worker-77", Address: "10.0.0.77:8000", Incarnation: "1", Kind: membership.Answered}
	b.ReportAllocs()
	for b.Loop() {
		now := time.Now()
		e.Started = now
		v.Observe(now, e)
	}
}

// BenchmarkApplyList measures merging a list in which one instance has changed.
func BenchmarkApplyList(b *testing.B) {
	v, s := fullSizeView(b), fullSizeList()
	b.ReportAllocs()
	for b.Loop() {
		s.Version++
		s.Instances[5].Address = fmt.Sprintf("10.2.0.%d:8000", s.Version%250)
		v.ApplyList(time.Now(), s)
	}
}
