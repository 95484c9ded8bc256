package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/internal/contain"
)

const (
	// probeTimeout limits the connection that tells a crash from a broken response. The host of a crashed
	// process refuses it at once.
	probeTimeout = 300 * time.Millisecond
	// crashCollectTime is how long broken requests and further crashes are collected after a crash. All
	// connections of a process end at the same moment, and so do all processes of a host or rack.
	crashCollectTime = 30 * time.Millisecond
	// crashMemory is how long a backend server that still accepts connections after a broken response may
	// turn out to have crashed: another request is refused there, or a second connection at the end.
	crashMemory = time.Second
	// maxBrokenServers and maxBrokenRequests limit what is kept until a crash is confirmed.
	maxBrokenServers  = 256
	maxBrokenRequests = 64
	// maxLoggedRequests limits the requests in one log line.
	maxLoggedRequests = 8
)

// brokenRequest is a request with a prompt whose response a backend server broke off.
type brokenRequest struct {
	id string
	// parts holds the names of the parts of the prompt, and shared the IDs of all but the last one.
	parts  []string
	shared []uint64
}

// brokenServer collects the broken requests of a backend server until it is known whether it crashed.
type brokenServer struct {
	server   *Server
	requests []brokenRequest
	// gone is closed once the backend server is known to have ended.
	gone     chan struct{}
	goneOnce sync.Once
}

// crashWatch tells backend servers that crash while they process prompts from those that only break off
// responses: a crashed process refuses connections. It is safe for concurrent use.
type crashWatch struct {
	probe func(ctx context.Context, addr string) error
	// onCrash is called with the backend servers that crashed together.
	onCrash func(crashed []*brokenServer)
	metrics Metrics
	guard   *contain.Guard
	logger  logrus.FieldLogger

	mu     sync.Mutex
	broken map[*serverState]*brokenServer
	// crashed holds the crashes that are being collected.
	crashed []*brokenServer
}

func newCrashWatch(probe func(context.Context, string) error, onCrash func([]*brokenServer), m Metrics, guard *contain.Guard, log logrus.FieldLogger) *crashWatch {
	return &crashWatch{probe: probe, onCrash: onCrash, metrics: m, guard: guard, logger: log, broken: make(map[*serverState]*brokenServer)}
}

// recordBroken records a broken response and finds out, after the end of ctx if need be, whether the backend
// server has crashed.
func (w *crashWatch) recordBroken(ctx context.Context, s *Server, r brokenRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.broken[s.state]
	if b == nil {
		if len(w.broken) >= maxBrokenServers {
			return
		}
		b = &brokenServer{server: s, gone: make(chan struct{})}
		w.broken[s.state] = b
		w.guard.Go("crash watch", func() { w.confirm(context.WithoutCancel(ctx), b) })
	}
	if len(b.requests) < maxBrokenRequests {
		b.requests = append(b.requests, r)
	}
}

// recordGone records that a backend server refuses connections, or that its address belongs to another one.
func (w *crashWatch) recordGone(s *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b := w.broken[s.state]; b != nil {
		b.goneOnce.Do(func() { close(b.gone) })
	}
}

// confirm waits until it is known whether a backend server has crashed.
func (w *crashWatch) confirm(ctx context.Context, b *brokenServer) {
	crashed := w.refusesConnections(ctx, b.server)
	if !crashed {
		select {
		case <-b.gone:
			crashed = true
		case <-time.After(crashMemory):
			crashed = w.refusesConnections(ctx, b.server)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !crashed {
		delete(w.broken, b.server.state)
		return
	}
	if len(w.crashed) == 0 {
		time.AfterFunc(crashCollectTime, w.guard.Func("crash watch", w.reportCrashes))
	}
	w.crashed = append(w.crashed, b)
}

// reportCrashes reports the crashes that were collected.
func (w *crashWatch) reportCrashes() {
	w.mu.Lock()
	crashed := w.crashed
	w.crashed = nil
	for _, b := range crashed {
		delete(w.broken, b.server.state)
	}
	w.mu.Unlock()
	for _, b := range crashed {
		w.log(b, len(crashed))
	}
	w.onCrash(crashed)
}

func (w *crashWatch) refusesConnections(ctx context.Context, s *Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(w.probe(ctx, s.Address), syscall.ECONNREFUSED)
}

// log logs one of a number of crashes at the same moment.
func (w *crashWatch) log(b *brokenServer, together int) {
	s, requests := b.server, b.requests
	w.metrics.Crash(s.Service)
	prompts := make(map[string][]string, min(len(requests), maxLoggedRequests))
	for _, r := range requests[:min(len(requests), maxLoggedRequests)] {
		prompts[r.id] = r.parts
	}
	w.logger.WithFields(logrus.Fields{
		"server": s.ID, "service": s.Service, "address": s.Address, "requests": len(requests), "prompts": prompts, "together": together,
	}).Warn("backend server crashed while it processed prompts")
}

// recordBroken records that the response to a request with a prompt was broken off.
func (q *request) recordBroken(s *Server) {
	if len(q.metadata.Parts) > 0 {
		q.g.crashes.recordBroken(q.ctx, s, brokenRequest{id: q.metadata.ID, parts: q.g.codec.PartNames(q.r), shared: q.sharedParts})
	}
}

// recordUnreachable records that a backend server cannot be reached, or has left its address.
func (q *request) recordUnreachable(s *Server, err error) {
	s.recordUnreachable(time.Now())
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		q.g.crashes.recordGone(s)
	}
}
