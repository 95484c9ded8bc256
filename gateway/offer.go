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

// offer is one request to one backend server.
type offer struct {
	q       *request
	s       *Server
	send    *Send
	unread  float64
	ahead   float64
	sentAt  time.Time
	counted bool
	// from has read the prompt, which moves to s; nil if there is no move.
	from *Server
	// delay is expected before the first event for other reasons than the move.
	delay time.Duration
}

// account runs the offer and counts it as ended. A stream that is broken off ends by a panic.
func (o *offer) account() result {
	defer o.s.ended()
	defer o.readDone()
	res := o.run()
	if now := time.Now(); o.from != nil && res != notRun && res != notSent {
		moveGivenUp(o.from, o.s, o.moveTime(now), o.sentAt, now)
	}
	return res
}

// moveDone notes how long the move of the prompt took, once.
func (o *offer) moveDone(now time.Time) {
	if o.from == nil {
		return
	}
	extra := o.moveTime(now)
	o.from.moved(extra, now)
	o.s.moved(extra, now)
	o.from = nil
}

// moveTime is how much longer than expected the first event takes.
func (o *offer) moveTime(now time.Time) time.Duration {
	return now.Sub(o.sentAt) - handover - o.delay
}

// readDone counts the prompt as read by the backend server, once.
func (o *offer) readDone() {
	if !o.counted {
		o.counted = true
		o.s.read(o.unread)
	}
}

func (o *offer) run() result {
	resp, mark, res := o.exchange()
	if resp == nil {
		return res
	}
	defer resp.Close(o.q.g.pool)
	switch {
	case mark.NotRun || mark.Elsewhere:
		return o.refused(resp, mark)
	case resp.StatusCode/100 == 2:
		if !mark.Signed || resp.Header.Get("Content-Encoding") != "" {
			return o.broken("not_a_servers_answer")
		}
		// The backend server has fetched the prompt.
		o.q.source = ""
		if o.q.route.Stream {
			return o.relay(resp)
		}
		return o.whole(resp)
	default:
		return o.failure(resp, mark)
	}
}

// exchange sends the request and waits for the header of its answer.
func (o *offer) exchange() (*upstream.Response, Mark, result) {
	q := o.q
	o.send.Remaining = time.Until(q.deadline)
	codec := q.g.codec
	resp, err := q.g.pool.Do(q.ctx, o.s.Address, &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: codec.Header(q.r.Header, o.send), Body: q.body,
	}, q.belongs)
	now := time.Now()
	switch {
	case err == nil:
		m := codec.Mark(resp.StatusCode, resp.Header)
		o.s.heard(m.Load, now)
		return resp, m, finished
	case q.r.Context().Err() != nil:
		q.done(outcomeGone, "")
		return nil, Mark{}, finished
	case errors.Is(err, upstream.ErrNotSent):
		o.s.unreachable(now)
		q.cause = "unreachable"
		if q.ctx.Err() != nil {
			return nil, Mark{}, notRun
		}
		return nil, Mark{}, notSent
	case q.ctx.Err() != nil:
		o.s.result(0.5, now)
		q.cause = "deadline"
		return nil, Mark{}, unknown
	default:
		return nil, Mark{}, o.broken(err.Error())
	}
}

// belongs tells whether an answer is to this request. A refusal may come without an ID; any other
// answer without one is taken only if nothing else was sent on the connection.
func (q *request) belongs(resp *http.Response, fresh bool) bool {
	m := q.g.codec.Mark(resp.StatusCode, resp.Header)
	return m.ID == q.call.ID || (m.ID == "" && (fresh || m.NotRun || m.Elsewhere))
}

func (o *offer) broken(cause string) result {
	o.s.result(1, time.Now())
	o.q.cause = cause
	return unknown
}

func (o *offer) refused(resp *upstream.Response, m Mark) result {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDiscard))
	if m.Elsewhere {
		o.s.unreachable(time.Now())
		o.q.cause = "another_server_at_address"
		return notRun
	}
	o.s.refused(time.Now())
	o.q.cause = "server_full"
	return notRun
}

// maxDiscard bounds the body of a refusal that is read so that its connection can be kept.
const maxDiscard = 64 << 10

// whole passes on an answer after all of it was received.
func (o *offer) whole(resp *upstream.Response) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer+1))
	switch {
	case o.q.r.Context().Err() != nil:
		o.q.done(outcomeGone, "")
		return finished
	case err != nil || len(body) > maxAnswer:
		return o.broken("answer_not_whole")
	}
	o.s.result(0, time.Now())
	o.q.first = time.Since(o.q.started)
	o.q.write(&answer{resp.StatusCode, resp.Header, body})
	o.q.done(outcomeAnswered, "")
	return finished
}

// failureShare is the weight of a backend server's own failure: it may be the request's fault.
const failureShare = 0.5

func (o *offer) failure(resp *upstream.Response, m Mark) result {
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer+1))
	switch {
	case o.q.r.Context().Err() != nil:
		o.q.done(outcomeGone, "")
		return finished
	case err != nil || len(body) > maxAnswer || !m.Signed:
		return o.broken(fmt.Sprintf("status_%d_not_whole", resp.StatusCode))
	}
	a := &answer{resp.StatusCode, resp.Header, body}
	if resp.StatusCode < http.StatusInternalServerError {
		o.s.result(0, time.Now())
		o.q.write(a)
		o.q.done(outcomeFailed, strconv.Itoa(a.status))
		return finished
	}
	o.s.result(failureShare, time.Now())
	o.q.failure = a
	o.q.cause = "server_failed"
	return failed
}
