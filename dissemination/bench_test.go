package dissemination

import "testing"

// BenchmarkSnapshot measures the look-up of a service's document that each request makes.
func BenchmarkSnapshot(b *testing.B) {
	s := NewStore()
	s.Offer(testDocument(1))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if s.Snapshot().Service(testService) == nil {
				b.Error("no active document")
			}
		}
	})
}

// BenchmarkObserve measures the cost per message of reporting a known revision.
func BenchmarkObserve(b *testing.B) {
	s := NewStore()
	s.Offer(testDocument(1))
	a := NewAgent(Config{Store: s})
	b.ReportAllocs()
	for b.Loop() {
		a.Observe(testService, 1)
	}
}
