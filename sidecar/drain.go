package sidecar

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"
)

// errInterrupted is the cancellation cause of an interruptible attempt that a planned change ends.
var errInterrupted = errors.New("interrupted by a planned change")

// StopAccepting refuses new attempts until ResumeAccepting is called. It is used for a shutdown, for an
// operator's drain (the Drain RPC), and when another sidecar has claimed the engine. Attempts in flight
// continue.
func (s *Sidecar) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.leaving = true
		s.log.WithField("in_flight", len(s.inFlight)).Info("leaving: new attempts are refused until the process ends or the drain is undone")
	}
}

// ResumeAccepting reverses StopAccepting when an operator undoes a drain.
func (s *Sidecar) ResumeAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = false
}

// SetListedLeaving records whether the platform's instance list marks this instance as leaving. New attempts
// are refused while it does. The list is updated with a delay: a replacement process may start while
// the instance is still marked as leaving, and accepts attempts once the list is up to date.
func (s *Sidecar) SetListedLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listedLeaving != leaving {
		s.listedLeaving = leaving
		s.log.WithFields(logrus.Fields{"leaving": leaving, "in_flight": len(s.inFlight)}).Info("leaving state in the instance list changed")
	}
}

// BeginDrain refuses new attempts during a planned change, that is while an order is executed, and
// cancels the interruptible ones in flight. It implements order.Drainer. The Drain RPC calls StopAccepting
// instead.
func (s *Sidecar) BeginDrain(_ context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconfiguring = true
	for _, a := range s.inFlight {
		if a.interruptible {
			a.cancel(errInterrupted)
		}
	}
	return nil
}

// EndDrain accepts attempts again after a planned change.
func (s *Sidecar) EndDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reconfiguring = false
}

// Wait blocks until no attempt is in flight and returns nil, or returns the context's error.
func (s *Sidecar) Wait(ctx context.Context) error {
	for {
		s.mu.Lock()
		n, ended := len(s.inFlight), s.attemptEnded
		s.mu.Unlock()
		if n == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ended:
		}
	}
}

// InFlight returns the number of attempts in flight.
func (s *Sidecar) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.inFlight)
}

// Draining reports whether new attempts are refused with the reason "draining". Otherwise they may
// still be refused because MaxInFlight is reached.
func (s *Sidecar) Draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainingLocked()
}

// drainingLocked implements Draining. The caller must hold mu.
func (s *Sidecar) drainingLocked() bool { return s.leaving || s.listedLeaving || s.reconfiguring }
