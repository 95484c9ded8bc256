package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
)

// maxFenceAttempts bounds the compare-and-swap loop on the fence. Only a session that has created
// the holder key increments the fence, so conflicts are rare.
const maxFenceAttempts = 4

// acquire grants a lease, creates the holder key and increments the fence. On failure it revokes
// the lease, so that an abandoned holder key does not block the pool for the rest of its TTL.
func (m *Manager) acquire(ctx context.Context, pool string) (Authority, session, error) {
	s := session{pool: pool, id: cas.NewID(), grantSent: now(), epoch: m.cfg.Epoch()}
	var err error
	if s.lease, err = m.grant(ctx); err != nil {
		return Authority{}, s, err
	}
	if err := m.createHolder(ctx, s); err != nil {
		m.revoke(ctx, s)
		return Authority{}, s, err
	}
	fence, err := m.incrementFence(ctx, s)
	if err != nil {
		m.revoke(ctx, s)
		return Authority{}, s, err
	}
	a := NewAuthority(pool, m.cfg.Holder, fence, m.validUntil(s.grantSent)).ForSession(s.id)
	a.EndWith(func() (uint64, bool) { return m.cfg.Era(), m.cfg.Epoch() != s.epoch })
	if !a.Valid() {
		m.revoke(ctx, s)
		return Authority{}, s, fmt.Errorf("acquire pool %q: %w", pool, ErrAuthorityEnded)
	}
	return a, s, nil
}

// validUntil returns the time until which a lease is safely held if its grant or last successful
// keep-alive was sent at the given time.
func (m *Manager) validUntil(sent time.Time) time.Time {
	return sent.Add(m.cfg.TTL - m.cfg.SafetyMargin)
}

// grant requests a new lease and returns its ID. It does not retry: if the response is lost, the granted lease expires because nobody renews
// it.
func (m *Manager) grant(ctx context.Context) (external.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, cas.DefaultCallTimeout)
	defer cancel()
	id, err := m.kv.GrantLease(ctx, m.cfg.TTL)
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w: %w", ErrUnavailable, err)
	}
	return id, nil
}

func (m *Manager) createHolder(ctx context.Context, s session) error {
	_, err := cas.Swap(ctx, m.kv, cas.Write{
		Key:   HolderKey(s.pool),
		Value: mustEncode(HolderRecord{Holder: m.cfg.Holder, Session: s.id, Address: m.cfg.Address}),
		Lease: s.lease,
		ID:    s.id,
		Check: m.checkUnexpired(s),
	})
	return toPackageError("create holder of pool "+s.pool, err)
}

// incrementFence increments the fence by one and returns the new number. The session's validity is
// checked between the read and each write. While it is valid, no other session can begin to
// increment the fence, so a process that was paused past its TTL cannot increment the fence of a
// new holder. A delayed write of an earlier session may still arrive after the read. The write then
// conflicts, and the fence is read again.
func (m *Manager) incrementFence(ctx context.Context, s session) (uint64, error) {
	for range maxFenceAttempts {
		state, err := ReadPool(ctx, m.kv, s.pool)
		if err != nil {
			return 0, err
		}
		r := FenceRecord{Fence: max(state.FenceRecord.Fence, firstFence(m.cfg.Era())) + 1, Holder: m.cfg.Holder, Session: s.id, WriteID: cas.NewID()}
		version, err := cas.Swap(ctx, m.kv, cas.Write{
			Key: FenceKey(s.pool), Expected: state.fenceVersion, Value: mustEncode(r), ID: r.WriteID,
			Check: m.checkUnexpired(s),
		})
		if err == nil && external.EpochOf(version) != s.epoch {
			return 0, fmt.Errorf("increment fence of pool %q: %w", s.pool, ErrAuthorityEnded)
		}
		if err == nil {
			return r.Fence, nil
		}
		if !errors.Is(err, external.ErrConflict) {
			return 0, toPackageError("increment fence of pool "+s.pool, err)
		}
	}
	return 0, fmt.Errorf("increment fence of pool %q: %w", s.pool, ErrHeld)
}

// fencesPerEra is more than the grants of a pool in one era of the key-value service, and maxFencedEra the last one whose
// fences are whole numbers in JSON.
const (
	fencesPerEra = 1 << 32
	maxFencedEra = 1<<(53-32) - 1
)

// firstFence returns the number from which fences of an era are counted. The fence record may have been lost with grants of
// earlier eras, whose numbers must not come again.
func firstFence(era uint64) uint64 { return min(era, maxFencedEra) * fencesPerEra }

// checkUnexpired returns the validity check of a session that has no authority yet.
func (m *Manager) checkUnexpired(s session) func() error {
	return func() error {
		if now().Before(m.validUntil(s.grantSent)) && m.cfg.Epoch() == s.epoch {
			return nil
		}
		return ErrAuthorityEnded
	}
}

func (m *Manager) revoke(ctx context.Context, s session) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cas.DefaultCallTimeout)
	defer cancel()
	if err := m.kv.RevokeLease(ctx, s.lease); err != nil {
		m.cfg.Log.WithField("pool", s.pool).WithError(err).Warn("lease not revoked; it will expire")
	}
}

// toPackageError converts an error of the key-value service to one of this package, prefixed with
// the operation; nil stays nil.
func toPackageError(operation string, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, external.ErrConflict):
		return fmt.Errorf("%s: %w", operation, ErrHeld)
	case errors.Is(err, external.ErrLeaseExpired), errors.Is(err, ErrAuthorityEnded):
		return fmt.Errorf("%s: %w", operation, ErrAuthorityEnded)
	}
	return fmt.Errorf("%s: %w: %w", operation, ErrUnavailable, err)
}
