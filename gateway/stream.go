package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/upstream"
)

const (
	// maxEventSize limits one event of a stream, in bytes. Events have some hundred bytes; as many streams
	// as an instance serves at once must fit into its memory with their largest events.
	maxEventSize     = 64 << 10
	streamBufferSize = 4 << 10
)

var errEventTooLarge = errors.New("event too large")

// eventReader reads complete server-sent events, including the blank line that ends each.
type eventReader struct {
	br  *bufio.Reader
	buf []byte
}

// next returns one event and its ID. Trailing data without a blank line is returned with io.EOF; bodyEnd
// tells whether the stream may end there.
func (e *eventReader) next() (event []byte, id string, err error) {
	e.buf = e.buf[:0]
	for {
		line, err := e.br.ReadSlice('\n')
		e.buf = append(e.buf, line...)
		if len(e.buf) > maxEventSize {
			return nil, "", errEventTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return e.buf, id, err
		}
		start := bytes.LastIndexByte(e.buf[:len(e.buf)-1], '\n') + 1
		text := bytes.TrimRight(e.buf[start:], "\r\n")
		if len(text) == 0 && len(e.buf) > len(text)+2 {
			return e.buf, id, nil
		}
		if v, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
}

// relayStream forwards events as they arrive. The header is sent with the first event, so that a
// stream that breaks before it can be retried.
func (a *attempt) relayStream(resp *upstream.Response) attemptResult {
	q := a.q
	reader := &eventReader{br: bufio.NewReaderSize(resp, streamBufferSize)}
	q.sequence.begin()
	watch := a.watchBody(a.q.ctx, resp)
	defer watch.close()
	flush := http.NewResponseController(q.reply.w)
	var lastEventAt time.Time
	for {
		event, id, err := reader.next()
		now := time.Now()
		isEvent := holdsEvent(event)
		if isEvent {
			a.recordStreamBegan(now)
		}
		if q.r.Context().Err() != nil {
			q.finish(outcomeGone, "")
			return resultFinished
		}
		if err != nil {
			q.tailBytes = len(event)
		}
		if errors.Is(err, io.EOF) {
			end := watch.end(q.ctx)
			end.events, end.anyEvent, end.tail = isEventStream(resp.Header), !lastEventAt.IsZero(), event
			if endErr := end.check(); endErr != nil {
				return a.handleInterruption(endErr)
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return a.handleInterruption(err)
		}
		if len(event) > 0 {
			a.recordFirstEvent(now)
			if !lastEventAt.IsZero() {
				q.g.metrics.EventGap(q.service, now.Sub(lastEventAt))
			}
			lastEventAt = now
		}
		if err == nil && isEvent {
			forward, orderErr := q.sequence.accept(id)
			if orderErr != nil {
				return a.handleInterruption(orderErr)
			}
			if !forward {
				continue
			}
		}
		if !q.reply.started {
			q.reply.buffer(q.r)
			q.reply.start(resp.StatusCode, q.g.codec.Answer(resp.Header), -1)
			if !q.route.Resumable {
				q.body.drop()
			}
		}
		if len(event) > 0 {
			if _, werr := q.reply.w.Write(event); werr != nil {
				q.finish(outcomeGone, writeCause(werr))
				return resultFinished
			}
			q.events++
		}
		if err != nil {
			a.server.recordResult(0, now)
			if q.events > 0 {
				q.g.quarantine.tracker.Answered(q.sharedParts, now)
			}
			q.reply.complete = true
			q.finish(outcomeAnswered, "")
			return resultFinished
		}
		if reader.br.Buffered() == 0 {
			_ = flush.Flush()
		}
		a.server.recordActivity(nil, now)
	}
}

// isEventStream reports whether a body holds events. A response without a type to a request for a stream is
// taken for one.
func isEventStream(h http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == "" || mediaType == "text/event-stream"
}

// holdsEvent reports whether data holds an event or a part of one. Blank lines and comments between events belong
// to none.
func holdsEvent(data []byte) bool {
	for line := range bytes.Lines(data) {
		text := bytes.TrimRight(line, "\r\n")
		if len(text) > 0 && (text[0] != ':' || len(text) == len(line)) {
			return true
		}
	}
	return false
}

func (a *attempt) recordFirstEvent(now time.Time) {
	q := a.q
	if q.timeToFirst == 0 {
		q.timeToFirst = now.Sub(q.started)
	}
	if !a.pendingReleased && a.uncachedTokens > 0 {
		q.g.decider.prefillEstimator(q.service).observe(a.server.Role, a.uncachedTokens, a.backlog, now.Sub(a.sentAt), now)
	}
	a.releasePendingTokens()
	a.recordTransfer(now)
}

// handleInterruption ends an attempt whose stream broke. A stream that has started and cannot be
// resumed is abandoned.
func (a *attempt) handleInterruption(err error) attemptResult {
	q := a.q
	if q.ctx.Err() == nil {
		q.recordBroken(a.server)
	}
	a.server.recordResult(1, time.Now())
	q.g.metrics.BrokenStream(q.service, q.framing)
	q.cause = "stream_broken: " + err.Error()
	if q.reply.started && (!q.route.Resumable || !q.sequence.mayResume()) {
		q.runs++
		q.giveUp(q.cause)
		return resultFinished
	}
	return resultUnknown
}

// writeCause returns the cause of a failed write to the caller.
func writeCause(err error) string {
	if errors.Is(err, ErrSlowReader) {
		return ErrSlowReader.Error()
	}
	return "write"
}
