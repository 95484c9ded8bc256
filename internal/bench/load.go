package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMicros is the highest recorded latency; longer ones are recorded as this.
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	// significantFigures is the precision of the recorded latencies.
	significantFigures = 3
)

// Load is an open-loop load: requests are sent at times that do not depend on the answers.
type Load struct {
	// Rate is the mean number of requests per second; the intervals between them are exponentially
	// distributed.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Send sends the request with number n and reads its whole answer.
	Send func(ctx context.Context, n int) error
}

// LoadResult is the result of a load. Latencies are in microseconds, from the scheduled time of a
// request to the end of its answer; failed requests have none.
type LoadResult struct {
	Sent, Failed int64
	Latency      *hdrhistogram.Histogram
	// Elapsed is the time from the start of the load until the last request has ended.
	Elapsed time.Duration
	// LastError is the error of the failed request that ended last, nil if there are none.
	LastError error
}

// Run sends the requests and waits for all answers.
func (l Load) Run(ctx context.Context) LoadResult {
	rng := rand.New(rand.NewPCG(l.Seed, l.Seed)) //nolint:gosec // arrival times need no secrecy
	res := LoadResult{Latency: hdrhistogram.New(1, maxLatencyMicros, significantFigures)}
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		failed atomic.Int64
	)
	start := time.Now()
	for at := time.Duration(0); ; res.Sent++ {
		at += time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))
		if at > l.Duration || ctx.Err() != nil {
			break
		}
		due, n := start.Add(at), int(res.Sent)
		time.Sleep(time.Until(due))
		wg.Go(func() {
			err := l.Send(ctx, n)
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed.Add(1)
				res.LastError = err
				return
			}
			_ = res.Latency.RecordValue(min(maxLatencyMicros, max(1, took.Microseconds())))
		})
	}
	wg.Wait()
	res.Failed, res.Elapsed = failed.Load(), time.Since(start)
	return res
}
