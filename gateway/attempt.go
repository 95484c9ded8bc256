package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/upstream"
)

// attempt is one request sent to one backend server.
type attempt struct {
	q              *request
	server         *Server
	forwarded      *ForwardedRequest
	uncachedTokens float64
	backlog        Backlog
	sentAt         time.Time
	// limit is when the time has passed that the backend server was given.
	limit           time.Time
	pendingReleased bool
	// runRecorded is true once the run of a stream was recorded for the client account.
	runRecorded bool
	// settleRun records whether a request that is no stream began to run.
	settleRun func(began bool)
	// transferFrom has prefilled the prompt, which is transferred to server; nil if there is no
	// transfer, or after it was recorded.
	transferFrom *Server
	// expectedDelay is the expected delay of the first event from causes other than the transfer.
	expectedDelay time.Duration
}

// sendAndRecord sends the request, handles the response and records the end of the attempt.
func (a *attempt) sendAndRecord() attemptResult {
	defer a.server.recordEnded()
	defer a.releasePendingTokens()
	res := a.sendAndHandle()
	if now := time.Now(); a.transferFrom != nil && res != resultNotRun && res != resultNotSent {
		recordAbandonedTransfer(a.transferFrom, a.server, a.excessTransferTime(now), a.sentAt, now)
	}
	return res
}

// recordStreamBegan records for the client account that a stream began to run. Only the first call has an effect.
func (a *attempt) recordStreamBegan(at time.Time) {
	if u := a.q.g.cfg.Usage; u != nil && a.q.account != nil && !a.runRecorded {
		a.runRecorded = true
		u.RunBegan(a.q.account.Name, at)
	}
}

// recordSent records for the client account that the request is sent. A stream begins to run with its first event, any
// other request when it arrives.
func (a *attempt) recordSent() {
	a.settleRun = func(bool) {}
	if u := a.q.g.cfg.Usage; u != nil && a.q.account != nil && !a.q.route.Stream {
		a.settleRun = u.RunSent(a.q.account.Name, a.sentAt)
	}
}

// recordTransfer records how much longer than expected the prompt transfer took, for both of its
// backend servers. Only the first call has an effect.
func (a *attempt) recordTransfer(now time.Time) {
	if a.transferFrom == nil {
		return
	}
	extra := a.excessTransferTime(now)
	a.transferFrom.recordTransfer(extra, now)
	a.server.recordTransfer(extra, now)
	a.transferFrom = nil
}

// excessTransferTime returns how much later than expected the first event arrives.
func (a *attempt) excessTransferTime(now time.Time) time.Duration {
	return now.Sub(a.sentAt) - transferTime - a.expectedDelay
}

// releasePendingTokens subtracts the attempt's tokens from the pending ones of the backend server,
// whether they were prefilled or not. Only the first call has an effect.
func (a *attempt) releasePendingTokens() {
	if !a.pendingReleased {
		a.pendingReleased = true
		a.server.subtractPendingTokens(a.uncachedTokens)
	}
}

// sendAndHandle sends the request and handles the response, which it forwards unless the attempt has
// failed.
func (a *attempt) sendAndHandle() attemptResult {
	// Its answer may have to wait, which keeps the connection to the backend server from others.
	a.q.g.memory.garbage.wait()
	a.recordSent()
	resp, m, res := a.roundTrip()
	if resp == nil {
		return res
	}
	defer resp.Close(a.q.g.pool)
	a.settleRun(!m.NotRun && !m.AddressReused)
	switch {
	case m.NotRun || m.AddressReused:
		return a.handleRefusal(resp, m)
	case resp.StatusCode/100 == 2:
		if !m.FromServer || resp.Header.Get("Content-Encoding") != "" {
			return a.failUnknown("not_a_servers_answer")
		}
		// The backend server has fetched the prefilled prompt, so its source is used up.
		if a.q.prefillSource != "" {
			a.q.prefillServer.recordFetched()
		}
		a.q.prefillSource = ""
		if a.q.route.Stream {
			return a.relayStream(resp)
		}
		return a.forwardWhole(resp)
	default:
		return a.handleErrorStatus(resp, m)
	}
}

// roundTrip sends the request and waits for the response header. If the response is nil, the attempt
// has ended with the returned result; otherwise the result is meaningless.
func (a *attempt) roundTrip() (*upstream.Response, ResponseMetadata, attemptResult) {
	q := a.q
	// The time is sent in whole milliseconds, so that the backend server stops before the deadline.
	now := time.Now()
	a.forwarded.Remaining = q.deadline.Sub(now).Truncate(time.Millisecond)
	a.limit = now.Add(a.forwarded.Remaining)
	q.lastStatus, q.lastNotRun = 0, false
	codec := q.g.codec
	resp, err := q.g.pool.Do(q.ctx, a.server.Address, &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: codec.Header(q.r.Header, a.forwarded), Body: q.body.bytes, Sends: &q.connections, NewConnection: q.metadata.ID == "", Memory: q.g.memory, Check: q.checkSend(a.server, true),
	}, q.isResponseToRequest)
	now = time.Now()
	if err != nil {
		// If it was sent, the backend server has most probably run the request; only its response is missing.
		a.settleRun(!errors.Is(err, upstream.ErrNotSent) && !isHeld(err))
	}
	switch {
	case err == nil:
		m := codec.ResponseMetadata(resp.StatusCode, resp.Header)
		discardUnidentified(resp, m)
		q.observe(a.server, resp, m)
		q.g.decider.RecordActivity(a.server, m.Load, now)
		return resp, m, resultFinished
	case q.r.Context().Err() != nil:
		q.finish(outcomeGone, "")
		return nil, ResponseMetadata{}, resultFinished
	case isHeld(err):
		q.cause = heldCause(err)
		return nil, ResponseMetadata{}, resultNotSent
	case errors.Is(err, upstream.ErrNotSent):
		q.recordUnreachable(a.server, err)
		q.cause = "unreachable"
		if q.ctx.Err() != nil {
			return nil, ResponseMetadata{}, resultNotRun
		}
		return nil, ResponseMetadata{}, resultNotSent
	case q.g.stop.ended.Err() != nil:
		q.cause = errStopping.Error()
		return nil, ResponseMetadata{}, resultUnknown
	case q.ctx.Err() != nil:
		a.server.recordResult(0.5, now)
		q.cause = "deadline"
		return nil, ResponseMetadata{}, resultUnknown
	default:
		q.recordBroken(a.server)
		return nil, ResponseMetadata{}, a.failUnknown(err.Error())
	}
}

// isResponseToRequest reports whether a response belongs to this request. A response without an ID is accepted
// only as the first one on its connection: any other may be a late copy of an earlier one, and one that says
// "not run" would let a request that runs be sent again.
func (q *request) isResponseToRequest(resp *http.Response, first bool) bool {
	m := q.g.codec.ResponseMetadata(resp.StatusCode, resp.Header)
	if m.ID == "" {
		return first
	}
	return m.ID == q.metadata.ID
}

// discardUnidentified ends the use of a connection after a response without an ID, because a second copy of it
// may arrive late.
func discardUnidentified(resp *upstream.Response, m ResponseMetadata) {
	if m.ID == "" {
		resp.DiscardConnection()
	}
}

// isControlResponse reports whether a response can belong to a call that carries no request of a caller. Such
// calls have connections of their own.
func isControlResponse(c Codec) upstream.ResponseMatcher {
	return func(resp *http.Response, first bool) bool {
		return first && c.ResponseMetadata(resp.StatusCode, resp.Header).ID == ""
	}
}

// failUnknown records a failure of the backend server and its cause. It returns resultUnknown,
// because the request may have run.
func (a *attempt) failUnknown(cause string) attemptResult {
	a.server.recordResult(1, time.Now())
	a.q.cause = cause
	return resultUnknown
}

func (a *attempt) handleRefusal(resp *upstream.Response, m ResponseMetadata) attemptResult {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscardedBody))
	if m.AddressReused {
		a.q.recordUnreachable(a.server, nil)
		a.q.cause = "another_server_at_address"
		return resultNotRun
	}
	now := time.Now()
	a.server.recordRefusal(now)
	a.q.cause = causeServerFull
	a.q.recordPrefillRefusal(a.server, m.Load, now)
	return resultNotRun
}

// maxDiscardedBody limits the body of a refusal that is read so that the connection can be reused,
// in bytes.
const maxDiscardedBody = 64 << 10

// forwardWhole forwards a response after receiving all of it.
func (a *attempt) forwardWhole(resp *upstream.Response) attemptResult {
	watch := a.watchBody(a.q.ctx, resp)
	defer watch.close()
	body, release, err := a.q.g.memory.readSized(resp, maxResponseBody, resp.ContentLength)
	defer release()
	switch {
	case a.q.r.Context().Err() != nil:
		a.q.finish(outcomeGone, "")
		return resultFinished
	case errors.Is(err, errResponseTooLarge):
		return a.failUnknown("answer_too_large")
	case err != nil:
		return a.failUnknown("answer_not_whole")
	}
	end := watch.end(a.q.ctx)
	if err := end.check(); err != nil {
		a.q.recordBroken(a.server)
		return a.failUnknown(err.Error())
	}
	a.server.recordResult(0, time.Now())
	a.q.g.quarantine.tracker.Answered(a.q.sharedParts, time.Now())
	a.q.timeToFirst = time.Since(a.q.started)
	resp.Close(a.q.g.pool) // a caller that reads slowly must not hold the connection
	a.q.answer(&response{resp.StatusCode, resp.Header, body}, outcomeAnswered, "")
	return resultFinished
}

// serverErrorWeight is the failure weight of a backend server's error response, which the request
// itself may have caused.
const serverErrorWeight = 0.5

func (a *attempt) handleErrorStatus(resp *upstream.Response, m ResponseMetadata) attemptResult {
	watch := a.watchBody(a.q.ctx, resp)
	defer watch.close()
	body, release, err := a.q.g.memory.readAll(resp, maxErrorBody)
	// The body may be forwarded later, if no other attempt succeeds; it is small.
	defer release()
	switch {
	case a.q.r.Context().Err() != nil:
		a.q.finish(outcomeGone, "")
		return resultFinished
	case err != nil || !m.FromServer:
		return a.failUnknown(fmt.Sprintf("status_%d_not_whole", resp.StatusCode))
	}
	if m.TellsNotRun {
		// The request may have run, so the status must not reach the caller.
		a.server.recordResult(serverErrorWeight, time.Now())
		a.q.cause = fmt.Sprintf("status_%d_without_guarantee", resp.StatusCode)
		return resultUnknown
	}
	end := watch.end(a.q.ctx)
	if err := end.check(); err != nil {
		a.q.recordBroken(a.server)
		return a.failUnknown(err.Error())
	}
	full := &response{resp.StatusCode, resp.Header, body}
	if resp.StatusCode < http.StatusInternalServerError && !a.q.reply.started {
		a.server.recordResult(0, time.Now())
		a.q.answer(full, outcomeFailed, strconv.Itoa(full.status))
		return resultFinished
	}
	a.server.recordResult(serverErrorWeight, time.Now())
	a.q.serverError = full
	a.q.cause = "server_failed"
	return resultFailed
}
