package usage

import (
	"context"
	"errors"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
)

const (
	// storeAfterWindow is how long after the end of a window, and storeAfterFailure for how long the holder has been out
	// of reach, when an instance writes its counts to the store. The second is longer than the time after which the store's
	// watch tells that a holder was killed, 2.5 s and 0.6 s, so that not all instances write when the lease changes hands.
	storeAfterWindow  = 2 * time.Second
	storeAfterFailure = 3200 * time.Millisecond
	// storedCountsTTL is the time to live of counts in the store.
	storedCountsTTL = 30 * time.Second
	// maxStoredValue limits the value of one instance's counts in the store, in bytes.
	maxStoredValue = 256 << 10
)

// storeJob asks for the final counts of windows up to one to be written to the store.
type storeJob struct {
	final int64
	now   time.Time
}

// storeIfDue has the final counts written to the store if the holder has been out of reach for long enough.
func (s *Sender) storeIfDue(final int64, now time.Time) {
	if s.storing.Load() {
		return
	}
	failing := s.failing()
	oldest := max(s.storedThrough, s.finalSent) + 1
	if _, _, ok := s.target(); !ok || failing.IsZero() || oldest > final {
		return
	}
	if now.Sub(failing) >= storeAfterFailure && now.Sub(s.cfg.Windows.End(oldest)) >= storeAfterWindow {
		s.storing.Store(true)
		s.storeJobs <- storeJob{final, now}
	}
}

// RunStore writes counts to the store until the context ends. The store may be slow, and the holder in reach again
// meanwhile, so that Run does not wait for it.
func (s *Sender) RunStore(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case job := <-s.storeJobs:
			s.runStoreJob(ctx, job)
		}
	}
}

func (s *Sender) runStoreJob(ctx context.Context, job storeJob) {
	defer s.storing.Store(false)
	s.store(ctx, job.final, job.now)
}

// store writes the final counts that are still due to the store, where the holder gets them through its watch.
func (s *Sender) store(ctx context.Context, final int64, now time.Time) {
	log := s.cfg.Log.WithField("window", final)
	oldest := s.cfg.Windows.At(now.Add(-s.cfg.Windows.Late)) - 1
	m := s.message()
	m.FinalThrough, m.Windows = final, s.cfg.Counter.Since(oldest)
	id := cas.NewID()
	value := mustEncode(struct {
		*Message
		WriteID string `json:"write_id"`
	}{m, id})
	if len(value) > maxStoredValue {
		log.WithField("bytes", len(value)).Error("usage counts not written to the store: too large")
		s.storedThrough = final
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, cas.DefaultCallTimeout)
	defer cancel()
	id2, err := s.cfg.KV.GrantLease(callCtx, storedCountsTTL)
	if err != nil {
		log.WithError(err).Warn("usage counts not written to the store")
		return
	}
	key := CountsPrefix + s.cfg.Instance
	version, err := cas.Swap(ctx, s.cfg.KV, cas.Write{Key: key, Expected: s.version, Value: value, Lease: id2, ID: id})
	if errors.Is(err, external.ErrConflict) {
		// The earlier value has expired, or is one of an earlier run of this instance.
		s.version = 0
		if e, getErr := cas.Get(ctx, s.cfg.KV, key, 0); getErr == nil {
			s.version = e.Version
		}
	}
	if err != nil {
		log.WithError(err).Warn("usage counts not written to the store")
		return
	}
	s.version, s.storedThrough = version, final
	log.WithField("bytes", len(value)).Info("usage counts written to the store because the holder cannot be reached")
}
