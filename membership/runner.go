package membership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/external"
)

// ErrConnectionRefused means that nothing listens at the member's address.
var ErrConnectionRefused = errors.New("connection refused")

// ProbeResult is a member's answer to a probe.
type ProbeResult struct {
	Incarnation string
	Draining    bool
}

// Prober checks whether a member responds. Probe returns an error that wraps ErrConnectionRefused if
// nothing listens at the address; any other error counts as a timeout.
type Prober interface {
	Probe(ctx context.Context, m Member) (ProbeResult, error)
}

// Runner keeps a View up to date: it polls the instance list and probes members.
type Runner struct {
	view   *View
	list   external.InstanceList
	prober Prober
	log    logrus.FieldLogger
}

// NewRunner returns a Runner for the view.
func NewRunner(v *View, list external.InstanceList, p Prober, log logrus.FieldLogger) *Runner {
	return &Runner{view: v, list: list, prober: p, log: log}
}

// Run polls and probes until ctx is done, and returns after all probes have finished.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.pollLoop(ctx) })
	ticker := time.NewTicker(r.view.settings.ProbeTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		r.view.RemoveExpired(now)
		for _, m := range r.view.ProbesDue(now) {
			wg.Go(func() { r.probe(ctx, m) })
		}
	}
}

func (r *Runner) pollLoop(ctx context.Context) {
	for n := 0; ; n++ {
		r.Poll(ctx, n%r.view.settings.FullPollEvery == 0)
		t := time.NewTimer(r.view.jitter(r.view.settings.PollInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Poll reads the list once: the whole list if full is set, otherwise only if it has changed.
func (r *Runner) Poll(ctx context.Context, full bool) {
	ctx, cancel := context.WithTimeout(ctx, r.view.settings.PollTimeout)
	defer cancel()
	after := uint64(0)
	if !full && !r.view.ListUnconfirmed() {
		after = r.view.ListVersion()
	}
	s, err := r.list.Instances(ctx, after)
	switch {
	case err != nil:
		r.log.WithError(err).Info("instance list unreachable; keeping the last one")
	case s.Version == after && len(s.Instances) == 0:
		r.view.RecordListUnchanged()
	case !r.view.ApplyList(time.Now(), s):
		r.log.WithFields(logrus.Fields{"version": s.Version, "instances": len(s.Instances)}).
			Warn("instance list empty or older than the last one; not yet accepted")
	}
}

func (r *Runner) probe(ctx context.Context, m Member) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.view.settings.ResponseTimeout)
	defer cancel()
	res, err := r.prober.Probe(ctx, m)
	r.view.ObserveProbe(m, started, res, err)
}

// ObserveProbe applies the outcome of a probe. A probe that this process cancelled is ignored.
func (v *View) ObserveProbe(m Member, started time.Time, res ProbeResult, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	e := Evidence{ID: m.ID, Kind: Answered, Address: m.Address, Incarnation: res.Incarnation, Started: started}
	switch {
	case errors.Is(err, ErrConnectionRefused):
		e.Kind = ConnectionRefused
	case err != nil:
		e.Kind = TimedOut
	case res.Draining:
		e.Kind = Draining
	}
	v.Observe(time.Now(), e)
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (v *View) jitter(d time.Duration) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return d/2 + time.Duration(v.rng.Int64N(int64(d)))
}
