package once_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/quetzallug/quetzallug/once"
	"github.com/quetzallug/quetzallug/standin/kv"
)

// BenchmarkCommit commits batches of claims to one shard, as its owner does under peak load, and reports
// the writes and the time per claim. The write rate is unlimited, so that the time does not include
// waiting for the rate limiter.
func BenchmarkCommit(b *testing.B) {
	for _, batch := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(batch), func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			store := kv.NewStore(kv.Limits{})
			settings := once.DefaultSettings()
			settings.Shards, settings.ClaimDelay, settings.WritesPerSecond = 1, time.Microsecond, 1e9
			c, err := once.NewCommitter(store, settings, log)
			require.NoError(b, err)
			b.ReportAllocs()
			claims := 0
			for b.Loop() {
				var g errgroup.Group
				for range batch {
					claims++
					key := fmt.Sprintf("key-%d", claims)
					g.Go(func() error {
						r := c.Do(b.Context(), once.Request{
							Service: "banco", Key: key, RequestID: "r-" + key, Action: once.ActionClaim, Fingerprint: 1,
						})
						if r.State != once.StateGranted {
							return fmt.Errorf("state %v: %w", r.State, r.Err)
						}
						return nil
					})
				}
				require.NoError(b, g.Wait())
			}
			b.ReportMetric(float64(store.Calls().Writes)/float64(claims), "writes/claim")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(claims), "us/claim")
		})
	}
}
