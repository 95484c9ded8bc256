package order

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/lease"
)

// sidecarTimeout bounds one call to a sidecar. It exceeds cas.DefaultCallTimeout, because a sidecar
// reads the key-value service before it answers a seal.
const sidecarTimeout = 3 * time.Second

// Planner issues orders to the engines of the pools that this process holds.
type Planner struct {
	kv   external.KV
	dial func(pool, engine string) (Sidecar, error)
	log  logrus.FieldLogger

	mu           sync.Mutex        // guards sealedFences
	sealedFences map[string]uint64 // fence number of the last seal, by record key
}

// NewPlanner returns a planner. dial returns the sidecar of an engine. log may be nil.
func NewPlanner(kv external.KV, dial func(pool, engine string) (Sidecar, error), log logrus.FieldLogger) *Planner {
	if log == nil {
		log = discardLog()
	}
	return &Planner{kv: kv, dial: dial, log: log, sealedFences: map[string]uint64{}}
}

func discardLog() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// TakeOver seals an engine's sidecar under the authority's fence number and adopts the engine's record.
// An order that has not begun to execute is withdrawn. If the returned record is not settled, the
// sidecar is still executing the order, and Issue fails with ErrUnsettled until it has ended.
func (p *Planner) TakeOver(ctx context.Context, a lease.Authority, engine string) (Record, error) {
	if err := checkAuthority(a); err != nil {
		return Record{}, err
	}
	sealed, err := p.seal(ctx, a, engine)
	if err != nil {
		return Record{}, err
	}
	s := store{kv: p.kv, key: Key(a.Pool, engine)}
	v, err := p.adopt(ctx, a, s)
	if err != nil {
		return Record{}, err
	}
	if v.Incarnation != sealed.Incarnation {
		return Record{}, fmt.Errorf("engine %q: incarnation %d was sealed, %d is in force: %w", engine, sealed.Incarnation, v.Incarnation, ErrNotSealed)
	}
	p.mu.Lock()
	p.sealedFences[s.key] = a.Fence
	p.mu.Unlock()
	p.log.WithFields(logrus.Fields{"engine": engine, "fence": a.Fence, "order": v.Number, "phase": v.Phase}).Info("engine taken over")
	return v.Record, nil
}

func (p *Planner) seal(ctx context.Context, a lease.Authority, engine string) (SealResult, error) {
	sidecar, err := p.dial(a.Pool, engine)
	if err != nil {
		return SealResult{}, fmt.Errorf("seal engine %q: %w", engine, err)
	}
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	r, err := sidecar.Seal(ctx, SealRequest{Pool: a.Pool, Engine: engine, Fence: a.Fence, Holder: a.Holder})
	if err != nil {
		return r, fmt.Errorf("seal engine %q under fence %d: %w", engine, a.Fence, err)
	}
	if r.HighestFence != a.Fence {
		return r, fmt.Errorf("seal engine %q under fence %d, sidecar has %d: %w", engine, a.Fence, r.HighestFence, ErrNotSealed)
	}
	return r, nil
}

// maxAdoptAttempts bounds the retries when the sidecar advances the record at the same time.
const maxAdoptAttempts = 5

// adopt writes the record even if its order is settled, so that a write of an earlier planner that
// is still in flight fails because the version has changed.
func (p *Planner) adopt(ctx context.Context, a lease.Authority, s store) (versionedRecord, error) {
	for range maxAdoptAttempts {
		v, err := s.read(ctx)
		if err != nil {
			return v, err
		}
		n, err := s.write(ctx, v, Adopt{Fence: a.Fence}, func() error { return checkAuthority(a) })
		if !errors.Is(err, ErrConflict) {
			return n, err
		}
	}
	return versionedRecord{}, ErrConflict
}

// Issue records a new order for an engine and notifies its sidecar. If the notice is lost, the
// sidecar finds the order at its next periodic read of the record.
func (p *Planner) Issue(ctx context.Context, a lease.Authority, engine string, config external.EngineConfig) (Record, error) {
	if err := p.checkSealed(a, engine); err != nil {
		return Record{}, err
	}
	s := store{kv: p.kv, key: Key(a.Pool, engine)}
	v, err := s.read(ctx)
	if err != nil {
		return Record{}, err
	}
	return p.issue(ctx, a, engine, v, config)
}

// Reconcile issues the recorded configuration again if the engine is not in the recorded state. It
// returns the new record, or the one read if no order was issued, and whether one was. It also
// repeats the notice of an order that is still planned.
func (p *Planner) Reconcile(ctx context.Context, a lease.Authority, engine string) (Record, bool, error) {
	if err := p.checkSealed(a, engine); err != nil {
		return Record{}, false, err
	}
	s := store{kv: p.kv, key: Key(a.Pool, engine)}
	v, err := s.read(ctx)
	if err != nil {
		return v.Record, false, err
	}
	if v.Phase == PhasePlanned {
		if err := p.notify(ctx, a, engine, v.Record); err != nil {
			p.log.WithFields(logrus.Fields{"engine": engine, "order": v.Number}).WithError(err).Warn("notice not delivered")
		}
	}
	if !v.Unknown || !v.Phase.Settled() {
		return v.Record, false, nil
	}
	r, err := p.issue(ctx, a, engine, v, v.Config)
	return r, err == nil, err
}

// Read returns an engine's record.
func (p *Planner) Read(ctx context.Context, pool, engine string) (Record, error) {
	v, err := store{kv: p.kv, key: Key(pool, engine)}.read(ctx)
	return v.Record, err
}

// Records returns the records of a pool by engine name, in one call to the key-value service. A
// planner of many engines needs to call Reconcile only for those whose record is still planned or
// has Unknown set.
func (p *Planner) Records(ctx context.Context, pool string) (map[string]Record, error) {
	ctx, cancel := context.WithTimeout(ctx, cas.DefaultCallTimeout)
	defer cancel()
	prefix := Key(pool, "")
	entries, _, err := p.kv.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list %q: %w: %w", prefix, ErrStore, err)
	}
	records := make(map[string]Record, len(entries))
	for _, e := range entries {
		v, err := decode(e)
		if err != nil {
			// A malformed record must not prevent planning for the other engines.
			p.log.WithError(err).Error("malformed order record ignored")
			continue
		}
		records[strings.TrimPrefix(e.Key, prefix)] = v.Record
	}
	return records, nil
}

func (p *Planner) issue(ctx context.Context, a lease.Authority, engine string, v versionedRecord, config external.EngineConfig) (Record, error) {
	s := store{kv: p.kv, key: Key(a.Pool, engine)}
	n, err := s.write(ctx, v, Issue{Fence: a.Fence, Config: config}, func() error { return checkAuthority(a) })
	if err != nil {
		return Record{}, err
	}
	log := p.log.WithFields(logrus.Fields{"engine": engine, "fence": n.Fence, "order": n.Number, "role": config.Role})
	if err := p.notify(ctx, a, engine, n.Record); err != nil {
		log.WithError(err).Warn("order issued, notice not delivered")
	} else {
		log.Debug("order issued")
	}
	return n.Record, nil
}

func (p *Planner) notify(ctx context.Context, a lease.Authority, engine string, r Record) error {
	if err := checkAuthority(a); err != nil {
		return err
	}
	sidecar, err := p.dial(a.Pool, engine)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, sidecarTimeout)
	defer cancel()
	return sidecar.NotifyOrder(ctx, Notice{Pool: a.Pool, Engine: engine, Fence: r.Fence, Number: r.Number})
}

func (p *Planner) checkSealed(a lease.Authority, engine string) error {
	if err := checkAuthority(a); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sealedFences[Key(a.Pool, engine)] != a.Fence {
		return fmt.Errorf("engine %q, fence %d: %w", engine, a.Fence, ErrNotSealed)
	}
	return nil
}

func checkAuthority(a lease.Authority) error {
	if !a.Valid() {
		return fmt.Errorf("pool %q, fence %d: %w", a.Pool, a.Fence, ErrNoAuthority)
	}
	return nil
}
