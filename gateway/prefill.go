package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/upstream"
)

// maxHandleAnswer bounds the answer that carries a handle.
const maxHandleAnswer = 64 << 10

// prefill has the prompt read by another backend server and returns where the result can be fetched.
// Reading runs nothing, so that it may be repeated even for requests that must not be.
//
// ok is false if the attempt ends here with the result.
func (q *request) prefill(c *choice) (source string, res result, ok bool) {
	p := c.reader
	ahead := p.view(time.Now()).pending
	sentAt := time.Now()
	p.sent(c.unread, sentAt)
	defer p.ended()
	defer p.read(c.unread)
	q.g.decider.prefixes.note(q.keys, p.key, sentAt)
	send := &Send{Server: p, Remaining: time.Until(q.deadline), Priority: q.route.Priority, Prefill: true}
	resp, err := q.g.pool.Do(q.ctx, p.Address, &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: q.g.codec.Header(q.r.Header, send), Body: q.body,
	}, q.belongs)
	if err != nil {
		return "", q.prefillFailed(p, err), false
	}
	defer resp.Close(q.g.pool)
	body, err := io.ReadAll(io.LimitReader(resp, maxHandleAnswer))
	now := time.Now()
	m := q.g.codec.Mark(resp.StatusCode, resp.Header)
	p.heard(m.Load, now)
	if q.r.Context().Err() != nil {
		q.done(outcomeGone, "")
		return "", finished, false
	}
	if m.NotRun || m.Elsewhere || err != nil || resp.StatusCode != http.StatusOK {
		q.tried = append(q.tried, p.live)
		q.cause = "prompt_refused"
		if m.Elsewhere {
			p.unreachable(now)
		} else {
			p.refused(now)
		}
		return "", notRun, false
	}
	handle, err := q.g.codec.Handle(body)
	if err != nil {
		p.result(1, now)
		q.tried = append(q.tried, p.live)
		q.cause = "handle_unreadable"
		return "", notRun, false
	}
	p.result(0, now)
	q.g.decider.pace(q.service).observe(p.Role, c.unread, ahead, now.Sub(sentAt))
	return p.Address + "/" + handle, finished, true
}

func (q *request) prefillFailed(p *Server, err error) result {
	now := time.Now()
	q.tried = append(q.tried, p.live)
	switch {
	case q.r.Context().Err() != nil:
		q.done(outcomeGone, "")
		return finished
	case errors.Is(err, upstream.ErrNotSent):
		p.unreachable(now)
		q.cause = "reader_unreachable"
		return notSent
	default:
		p.result(1, now)
		q.cause = "reader_broken"
		return notRun
	}
}

// vain is a prompt that was read and not used.
type vain struct {
	reader *Server
	handle string
}

// drop gives up the prompt that was read for the request.
func (q *request) drop() {
	if q.source == "" {
		return
	}
	q.vain = append(q.vain, vain{q.reader, q.source[len(q.reader.Address)+1:]})
	q.source = ""
}

// release frees the memory of prompts that were read in vain.
func (q *request) release(ctx context.Context) {
	q.drop()
	for _, v := range q.vain {
		go q.g.free(ctx, v.reader, v.handle)
	}
}

func (g *Gateway) free(ctx context.Context, p *Server, handle string) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	method, target := g.codec.Release(handle)
	resp, err := g.pool.Do(ctx, p.Address, &upstream.Request{
		Method: method, Target: target, Host: p.Address, Header: http.Header{},
	}, func(*http.Response, bool) bool { return true })
	if err != nil {
		g.log.WithError(err).WithField("server", p.ID).Warn("free a prompt read in vain")
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscard))
	resp.Close(g.pool)
}
