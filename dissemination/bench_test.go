package dissemination

import "testing"

// BenchmarkSnapshot measures what each request pays to find its service's document.
func BenchmarkSnapshot(b *testing.B) {
	s := NewStore()
	s.Offer(testDocument(1))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if s.Snapshot().Service(testService) == nil {
				b.Error("no document")
			}
		}
	})
}

// BenchmarkObserve measures what each message that carries a known revision pays.
func BenchmarkObserve(b *testing.B) {
	s := NewStore()
	s.Offer(testDocument(1))
	a := NewAgent(Config{Store: s})
	b.ReportAllocs()
	for b.Loop() {
		a.Observe(testService, 1)
	}
}
