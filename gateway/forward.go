package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/quetzallug/quetzallug/account"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// maxServersTried limits the backend servers to which a request is sent, including those that
	// refuse it.
	maxServersTried = 4
	// maxConnectFailures limits the failed connection attempts per request.
	maxConnectFailures = 5
	// minTimeLeft is the shortest time before the deadline in which a request is still sent.
	minTimeLeft = 10 * time.Millisecond
	// maxResponseBody limits a response that is buffered before it is forwarded, in bytes.
	maxResponseBody = 16 << 20
	// maxErrorBody limits an error response, which is kept until no other attempt succeeds, in bytes.
	maxErrorBody = 64 << 10
	// minRetryAfter and maxRetryAfter limit the retry time told to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// startRetryAfter is the retry time while the process has no configuration yet.
	startRetryAfter = time.Second
	// releaseTimeout limits the call that releases an unused prefilled prompt.
	releaseTimeout = time.Second
	// bodyDiscardTime is how long the rest of a body is awaited for the reuse of a connection whose request was answered
	// without it.
	bodyDiscardTime = 500 * time.Millisecond
	// writeGrace is the time after the deadline within which the caller must have read the
	// response.
	writeGrace = 500 * time.Millisecond
)

// Outcomes of requests.
const (
	outcomeAnswered = "answered"
	outcomeFailed   = "failed"  // error response of the backend server, forwarded
	outcomeRefused  = "refused" // did not run
	outcomeBroken   = "broken"  // may have run, no complete response
	outcomeTimeout  = "timeout" // may have run, no response before the deadline
	outcomeGone     = "caller_gone"
	outcomeInvalid  = "invalid"
)

// attemptResult is the result of one attempt.
type attemptResult int

const (
	resultFinished attemptResult = iota // the caller has its response or has disconnected
	resultNotSent                       // nothing was sent to the backend server
	resultNotRun                        // the backend server refused the request
	resultUnknown                       // may have run
	resultFailed                        // ran and failed
)

// request is the state of one caller's request.
type request struct {
	g       *Gateway
	reply   reply
	r       *http.Request
	ctx     context.Context
	started time.Time
	// servedAt is when the whole request was read, and lastSentAt when it was last sent to a backend server, without
	// prefills. They are zero before that.
	servedAt, lastSentAt time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	route    *route.Route
	service  string
	// account is the client account that the request runs for; nil if there is none. key is the digest of its API
	// key, and hideKey whether the configuration has accounts, so that the key is kept from backend servers.
	account    *account.Account
	key        account.Digest
	hideKey    bool
	metadata   RequestMetadata
	prefixKeys []uint64
	// admittedWork is the work as which the request counts for its account since it was admitted.
	admittedWork float64
	// sharedParts holds the IDs of the prompt parts that other requests may share.
	sharedParts []uint64
	// isProbe is true if the request is the probe for a quarantined part. It is sent once.
	isProbe bool
	// quarantinedPart is the part for which the request was refused; empty if it was not.
	quarantinedPart string
	body            heldBody
	// bodyRead is true once the whole body was read.
	bodyRead bool

	tried []*serverState
	// connections records the connections that the request was sent on, also for prefills.
	connections upstream.Sends
	// lastStatus is the status of the last response of a backend server, and lastNotRun whether it stated
	// that the request did not run. They are zero if there was no response.
	lastStatus int
	lastNotRun bool
	// sends counts the earlier, unsuccessful attempts, except those that could not connect to a
	// backend server.
	sends int
	// prefills counts the prefills requested from other backend servers.
	prefills int
	// prefillSource is <address>/<handle> of a prompt that prefillServer has prefilled and that was
	// not fetched yet; empty if there is none.
	prefillSource  string
	prefillServer  *Server
	unusedPrefills []unusedPrefill
	// prefillRefusals counts the refusals of sends with the current prefillSource.
	prefillRefusals int
	// prefillLost is true once a prefilled prompt was gone. The prompt is then read by the backend server that generates.
	prefillLost     bool
	connectFailures int
	// runs counts the sends that may have run the request.
	runs int
	// serverError is a backend server's error response. It is forwarded if no other attempt
	// succeeds.
	serverError *response
	// sequence orders the events that are sent to the caller.
	sequence    eventSequence
	events      int
	timeToFirst time.Duration
	// framing is the framing of the last stream, and tailBytes the number of bytes after its last event.
	framing   string
	tailBytes int
	// prefillElapsed is how long the last successful prefill on another backend server took.
	prefillElapsed time.Duration
	lastChoice     choice
	// restsFor is how long until the first backend server takes requests again, if the request was given up
	// because all rest.
	restsFor time.Duration
	// cause is the cause of the last failed attempt.
	cause         string
	configVersion uint64
}

// response is a complete response of a backend server.
type response struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := &request{g: g, reply: reply{w: w}, r: r, started: time.Now()}
	q.handle(r.Context())
	q.reply.close()
}

// handle answers the request, unless the caller has disconnected or the response broke off.
func (q *request) handle(ctx context.Context) {
	g, r := q.g, q.r
	table := g.tables.Table()
	if table == nil {
		q.refuse("no_configuration", startRetryAfter)
		return
	}
	q.configVersion = table.Version
	q.route = table.Match(r.Host, r.URL.Path)
	if q.route == nil {
		g.metrics.Refusal("", "no_route")
		q.replyError(http.StatusNotFound, outcomeInvalid, "no_route")
		return
	}
	q.metadata = g.codec.RequestMetadata(r)
	if !q.authenticate(q.started) {
		return
	}
	q.sequence = newEventSequence(q.metadata.LastEventID)
	q.service = q.route.SelectService(q.metadata.ID)
	q.deadline = q.started.Add(q.route.Timeout)
	if q.metadata.Remaining > 0 && q.metadata.Remaining < q.route.Timeout {
		q.deadline = q.started.Add(q.metadata.Remaining)
	}
	if !q.fitsStop(false, q.started) {
		q.refuseStopping()
		return
	}
	if !g.memory.reserve(ctx, requestMemory, bodySize(r.ContentLength)) {
		q.refuseForMemory()
		return
	}
	defer g.memory.release(requestMemory)
	defer q.body.drop()
	if !q.readBody(ctx, table.Limits.MaxBodyBytes) {
		return
	}
	if q.route.DeclaresPrompt {
		q.prefixKeys = prefixKeys(q.metadata.Parts)
		q.sharedParts = sharedParts(q.metadata.Parts)
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	defer g.stop.whenEnded(cancel)()
	q.ctx, q.servedAt = ctx, time.Now()
	defer q.releasePrefills(context.WithoutCancel(ctx))
	_ = http.NewResponseController(q.reply.w).SetWriteDeadline(q.deadline.Add(writeGrace))
	g.retryBudget(q.service).RecordFirstAttempt(q.started)
	q.serve()
}

// defaultMaxBody limits request bodies if the configuration sets no limit, in bytes.
const defaultMaxBody = 8 << 20

// readBody reads the whole request body, at most until the deadline. It reports whether it
// succeeded; if not, the caller has been answered.
func (q *request) readBody(ctx context.Context, maxBytes int64) bool {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBody
	}
	if q.r.ContentLength > maxBytes {
		q.rejectInvalid(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if q.r.ContentLength == 0 {
		q.bodyRead = true
		return true
	}
	limit := q.limitBody(http.NewResponseController(q.reply.w))
	q.body.budget = q.g.memory
	err := q.body.read(ctx, http.MaxBytesReader(q.reply.w, q.r.Body, maxBytes), q.r.ContentLength)
	limit.end(err == nil)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		q.refuseForMemory()
		return false
	case errors.As(err, &large):
		q.rejectInvalid(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	case q.bodyTooLate(err):
		q.refuseStopping()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		q.rejectInvalid(http.StatusRequestTimeout, "body_too_slow")
		return false
	case err != nil || callerClosedWhileSending(q.r):
		q.rejectInvalid(http.StatusBadRequest, "body_unreadable")
		return false
	}
	q.bodyRead = true
	return true
}

// rejectInvalid answers a request that cannot be served. The connection is closed, because the rest of the body may
// still be in transit.
func (q *request) rejectInvalid(status int, cause string) {
	q.reply.w.Header().Set("Connection", "close")
	q.g.metrics.Refusal(q.service, cause)
	q.replyError(status, outcomeInvalid, cause)
}

// serve attempts the request until it is answered or has to be abandoned.
func (q *request) serve() {
	for {
		now := time.Now()
		if callerDisconnected(q.r) {
			q.finish(outcomeGone, "")
			return
		}
		if q.deadline.Sub(now) < minTimeLeft {
			q.giveUp("deadline")
			return
		}
		if err := q.renewAccount(now); err != nil {
			q.giveUpWithoutKey(err)
			return
		}
		if !q.fitsStop(q.sends > 0 || q.prefillSource != "", now) {
			q.giveUp(q.joinCause(errStopping.Error()))
			return
		}
		if q.sends > 0 && !q.mayRetry() {
			q.giveUp(q.cause)
			return
		}
		if !q.passesQuarantine(now) {
			return
		}
		q.dropGonePrefill(now)
		selection := q.selectionRequest()
		c := q.g.decider.choose(selection, now)
		q.lastChoice = c
		if c.server == nil {
			q.restsFor = c.restsFor
			q.giveUp(q.joinCause(c.reason))
			return
		}
		if q.sends == 0 {
			if refusal := q.g.decider.admit(selection, &c, now); refusal != "" {
				q.refuse(refusal, q.g.decider.retryAfter(q.deadline, now))
				return
			}
			q.admittedWork = selection.admittedWork
		}
		if !q.mayReadAgain(&c, now) {
			q.giveUp(q.joinCause(causeOverload))
			return
		}
		if !q.takeRetryBudget(&c, now) {
			q.giveUp(q.joinCause("budget"))
			return
		}
		switch res := q.attempt(&c, now); res {
		case resultFinished:
			return
		case resultNotSent:
			if q.connectFailures++; q.connectFailures >= maxConnectFailures {
				q.giveUp(q.cause)
				return
			}
		case resultNotRun:
			q.sends++
		case resultUnknown, resultFailed:
			q.sends++
			q.runs++
		}
	}
}

// joinCause prefixes the reason for giving up with the cause of the last failed attempt, if any.
func (q *request) joinCause(reason string) string {
	if q.cause == "" {
		return reason
	}
	return q.cause + "," + reason
}

func (q *request) selectionRequest() *SelectionRequest {
	out := &SelectionRequest{Route: q.route, Service: q.service, Metadata: &q.metadata, Deadline: q.deadline, Account: accountName(q.account), prefixKeys: q.prefixKeys, tried: q.tried, oneServer: q.isProbe, noTransfer: q.prefillLost}
	if q.prefillSource != "" {
		out.prefillServer = q.prefillServer
	}
	if t := q.g.tables.Table(); t != nil && t.Services[q.service] != nil && t.Services[q.service].Engine != nil {
		out.TokensPerEvent = t.Services[q.service].Engine.TokensPerEvent
	}
	return out
}

// mayRetry reports whether the request may be sent to another backend server.
func (q *request) mayRetry() bool {
	return !q.isProbe && q.sends < maxServersTried && q.runs < q.route.MaxAttempts && (q.runs == 0 || q.route.Repeatable)
}

// takeRetryBudget charges the retry budget for everything that the next attempt sends beyond the
// first send and the first prefill. It returns false if the budget is exhausted.
func (q *request) takeRetryBudget(c *choice, now time.Time) bool {
	budget := q.g.retryBudget(q.service)
	if c.prefillServer != nil && q.prefills > 0 && !budget.Take(now) {
		return false
	}
	return q.sends == 0 || budget.Take(now)
}

// attempt makes one attempt: it has the prompt prefilled, if the choice says so, and sends the
// request to the chosen backend server.
func (q *request) attempt(c *choice, now time.Time) attemptResult {
	s := q.forwarded(c.server)
	s.LastEventID = q.lastReceivedEventID()
	q.framing, q.tailBytes = "", 0
	if c.prefillServer != nil {
		q.prefills++
		source, res, ok := q.prefill(c)
		if !ok {
			if res != resultFinished {
				q.logAttempt(c, res, now)
			}
			return res
		}
		q.prefillSource, q.prefillServer, q.prefillRefusals = source, c.prefillServer, 0
		if q.g.quarantine.tracker.Check(q.sharedParts, time.Now()).Blocked {
			q.cause = causeQuarantined
			return resultNotRun
		}
	}
	s.PrefillSource = q.prefillSource
	q.tried = append(q.tried, c.server.state)
	uncachedTokens := c.uncachedTokens
	if s.PrefillSource != "" {
		uncachedTokens = 0
	}
	v := c.server.view(now)
	delay := time.Duration(decodeDelay(c.server, v) * float64(time.Second))
	sentAt := time.Now()
	q.lastSentAt = sentAt
	c.server.recordSent(uncachedTokens, sentAt)
	q.g.decider.prefixes.record(q.prefixKeys, c.server.key, sentAt)
	a := &attempt{q: q, server: c.server, forwarded: s, uncachedTokens: uncachedTokens, backlog: q.g.decider.Backlog(c.server, now), sentAt: sentAt}
	if s.PrefillSource != "" {
		a.transferFrom, a.expectedDelay = q.prefillServer, delay
	}
	res := a.sendAndRecord()
	q.g.metrics.Attempt(q.service, res.String())
	q.recordPromptTokens(c)
	if res != resultFinished {
		q.logAttempt(c, res, sentAt)
	}
	if res == resultUnknown || res == resultFailed {
		q.discardPrefill()
	}
	return res
}

// recordPromptTokens records the origin of the prompt's tokens as expected by the choice.
func (q *request) recordPromptTokens(c *choice) {
	if !q.route.DeclaresPrompt {
		return
	}
	total := float64(q.metadata.PromptTokens)
	if c.reason == reasonAlreadyPrefilled {
		q.g.metrics.PromptTokens(q.service, PromptTokens{Transferred: total})
		return
	}
	p := PromptTokens{Cached: max(0, total-c.uncachedTokens), Prefilled: min(total, c.uncachedTokens)}
	if c.prefillServer != nil {
		p.Transferred = total
	}
	q.g.metrics.PromptTokens(q.service, p)
}

// lastReceivedEventID returns the ID of the last event that the caller has received, or an empty
// string.
func (q *request) lastReceivedEventID() string {
	if q.sequence.lastID != "" {
		return q.sequence.lastID
	}
	return q.metadata.LastEventID
}

// giveUp ends a request that was not answered. A response that was started is aborted by reply.close.
func (q *request) giveUp(cause string) {
	switch {
	case q.reply.started:
		q.finish(outcomeBroken, cause)
	case q.serverError != nil:
		q.answer(q.serverError, outcomeFailed, cause)
	case q.runs == 0:
		q.refuse(cause, q.g.decider.retryAfterRest(q.restsFor))
	case !time.Now().Before(q.deadline.Add(-minTimeLeft)):
		q.replyError(http.StatusGatewayTimeout, outcomeTimeout, cause)
	default:
		q.replyError(http.StatusBadGateway, outcomeBroken, cause)
	}
}

// refuse tells the caller that the request did not run.
func (q *request) refuse(cause string, after time.Duration) {
	q.g.metrics.Refusal(q.service, cause)
	q.g.decider.shares.admit(q.service, -q.admittedWork, time.Now())
	q.g.codec.Refusal(q.reply.w.Header(), after)
	q.replyError(http.StatusServiceUnavailable, outcomeRefused, cause)
}

// replyError ends the request with a response of the gateway's own.
func (q *request) replyError(status int, outcome, cause string) {
	if !q.bodyRead {
		// net/http reads the rest of the body before the header of the response, or before it closes the connection.
		_ = http.NewResponseController(q.reply.w).SetReadDeadline(time.Now().Add(bodyDiscardTime))
	}
	q.closeWhileStopping()
	if !q.reply.error(status, cause) {
		outcome = outcomeBroken
	}
	q.finish(outcome, cause)
}

// answer ends the request with a whole response of a backend server.
func (q *request) answer(resp *response, outcome, cause string) {
	if !q.reply.whole(resp.status, q.g.codec.Answer(resp.header), resp.body) {
		outcome = outcomeBroken
	}
	q.finish(outcome, cause)
}

func (r attemptResult) String() string {
	return [...]string{"answered", "not_sent", "not_run", "unknown", "failed"}[r]
}
