package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/upstream"
)

// maxControlBody limits the responses to prefills, report requests and role orders, in bytes.
const maxControlBody = 64 << 10

// prefill asks another backend server to prefill the prompt and returns where the result can be
// fetched. A prefill generates nothing, so it may be repeated even for requests that must not be.
//
// ok is false if the attempt ends here, with res as its result.
func (q *request) prefill(c *choice) (source string, res attemptResult, ok bool) {
	server := c.prefillServer
	sentAt := time.Now()
	ahead := q.g.decider.Backlog(server, sentAt)
	server.recordSent(c.uncachedTokens, sentAt)
	defer server.recordEnded()
	defer server.subtractPendingTokens(c.uncachedTokens)
	q.g.decider.prefixes.record(q.prefixKeys, server.key, sentAt)
	q.lastStatus, q.lastNotRun = 0, false
	forwarded := q.forwarded(server)
	forwarded.Remaining, forwarded.Prefill = time.Until(q.deadline), true
	resp, err := q.g.pool.Do(q.ctx, server.Address, &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: q.g.codec.Header(q.r.Header, forwarded), Body: q.body.bytes, Sends: &q.connections, NewConnection: q.metadata.ID == "", Memory: q.g.memory, Check: q.checkSend(server, false),
	}, q.isResponseToRequest)
	if err != nil {
		return "", q.handlePrefillError(server, err), false
	}
	defer resp.Close(q.g.pool)
	body, err := io.ReadAll(io.LimitReader(resp, maxControlBody))
	now := time.Now()
	m := q.g.codec.ResponseMetadata(resp.StatusCode, resp.Header)
	discardUnidentified(resp, m)
	q.observe(server, resp, m)
	q.g.decider.RecordActivity(server, m.Load, now)
	if q.r.Context().Err() != nil {
		q.finish(outcomeGone, "")
		return "", resultFinished, false
	}
	if m.NotRun || m.AddressReused || err != nil || resp.StatusCode != http.StatusOK {
		q.tried = append(q.tried, server.state)
		q.cause = causePromptRefused
		if m.AddressReused {
			q.recordUnreachable(server, nil)
		} else {
			server.recordRefusal(now)
		}
		return "", resultNotRun, false
	}
	handle, err := q.g.codec.Handle(body)
	if err != nil {
		server.recordResult(1, now)
		q.tried = append(q.tried, server.state)
		q.cause = "handle_unreadable"
		return "", resultNotRun, false
	}
	server.recordResult(0, now)
	q.prefillElapsed = now.Sub(sentAt)
	q.g.decider.prefillEstimator(q.service).observe(server.Role, c.uncachedTokens, ahead, now.Sub(sentAt), now)
	return server.Address + "/" + handle, resultFinished, true
}

func (q *request) handlePrefillError(server *Server, err error) attemptResult {
	now := time.Now()
	q.tried = append(q.tried, server.state)
	switch {
	case q.r.Context().Err() != nil:
		q.finish(outcomeGone, "")
		return resultFinished
	case isHeld(err):
		q.cause = heldCause(err)
		return resultNotSent
	case errors.Is(err, upstream.ErrNotSent):
		q.recordUnreachable(server, err)
		q.cause = "reader_unreachable"
		return resultNotSent
	default:
		if q.ctx.Err() == nil {
			q.recordBroken(server)
		}
		server.recordResult(1, now)
		q.cause = "reader_broken"
		return resultNotRun
	}
}

// unusedPrefill is a prefilled prompt that was not used.
type unusedPrefill struct {
	server *Server
	handle string
}

// discardPrefill marks the prefilled prompt of the request as unused.
func (q *request) discardPrefill() {
	if q.prefillSource == "" {
		return
	}
	q.unusedPrefills = append(q.unusedPrefills, unusedPrefill{q.prefillServer, q.prefillSource[len(q.prefillServer.Address)+1:]})
	q.prefillSource = ""
}

// releasePrefills releases the memory of unused prefilled prompts.
func (q *request) releasePrefills(ctx context.Context) {
	q.discardPrefill()
	for _, v := range q.unusedPrefills {
		q.g.guard.Go("release of a prefilled prompt", func() { q.g.releaseHandle(ctx, v.server, v.handle) })
	}
}

func (g *Gateway) releaseHandle(ctx context.Context, server *Server, handle string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	method, target := g.codec.Release(handle)
	resp, err := g.pool.Do(ctx, server.Address, &upstream.Request{
		Method: method, Target: target, Host: server.Address, Header: http.Header{}, NewConnection: true, Check: server.check,
	}, isControlResponse(g.codec))
	if isHeld(err) {
		return // the handle expires
	}
	if err != nil {
		g.log.WithError(err).WithField("server", server.ID).Warn("cannot release an unused prefilled prompt")
		return
	}
	resp.DiscardConnection()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscardedBody))
	resp.Close(g.pool)
}
