package lease

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/cas"
	"github.com/quetzallug/quetzallug/internal/pause"
)

// Defaults of Config.
const (
	DefaultTTL = 10 * time.Second
	// DefaultSafetyMargin covers the difference between the clock rates of the holder and the
	// key-value service, and the time between a call of Valid and the action that it allows.
	DefaultSafetyMargin = time.Second
	DefaultMaxPools     = 2
	// DefaultPollSpacing is the mean time between two polls of a group of competitors.
	DefaultPollSpacing = 500 * time.Millisecond
)

const (
	minPollInterval = 2 * time.Second
	maxPollInterval = 30 * time.Second
	// keepAlivesPerTTL leaves time for two more attempts after a failed keep-alive.
	keepAlivesPerTTL = 3
	// keepAliveTimeoutDivisor is the ratio of the TTL to the timeout of a keep-alive.
	keepAliveTimeoutDivisor = 4
	// jitterFraction spreads periodic calls by up to this share of their interval on either side.
	jitterFraction = 0.2
	// defaultWakeSpread spreads the competitors that learn at once that a pool has lost its holder.
	defaultWakeSpread = 500 * time.Millisecond
	// keepAliveRetryDelay is the mean delay after a failed keep-alive.
	keepAliveRetryDelay = 500 * time.Millisecond
)

// Config configures a Manager.
type Config struct {
	// Holder identifies this process. It must differ between processes and between restarts.
	Holder string
	// Address, if not empty, is written to the holder records, so that other processes can reach the holder.
	Address string
	// Pools are the pools to compete for. PoolNames replaces them if it is set; it is read before
	// each poll.
	Pools        []string
	PoolNames    func() []string
	TTL          time.Duration
	SafetyMargin time.Duration
	// MaxPools bounds the number of pools that this process holds at once.
	MaxPools int
	// Share, if set, returns the number of pools that this process should hold at present; the
	// lower of it and MaxPools applies. It is read before each poll. A pool that is already held is
	// not given up when the number falls.
	Share       func() int
	PollSpacing time.Duration
	// Competitors returns the number of processes that compete for these pools; nil means 1.
	Competitors func() int
	// WakeSpread returns the delay between Wake and the next poll for a number in [0, 1). nil means a delay of up to
	// defaultWakeSpread.
	WakeSpread func(random float64) time.Duration
	// StillVacant reports after that delay whether to poll; nil means always. Another process may have got the pool.
	StillVacant func() bool
	// Epoch returns the epoch of the key-value service as this process counts it; nil means that there is one only. A grant
	// of an earlier epoch has ended.
	Epoch func() uint64
	// Era returns a number that rises with each epoch and is the same for all processes; nil means that it is 0.
	Era func() uint64
	// Random returns a number in [0, 1); nil means math/rand/v2.
	Random func() float64
	// OnAcquire is called for each new authority. It must not block.
	OnAcquire func(Authority)
	Log       logrus.FieldLogger
}

// Manager competes for the configured pools and keeps alive the leases that it holds.
type Manager struct {
	kv  external.KV
	cfg Config
	// wake holds an element after Wake.
	wake chan struct{}

	mu   sync.Mutex // guards held
	held map[string]Authority
}

// NewManager validates the configuration and fills in defaults.
func NewManager(kv external.KV, cfg Config) (*Manager, error) {
	if cfg.Holder == "" {
		return nil, fmt.Errorf("%w: holder is empty", ErrConfig)
	}
	for _, p := range cfg.Pools {
		if p == "" || strings.Contains(p, "/") {
			return nil, fmt.Errorf("%w: pool name %q is empty or contains a slash", ErrConfig, p)
		}
	}
	setDefault(&cfg.TTL, DefaultTTL)
	setDefault(&cfg.SafetyMargin, DefaultSafetyMargin)
	setDefault(&cfg.MaxPools, DefaultMaxPools)
	setDefault(&cfg.PollSpacing, DefaultPollSpacing)
	if cfg.SafetyMargin >= cfg.TTL/keepAlivesPerTTL {
		return nil, fmt.Errorf("%w: safety margin %v must be below a third of the TTL %v", ErrConfig, cfg.SafetyMargin, cfg.TTL)
	}
	if cfg.Epoch == nil {
		cfg.Epoch = func() uint64 { return 0 }
	}
	if cfg.Era == nil {
		cfg.Era = func() uint64 { return 0 }
	}
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	if cfg.WakeSpread == nil {
		cfg.WakeSpread = func(random float64) time.Duration { return time.Duration(random * float64(defaultWakeSpread)) }
	}
	if cfg.Competitors == nil {
		cfg.Competitors = func() int { return 1 }
	}
	if cfg.Log == nil {
		l := logrus.New()
		l.SetOutput(io.Discard)
		cfg.Log = l
	}
	return &Manager{kv: kv, cfg: cfg, wake: make(chan struct{}, 1), held: map[string]Authority{}}, nil
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// Run competes for the pools until ctx ends, then gives up all pools and returns.
func (m *Manager) Run(ctx context.Context) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	if !pause.For(ctx, time.Duration(m.cfg.Random()*float64(m.cfg.PollSpacing))) {
		return
	}
	for {
		for _, pool := range m.vacantPools(ctx) {
			a, s, err := m.acquire(ctx, pool)
			if err != nil {
				m.cfg.Log.WithField("pool", pool).WithError(err).Info("pool not acquired")
				continue
			}
			m.addHeld(a)
			sessions.Go(func() { m.runSession(ctx, a, s) })
		}
		if !m.waitForPoll(ctx) {
			return
		}
	}
}

// waitForPoll waits until the next poll, which comes early after Wake. It returns false if ctx ends first.
func (m *Manager) waitForPoll(ctx context.Context) bool {
	timer := time.NewTimer(m.jitter(m.pollInterval()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-m.wake:
		}
		if !pause.For(ctx, m.cfg.WakeSpread(m.cfg.Random())) {
			return false
		}
		if m.cfg.StillVacant == nil || m.cfg.StillVacant() {
			return true
		}
	}
}

// Wake makes the process compete soon, because it was told that a pool has lost its holder. It does not block.
func (m *Manager) Wake() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// HolderWatched tells the manager what a watch of the key-value service has of the holder of a pool; ok is false if it has none.
func (m *Manager) HolderWatched(pool string, r HolderRecord, ok bool) {
	m.mu.Lock()
	a, held := m.held[pool]
	m.mu.Unlock()
	if !held {
		return
	}
	if !ok {
		r.Session = ""
	}
	a.Watched(r.Session)
}

// Authority returns the valid authority over a pool, if this process has one.
func (m *Manager) Authority(pool string) (Authority, bool) {
	m.mu.Lock()
	a, ok := m.held[pool]
	m.mu.Unlock()
	return a, ok && a.Valid()
}

// Authorities returns all valid authorities in order of pool name.
func (m *Manager) Authorities() []Authority {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []Authority
	for _, a := range m.held {
		if a.Valid() {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b Authority) int { return strings.Compare(a.Pool, b.Pool) })
	return all
}

// vacantPools returns the pools without a holder that this process may acquire now.
func (m *Manager) vacantPools(ctx context.Context) []string {
	m.mu.Lock()
	capacity := m.maxPools() - len(m.held)
	held := make([]string, 0, len(m.held))
	for p := range m.held {
		held = append(held, p)
	}
	m.mu.Unlock()
	if capacity <= 0 || ctx.Err() != nil {
		return nil
	}
	states, err := readPools(ctx, m.kv, KeyPrefix)
	if err != nil {
		m.cfg.Log.WithError(err).Warn("cannot read pool states")
		return nil
	}
	var vacant []string
	for _, p := range m.poolNames() {
		if s := states[p]; !s.HasHolder && s.malformed == nil && !slices.Contains(held, p) {
			vacant = append(vacant, p)
		}
	}
	return vacant[:min(capacity, len(vacant))]
}

func (m *Manager) maxPools() int {
	if m.cfg.Share == nil {
		return m.cfg.MaxPools
	}
	return min(m.cfg.MaxPools, m.cfg.Share())
}

func (m *Manager) poolNames() []string {
	if m.cfg.PoolNames != nil {
		return m.cfg.PoolNames()
	}
	return m.cfg.Pools
}

func (m *Manager) addHeld(a Authority) {
	m.mu.Lock()
	m.held[a.Pool] = a
	m.mu.Unlock()
	m.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "fence": a.Fence}).Info("pool acquired")
	if m.cfg.OnAcquire != nil {
		m.cfg.OnAcquire(a)
	}
}

// runSession keeps a session alive until it is lost or ctx ends. The authority ends before the
// lease is revoked, so that the process does not act under it after the revocation.
func (m *Manager) runSession(ctx context.Context, a Authority, s session) {
	reason := m.keepAliveUntilEnd(ctx, a, s)
	a.end()
	m.mu.Lock()
	delete(m.held, a.Pool)
	m.mu.Unlock()
	m.cfg.Log.WithFields(logrus.Fields{"pool": a.Pool, "fence": a.Fence}).WithError(reason).Info("pool given up")
	m.revoke(ctx, s)
}

// keepAliveUntilEnd keeps the session alive until it is lost or ctx ends, and returns the reason,
// which is never nil.
func (m *Manager) keepAliveUntilEnd(ctx context.Context, a Authority, s session) error {
	interval := m.cfg.TTL / keepAlivesPerTTL
	wait := m.jitter(interval)
	for {
		if !pause.For(ctx, min(wait, a.remaining())) {
			return ctx.Err()
		}
		if !a.Valid() {
			return ErrAuthorityEnded
		}
		sent := now()
		err := m.sendKeepAlive(ctx, s)
		if errors.Is(err, external.ErrLeaseExpired) {
			return fmt.Errorf("%w: %w", ErrAuthorityEnded, err)
		}
		if err != nil {
			wait = m.jitter(keepAliveRetryDelay)
			continue
		}
		if !a.Extend(m.validUntil(sent)) {
			return ErrAuthorityEnded
		}
		wait = m.jitter(interval)
	}
}

func (m *Manager) sendKeepAlive(ctx context.Context, s session) error {
	// With a short TTL, the timeout leaves time for a second attempt before the authority ends.
	ctx, cancel := context.WithTimeout(ctx, min(cas.DefaultCallTimeout, m.cfg.TTL/keepAliveTimeoutDivisor))
	defer cancel()
	return m.kv.KeepAlive(ctx, s.lease)
}

func (m *Manager) pollInterval() time.Duration {
	d := time.Duration(m.cfg.Competitors()) * m.cfg.PollSpacing
	return max(minPollInterval, min(d, maxPollInterval))
}

func (m *Manager) jitter(d time.Duration) time.Duration {
	return d + time.Duration((2*m.cfg.Random()-1)*jitterFraction*float64(d))
}
