package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/upstream"
)

// logAttempt logs an attempt that did not answer the request. Successful attempts are logged by
// finish only.
func (q *request) logAttempt(c *choice, res attemptResult, sentAt time.Time) {
	f := logrus.Fields{
		"request": q.metadata.ID, "route": q.route.Name, "service": q.service, "config": q.configVersion, "attempt": q.sends + q.connectFailures + 1,
		"result": res.String(), "cause": q.cause, "took_ms": time.Since(sentAt).Milliseconds(), "choice": c.reason,
		"events": q.events, "left_ms": time.Until(q.deadline).Milliseconds(), "budget_left": int(q.g.retryBudget(q.service).Remaining(time.Now())),
	}
	if c.server != nil {
		f["server"] = c.server.ID
	}
	if c.prefillServer != nil {
		f["reader"] = c.prefillServer.ID
	}
	q.addServerFields(f, c.server)
	q.addStreamFields(f)
	if res == resultUnknown && len(q.metadata.Parts) > 0 {
		f["parts"] = q.g.codec.PartNames(q.r)
	}
	q.g.log.WithFields(f).Info("attempt")
}

// recordStatus keeps what the log tells of the last response.
func (q *request) recordStatus(resp *upstream.Response, m ResponseMetadata) {
	q.lastStatus, q.lastNotRun = resp.StatusCode, m.NotRun || m.AddressReused
}

// addServerFields adds the run and address of a backend server, the connection of the last send and the
// status of the last response.
func (q *request) addServerFields(f logrus.Fields, s *Server) {
	if s != nil {
		f["address"], f["born"] = s.Address, s.Born
	}
	if send := q.connections.Last(); send.Use > 0 {
		f["connection"], f["connection_use"] = send.Connection, send.Use
	}
	if q.lastStatus != 0 {
		f["status"], f["not_run"] = q.lastStatus, q.lastNotRun
	}
	if id := q.sequence.lastID; id != "" {
		f["last_event"] = id
	}
}

// addStreamFields adds how the last stream was framed and how many bytes followed its last event.
func (q *request) addStreamFields(f logrus.Fields) {
	if q.framing != "" {
		f["framing"], f["tail_bytes"] = q.framing, q.tailBytes
	}
}

// finish records and logs the end of a request.
func (q *request) finish(outcome, cause string) {
	elapsed := time.Since(q.started)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	kind := q.kind()
	q.recordDuration(outcome)
	q.g.metrics.Request(q.service, kind, outcome, elapsed)
	if q.timeToFirst > 0 {
		q.g.metrics.FirstEvent(q.service, kind, q.timeToFirst)
	}
	f := logrus.Fields{
		"request": q.metadata.ID, "route": name, "service": q.service, "config": q.configVersion, "outcome": outcome,
		"elapsed_ms": elapsed.Milliseconds(), "first_ms": q.timeToFirst.Milliseconds(), "sends": q.sends, "runs": q.runs,
		"expected_ms": q.lastChoice.timeToFirst.Milliseconds(), "wait_ms": q.lastChoice.wait.Milliseconds(), "unread": int(q.lastChoice.uncachedTokens), "prompt": q.metadata.PromptTokens, "choice": q.lastChoice.reason, "considered": q.lastChoice.considered,
	}
	if q.account != nil {
		f["account"] = q.account.Name
		q.g.accounts.record(q.account.Name, outcome, cause)
	}
	if q.lastChoice.server != nil {
		f["server"] = q.lastChoice.server.ID
	}
	if q.lastChoice.prefillServer != nil {
		f["reader"] = q.lastChoice.prefillServer.ID
		f["read_ms"] = q.prefillElapsed.Milliseconds()
	}
	if cause != "" {
		f["cause"] = cause
	}
	if q.events > 0 {
		f["events"] = q.events
	}
	if q.quarantinedPart != "" {
		f["part"] = q.quarantinedPart
	}
	q.addServerFields(f, q.lastChoice.server)
	q.addStreamFields(f)
	q.g.log.WithFields(f).Info("request")
}

// Kinds of requests.
const (
	kindUnknown    = "unknown" // no route
	kindOnce       = "once"    // must not be repeated
	kindRepeatable = "repeatable"
	kindStream     = "stream"
)

func (q *request) kind() string {
	switch {
	case q.route == nil:
		return kindUnknown
	case q.route.Stream:
		return kindStream
	case q.route.Repeatable:
		return kindRepeatable
	}
	return kindOnce
}
