package entry_test

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	v1 "github.com/quetzallug/quetzallug/gen/quetzallug/v1"
)

// waitingRequests is the number of requests that wait at the same time.
const waitingRequests = 10_000

// BenchmarkWaitingRequests measures the memory per request while requests wait for their first token.
// The scripted worker runs in the same process, so the figure includes its side of each HTTP/2 stream.
func BenchmarkWaitingRequests(b *testing.B) {
	for b.Loop() {
		var waiting, done sync.WaitGroup
		release := make(chan struct{})
		waiting.Add(waitingRequests)
		s := &scriptedWorker{scripts: []script{func(r *v1.ExecuteRequest, send func(*v1.Frame)) {
			waiting.Done()
			<-release
			completeAnswer(r, send)
		}}}
		h := newHandler(b, s)
		before := memoryInUse()
		for range waitingRequests {
			done.Go(func() {
				if status, body := request(h, "once", false); status != http.StatusOK {
					b.Errorf("status %d: %s", status, body)
				}
			})
		}
		waiting.Wait()
		b.ReportMetric(float64(memoryInUse()-before)/waitingRequests, "B/request")
		close(release)
		done.Wait()
	}
}

// memoryInUse returns the size of the live heap and of the goroutine stacks in bytes.
func memoryInUse() uint64 {
	runtime.GC()
	time.Sleep(10 * time.Millisecond)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
