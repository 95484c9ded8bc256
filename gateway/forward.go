package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/quetzallug/quetzallug/route"
)

const (
	// maxSends bounds the backend servers that one request is offered to, refusals included.
	maxSends = 4
	// maxDials bounds the backend servers to which no connection could be made.
	maxDials = 5
	// leastTime is the least time left in which a request is worth sending.
	leastTime = 10 * time.Millisecond
	// maxAnswer bounds an answer that is read whole before it is passed on.
	maxAnswer = 16 << 20
	// minRetryAfter and maxRetryAfter bound what a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// startRetryAfter is told by a process that has just started.
	startRetryAfter = time.Second
	// releaseTimeout bounds the call that frees the memory of a prompt which was read in vain.
	releaseTimeout = time.Second
	// writeSlack is how long after the deadline of a request its caller may still take to read.
	writeSlack = 500 * time.Millisecond
)

// Outcomes of requests.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"  // the backend server's own failure, passed on
	outcomeRefused  = "refused" // did not run
	outcomeBroken   = "broken"  // may have run, no whole answer
	outcomeTimeout  = "timeout" // may have run, no answer in time
	outcomeGone     = "caller_gone"
	outcomeInvalid  = "invalid"
)

// result is how one attempt ended.
type result int

const (
	finished result = iota // the caller has its answer, or is gone
	notSent                // the backend server got nothing
	notRun                 // the backend server refused
	unknown                // may have run
	failed                 // ran and failed
)

// request is one caller's request in progress.
type request struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	started time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	route    *route.Route
	service  string
	call     Call
	keys     []uint64
	body     []byte

	tried []*live
	sends int
	// reads are the readings of the prompt that were asked of other backend servers.
	reads int
	// source is a prompt that was read and not fetched yet, at reader.
	source string
	reader *Server
	vain   []vain
	dials  int
	runs   int
	// failure is the backend server's own failure, passed on if nothing better comes.
	failure *answer
	// began is true once the caller has got the header of the answer.
	began     bool
	lastEvent string
	events    int
	first     time.Duration
	last      choice
	cause     string
	version   uint64
}

// answer is a whole answer of a backend server.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{g: g, w: w, r: r, started: time.Now()}
	table := g.tables.Table()
	if table == nil {
		q.refuse("no_configuration", startRetryAfter)
		return
	}
	q.version = table.Version
	q.route = table.Match(r.Host, r.URL.Path)
	if q.route == nil {
		g.metrics.Refusal("", "no_route")
		q.reply(http.StatusNotFound, outcomeInvalid, "no_route")
		return
	}
	q.call = g.codec.Call(r)
	q.service = q.route.Service(q.call.ID)
	q.deadline = q.started.Add(q.route.Timeout)
	if q.call.Remaining > 0 && q.call.Remaining < q.route.Timeout {
		q.deadline = q.started.Add(q.call.Remaining)
	}
	if !q.readBody(table.Limits.MaxBodyBytes) {
		return
	}
	if q.route.Prompt {
		q.keys = chain(q.call.Parts)
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	defer q.release(context.WithoutCancel(ctx))
	_ = http.NewResponseController(w).SetWriteDeadline(q.deadline.Add(writeSlack))
	g.budget(q.service).Fresh(q.started)
	q.serve()
}

// defaultMaxBody bounds a body if the configuration names no limit.
const defaultMaxBody = 8 << 20

// readBody reads the whole body, at most until the request's deadline.
func (q *request) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if q.r.ContentLength > limit {
		q.invalid(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if q.r.ContentLength == 0 {
		return true
	}
	conn := http.NewResponseController(q.w)
	_ = conn.SetReadDeadline(q.deadline)
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		q.invalid(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.invalid(http.StatusRequestTimeout, "body_too_slow")
		return false
	case err != nil:
		q.invalid(http.StatusBadRequest, "body_unreadable")
		return false
	}
	_ = conn.SetReadDeadline(time.Time{})
	q.body = body
	return true
}

// invalid answers a request that cannot be served as it is. Its connection ends, and its read deadline
// stays, because the rest of the body may be on its way.
func (q *request) invalid(status int, cause string) {
	q.w.Header().Set("Connection", "close")
	q.g.metrics.Refusal(q.service, cause)
	q.reply(status, outcomeInvalid, cause)
}

// serve sends the request until it is answered or must be given up.
func (q *request) serve() {
	for {
		now := time.Now()
		if callerLeft(q.r) {
			q.done(outcomeGone, "")
			return
		}
		if q.deadline.Sub(now) < leastTime {
			q.giveUp("deadline")
			return
		}
		if q.sends > 0 && !q.mayRepeat() {
			q.giveUp(q.cause)
			return
		}
		query := q.query()
		c := q.g.decider.choose(query, now)
		q.last = c
		if c.server == nil {
			q.giveUp(q.because(c.reason))
			return
		}
		if q.sends == 0 && !q.g.decider.admit(query, &c, now) {
			q.refuse("overload", q.g.decider.comeBack(q.deadline, now))
			return
		}
		if !q.pay(&c, now) {
			q.giveUp(q.because("budget"))
			return
		}
		switch res := q.attempt(&c, now); res {
		case finished:
			return
		case notSent:
			if q.dials++; q.dials >= maxDials {
				q.giveUp("unreachable")
				return
			}
		case notRun:
			q.sends++
		case unknown, failed:
			q.sends++
			q.runs++
		}
	}
}

// because joins the cause of the last attempt, if there was one, with the reason for giving up.
func (q *request) because(reason string) string {
	if q.cause == "" {
		return reason
	}
	return q.cause + "," + reason
}

func (q *request) query() *Query {
	out := &Query{Route: q.route, Service: q.service, Call: &q.call, Deadline: q.deadline, keys: q.keys, tried: q.tried}
	if q.source != "" {
		out.reader = q.reader
	}
	return out
}

// mayRepeat tells whether the request may be offered once more.
func (q *request) mayRepeat() bool {
	return q.sends < maxSends && q.runs < q.route.MaxAttempts && (q.runs == 0 || q.route.Repeatable)
}

// pay spends the retry budget on what the next attempt sends beyond the first run and the first
// reading of the prompt.
func (q *request) pay(c *choice, now time.Time) bool {
	b := q.g.budget(q.service)
	if c.reader != nil && q.reads > 0 && !b.Take(now) {
		return false
	}
	return q.sends == 0 || b.Take(now)
}

// attempt sends the request to the chosen backend servers.
func (q *request) attempt(c *choice, now time.Time) result {
	s := &Send{Server: c.server, Priority: q.route.Priority, After: q.after()}
	if c.reader != nil {
		q.reads++
		source, res, ok := q.prefill(c)
		if !ok {
			if res != finished {
				q.logAttempt(c, res, now)
			}
			return res
		}
		q.source, q.reader = source, c.reader
	}
	s.Source = q.source
	q.tried = append(q.tried, c.server.live)
	unread := c.unread
	if s.Source != "" {
		unread = 0
	}
	v := c.server.view(now)
	ahead, delay := v.pending, time.Duration(decodeDelay(c.server, v)*float64(time.Second))
	sentAt := time.Now()
	c.server.sent(unread, sentAt)
	q.g.decider.prefixes.note(q.keys, c.server.key, sentAt)
	o := &offer{q: q, s: c.server, send: s, unread: unread, ahead: ahead, sentAt: sentAt}
	if s.Source != "" {
		o.from, o.delay = q.reader, delay
	}
	res := o.account()
	q.g.metrics.Attempt(q.service, res.String())
	q.countPrompt(c)
	if res != finished {
		q.logAttempt(c, res, sentAt)
	}
	if res == unknown || res == failed {
		q.drop()
	}
	return res
}

// countPrompt counts where the tokens of the prompt came from, as far as the choice expected it.
func (q *request) countPrompt(c *choice) {
	if !q.route.Prompt {
		return
	}
	all := float64(q.call.PromptTokens)
	if c.reason == reasonRead {
		q.g.metrics.Prompt(q.service, PromptTokens{Moved: all})
		return
	}
	p := PromptTokens{Kept: max(0, all-c.unread), Read: min(all, c.unread)}
	if c.reader != nil {
		p.Moved = all
	}
	q.g.metrics.Prompt(q.service, p)
}

func (q *request) after() string {
	if q.lastEvent != "" {
		return q.lastEvent
	}
	return q.call.After
}

// giveUp ends a request that was not answered.
func (q *request) giveUp(cause string) {
	switch {
	case q.began:
		q.done(outcomeBroken, cause)
		// The connection is broken off, so that what was sent does not look complete.
		panic(http.ErrAbortHandler)
	case q.failure != nil:
		q.write(q.failure)
		q.done(outcomeFailed, cause)
	case q.runs == 0:
		q.refuse(cause, minRetryAfter)
	case !time.Now().Before(q.deadline.Add(-leastTime)):
		q.reply(http.StatusGatewayTimeout, outcomeTimeout, cause)
	default:
		q.reply(http.StatusBadGateway, outcomeBroken, cause)
	}
}

// refuse promises that the request did not run.
func (q *request) refuse(cause string, after time.Duration) {
	q.g.metrics.Refusal(q.service, cause)
	q.g.codec.Refusal(q.w.Header(), after)
	q.reply(http.StatusServiceUnavailable, outcomeRefused, cause)
}

func (q *request) reply(status int, outcome, cause string) {
	http.Error(q.w, cause, status)
	q.done(outcome, cause)
}

// write passes on a whole answer unchanged.
func (q *request) write(a *answer) {
	q.begin(a.status, a.header, len(a.body))
	_, _ = q.w.Write(a.body)
}

// begin sends the header of an answer. length is negative if it is not known.
func (q *request) begin(status int, received http.Header, length int) {
	q.began = true
	h := q.w.Header()
	for name, values := range q.g.codec.Answer(received) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	q.w.WriteHeader(status)
}

// logAttempt notes an attempt that did not answer the request. Answers are noted once, by done.
func (q *request) logAttempt(c *choice, res result, sentAt time.Time) {
	f := logrus.Fields{
		"request": q.call.ID, "route": q.route.Name, "service": q.service, "config": q.version, "attempt": q.sends + q.dials + 1,
		"result": res.String(), "cause": q.cause, "took_ms": time.Since(sentAt).Milliseconds(), "choice": c.reason,
		"events": q.events, "left_ms": time.Until(q.deadline).Milliseconds(), "budget_left": int(q.g.budget(q.service).Left(time.Now())),
	}
	if c.server != nil {
		f["server"] = c.server.ID
	}
	if c.reader != nil {
		f["reader"] = c.reader.ID
	}
	q.g.log.WithFields(f).Info("attempt")
}

// done counts and logs the end of a request.
func (q *request) done(outcome, cause string) {
	elapsed := time.Since(q.started)
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	kind := q.kind()
	q.g.metrics.Request(q.service, kind, outcome, elapsed)
	if q.first > 0 {
		q.g.metrics.FirstEvent(q.service, kind, q.first)
	}
	f := logrus.Fields{
		"request": q.call.ID, "route": name, "service": q.service, "config": q.version, "outcome": outcome,
		"elapsed_ms": elapsed.Milliseconds(), "first_ms": q.first.Milliseconds(), "sends": q.sends, "runs": q.runs,
		"expected_ms": q.last.first.Milliseconds(), "unread": int(q.last.unread), "choice": q.last.reason, "considered": q.last.considered,
	}
	if q.last.server != nil {
		f["server"] = q.last.server.ID
	}
	if q.last.reader != nil {
		f["reader"] = q.last.reader.ID
	}
	if cause != "" {
		f["cause"] = cause
	}
	if q.events > 0 {
		f["events"] = q.events
	}
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

func (r result) String() string {
	return [...]string{"answered", "not_sent", "not_run", "unknown", "failed"}[r]
}
