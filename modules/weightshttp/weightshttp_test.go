package weightshttp_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/weightshttp"
	"github.com/quetzallug/quetzallug/standin/weights"
)

// Concurrent calls must share the rate of the stand-in store.
func TestRateIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := weights.New(1000)
		start := time.Now()
		done := make(chan error, 2)
		for range 2 {
			go func() { done <- s.Acquire(t.Context(), "m", 5000) }()
		}
		require.NoError(t, <-done)
		require.InDelta(t, 10, time.Since(start).Seconds(), 0.2)
		require.NoError(t, <-done)
		require.InDelta(t, 10, time.Since(start).Seconds(), 0.2)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, s.Acquire(ctx, "m", 5000), context.DeadlineExceeded)
	})
}

// An error response of the store must be returned as an error. An address that is not a URL must be
// rejected when the module is loaded.
func TestAcquireOverHTTP(t *testing.T) {
	s := weights.New(1 << 30)
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	c, err := kernel.Load[external.WeightStore](t.Context(), weightshttp.ID, kernel.Settings{"address": srv.URL})
	require.NoError(t, err)
	defer func() { _ = kernel.Cleanup(c) }()
	require.NoError(t, c.Acquire(t.Context(), "m", 1<<20))
	require.Equal(t, map[string]int64{"m": 1 << 20}, s.Granted())
	require.Error(t, c.Acquire(t.Context(), "m", -1))
	_, err = kernel.Load[external.WeightStore](t.Context(), weightshttp.ID, kernel.Settings{"address": "localhost"})
	require.ErrorContains(t, err, "not an http or https URL")
}
