package sidecar

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"
)

// errInterrupted is the cause of the cancellation of an interruptible attempt.
var errInterrupted = errors.New("interrupted by a planned change")

// Leave stops new work for good: the backend server or this process is leaving.
func (s *Sidecar) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.leaving = true
		s.log.WithField("in_flight", len(s.inFlight)).Info("leaving: no new work is accepted")
	}
}

// Stay takes back Leave after an operator's drain has been undone.
func (s *Sidecar) Stay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = false
}

// Listed follows the platform's list: new work is refused while the list gives this slot as
// leaving. The list lags, so a replacement may find the slot still listed as leaving when it
// starts; it takes work once the list has caught up.
func (s *Sidecar) Listed(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listed != leaving {
		s.listed = leaving
		s.log.WithFields(logrus.Fields{"leaving": leaving, "in_flight": len(s.inFlight)}).Info("the list's state of this slot changed")
	}
}

// BeginDrain stops new work for a planned change and interrupts the attempts that allow it.
func (s *Sidecar) BeginDrain(_ context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered = true
	for _, a := range s.inFlight {
		if a.interruptible {
			a.cancel(errInterrupted)
		}
	}
	return nil
}

// EndDrain accepts work again after a planned change.
func (s *Sidecar) EndDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ordered = false
}

// Wait returns when nothing is in flight, or with the context's error.
func (s *Sidecar) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		n, idle := len(s.inFlight), s.idle
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-idle:
		}
	}
}

// InFlight returns the number of attempts in flight.
func (s *Sidecar) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}

// Draining reports whether new work is refused.
func (s *Sidecar) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingLocked()
}

// drainingLocked reports whether new work is refused. The caller holds mu.
func (s *Sidecar) drainingLocked() bool { return s.leaving || s.listed || s.ordered }
