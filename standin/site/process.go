package site

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ProcessConfig configures a worker that runs as a process of its own. The rates are from 0 to 1.
type ProcessConfig struct {
	ID    string
	Stage string // "prefill", "decode", or empty for a worker that does both
	// ServiceTime is the duration of a plain request, or the time per event of a stream.
	ServiceTime time.Duration
	// Refuse is the rate of refusals.
	Refuse float64
	// Copy is the rate of refusals and misdirected requests whose response is sent once more, where the next
	// response on the connection is expected. Without CopyID the copy has no ID.
	Copy   float64
	CopyID bool
	// Unframed is the rate of responses without a length, which end with their connection.
	Unframed float64
	// StopAtLimit ends streams at the time that the worker was given for them, without an end of their own if they have no
	// length.
	StopAtLimit bool
	// CutHead is the rate of answers that end within their head, by a close or a reset.
	CutHead float64
	// OddHead is the rate of answers, also to prefills and report requests, whose head is none of HTTP.
	OddHead float64
	// EarlyReset is the rate of requests with a body above earlyResetBytes that are answered with a part of a body without
	// a length before they are read, on a connection that is then reset.
	EarlyReset float64
	// BreakOff is the rate of streams that are broken off after their first event.
	BreakOff float64
	// FailResumed is the rate of resumed streams that are answered with 404 and a signature.
	FailResumed float64
	// Busy is the rate of requests that run and are answered with 503, a signature and no statement that they
	// did not run.
	Busy float64
	// Error is the rate of requests that run and are answered with 500, a signature and a body in two parts.
	Error float64
	// RestartEvents is the rate of resumed streams whose events have no IDs.
	RestartEvents float64
	// Leaving adds the header of workers that leave to all responses.
	Leaving bool
	// RetryAfter, if not empty, is sent with each refusal.
	RetryAfter string
}

// ProcessWorker serves requests on bare connections, so that it can send what a sound HTTP server can't. It
// writes a line to its output for each request that reaches it, "arrives ID PATH TIME", and for each run, "runs ..."
// and "ends ...". TIME is in Unix milliseconds.
type ProcessWorker struct {
	cfg     ProcessConfig
	mu      sync.Mutex
	out     io.Writer
	handles atomic.Int64
}

// NewProcessWorker returns a ProcessWorker that writes to out.
func NewProcessWorker(cfg ProcessConfig, out io.Writer) *ProcessWorker {
	return &ProcessWorker{cfg: cfg, out: out}
}

// Serve serves connections until the listener is closed.
func (w *ProcessWorker) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serveConn(c)
	}
}

func (w *ProcessWorker) record(event, id, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintln(w.out, event, id, path, time.Now().UnixMilli())
}

func occurs(rate float64) bool { return rate > 0 && rand.Float64() < rate }

func (w *ProcessWorker) serveConn(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for late := ""; ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.ContentLength > earlyResetBytes && occurs(w.cfg.EarlyReset) {
			w.resetEarly(c, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, late); err != nil {
			return
		}
		refusal, keep := w.answer(c, r)
		if !keep {
			return
		}
		late = ""
		if refusal != "" && occurs(w.cfg.Copy) {
			late = refusal
		}
	}
}

// head returns the status line and header of a response, without the blank line.
func (w *ProcessWorker) head(status int, id, extra string) string {
	leaving := ""
	if w.cfg.Leaving {
		leaving = "Server-Leaving: 1\r\n"
	}
	if id != "" {
		id = "Quetzallug-Attempt-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s%s", status, http.StatusText(status), id, leaving, extra)
}

// answer answers one request. It returns a refusal for a late copy, or an empty string, and whether the
// connection may be used again.
func (w *ProcessWorker) answer(c net.Conn, r *http.Request) (refusal string, keep bool) {
	id := r.Header.Get("Quetzallug-Attempt-Id")
	w.record("arrives", id, r.URL.Path)
	refuse := func(status int, extra string) (string, bool) {
		const end = "Content-Length: 0\r\n\r\n"
		_, err := io.WriteString(c, w.head(status, id, extra)+end)
		copyID := id
		if !w.cfg.CopyID {
			copyID = ""
		}
		return w.head(status, copyID, extra) + end, err == nil
	}
	if expect := r.Header.Get("Quetzallug-Expect-Instance"); expect != "" && expect != w.cfg.ID {
		return refuse(http.StatusMisdirectedRequest, "Quetzallug-Instance-Id: "+w.cfg.ID+"\r\n")
	}
	prefill := r.Header.Get("Quetzallug-Stage") == "prefill"
	switch {
	case occurs(w.cfg.OddHead):
		w.oddHead(c, r, id)
		return "", false
	case r.URL.Path == "/api/report":
		return "", w.reply(c, w.head(http.StatusOK, "", ""), fmt.Sprintf(`{"stage":%q,"busy":false,"seq":0}`, w.cfg.Stage))
	case strings.HasPrefix(r.URL.Path, "/api/"):
		return "", w.reply(c, w.head(http.StatusOK, "", ""), "{}")
	case w.cfg.Stage != "" && prefill != (w.cfg.Stage == "prefill"):
		return refuse(http.StatusMisdirectedRequest, "")
	case occurs(w.cfg.Refuse):
		retryAfter := ""
		if w.cfg.RetryAfter != "" {
			retryAfter = "Retry-After: " + w.cfg.RetryAfter + "\r\n"
		}
		return refuse(http.StatusServiceUnavailable, "Quetzallug-Not-Executed: 1\r\n"+retryAfter)
	case prefill && occurs(w.cfg.CutHead):
		w.cutHead(c, r, id)
		return "", false
	case prefill:
		time.Sleep(w.cfg.ServiceTime)
		return "", w.reply(c, w.head(http.StatusOK, id, ""), fmt.Sprintf(`{"handle":"h-%d"}`, w.handles.Add(1)))
	}
	if occurs(w.cfg.CutHead) {
		w.cutHead(c, r, id)
		return "", false
	}
	resumed := r.Header.Get("Last-Event-Id") != ""
	signature := "Quetzallug-Response-Signature: " + Signature(w.cfg.ID, id) + "\r\n"
	w.record("runs", id, r.URL.Path)
	defer w.record("ends", id, r.URL.Path)
	switch {
	case resumed && occurs(w.cfg.FailResumed):
		return "", w.reply(c, w.head(http.StatusNotFound, id, signature), "no such route")
	case occurs(w.cfg.Busy):
		time.Sleep(w.cfg.ServiceTime)
		return "", w.reply(c, w.head(http.StatusServiceUnavailable, id, signature), "busy")
	case occurs(w.cfg.Error):
		return "", w.plain(c, r, http.StatusInternalServerError, id, signature)
	case EventCount(r) > 0:
		return "", w.stream(c, r, id, signature, resumed && occurs(w.cfg.RestartEvents))
	}
	return "", w.plain(c, r, http.StatusOK, id, signature)
}

// cutHead runs a request and writes a part of an answer's head.
func (w *ProcessWorker) cutHead(c net.Conn, r *http.Request, id string) {
	if r.Header.Get("Quetzallug-Stage") != "prefill" {
		w.record("runs", id, r.URL.Path)
		defer w.record("ends", id, r.URL.Path)
	}
	time.Sleep(w.cfg.ServiceTime)
	head := w.head(http.StatusOK, id, "Quetzallug-Response-Signature: "+Signature(w.cfg.ID, id)+"\r\n"+[...]string{"", "Content-Length: 120\r\n", "Transfer-Encoding: chunked\r\n"}[rand.IntN(3)])
	_, _ = io.WriteString(c, head[:rand.IntN(len(head)+1)])
	if tcp, ok := c.(*net.TCPConn); ok && rand.IntN(2) == 0 {
		_ = tcp.SetLinger(0)
	}
}

// oddHeads are heads of answers that are none of HTTP, without their last line break. "#" stands for the header of a sound
// one.
var oddHeads = []string{
	"HTTP/1.1 000 Trouble\r\n#Content-Length: 3\r\n",
	"HTTP/1.1 099 Trouble\r\n#\r\nHTTP/1.1 200 OK\r\n#Content-Length: 3\r\n",
	"HTTP/1.1 600 Trouble\r\n#Content-Length: 3\r\n",
	"HTTP/1.1 200 OK\r\n#Odd name: x\r\nContent-Length: 3\r\n",
	"HTTP/1.1 200 OK\r\n#Odd : x\r\nContent-Length: 3\r\n",
	"HTTP/1.1 200 OK\r\n#Content-Length : 3\r\n",
	"HTTP/1.1 200 OK\r\n# Odd: x\r\nContent-Length: 3\r\n",
	"HTTP/1.1 200 OK\r\n#Transfer-Encoding : chunked\r\n",
	"HTTP/1.0 200 OK\r\n#Transfer-Encoding: chunked\r\n",
	"HTTP/1.1 200 OK\r\n#O\x01dd: x\r\nContent-Length: 3\r\n",
	"HTTP/1.1 200 OK\r\n#Content-Length\x00: 3\r\n",
}

// oddHead runs a request and writes an answer whose head is none of HTTP.
func (w *ProcessWorker) oddHead(c net.Conn, r *http.Request, id string) {
	if r.Header.Get("Quetzallug-Stage") != "prefill" && !strings.HasPrefix(r.URL.Path, "/api/") {
		w.record("runs", id, r.URL.Path)
		defer w.record("ends", id, r.URL.Path)
	}
	time.Sleep(w.cfg.ServiceTime)
	header := "Quetzallug-Attempt-Id: " + id + "\r\nQuetzallug-Response-Signature: " + Signature(w.cfg.ID, id) + "\r\n"
	_, _ = io.WriteString(c, strings.ReplaceAll(oddHeads[rand.IntN(len(oddHeads))], "#", header)+"\r\nodd")
}

const (
	// earlyResetBytes is more than the operating system holds for a connection.
	earlyResetBytes = 6 << 20
	// earlyResetDelay is enough for the part of the answer to be read before the reset.
	earlyResetDelay = 60 * time.Millisecond
)

// resetEarly runs a request without reading it, and resets the connection after a part of an answer without a length.
func (w *ProcessWorker) resetEarly(c net.Conn, r *http.Request) {
	id := r.Header.Get("Quetzallug-Attempt-Id")
	w.record("arrives", id, r.URL.Path)
	w.record("runs", id, r.URL.Path)
	defer w.record("ends", id, r.URL.Path)
	status, part := [...]int{http.StatusOK, http.StatusInternalServerError}[rand.IntN(2)], Answer(id, r.RequestURI)[:4]
	if EventCount(r) > 0 {
		status, part = http.StatusOK, Event(id, 1)
	}
	_, _ = io.WriteString(c, w.head(status, id, "Quetzallug-Response-Signature: "+Signature(w.cfg.ID, id)+"\r\n")+"\r\n"+part)
	time.Sleep(earlyResetDelay)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// plain writes a plain response and reports whether the connection may be used again.
func (w *ProcessWorker) plain(c net.Conn, r *http.Request, status int, id, signature string) bool {
	time.Sleep(w.cfg.ServiceTime)
	text := Answer(id, r.RequestURI)
	if !occurs(w.cfg.Unframed) {
		return w.reply(c, w.head(status, id, signature), text)
	}
	_, _ = io.WriteString(c, w.head(status, id, signature+"Connection: close\r\n")+"\r\n"+text[:len(text)/2])
	time.Sleep(w.cfg.ServiceTime)
	_, _ = io.WriteString(c, text[len(text)/2:])
	return false
}

func (w *ProcessWorker) reply(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// stream writes a stream and reports whether the connection may be used again.
func (w *ProcessWorker) stream(c net.Conn, r *http.Request, id, signature string, withoutIDs bool) bool {
	head := w.head(http.StatusOK, id, signature+"Content-Type: text/event-stream\r\n")
	unframed := occurs(w.cfg.Unframed)
	write := func(text string) error {
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(c, text)
		return err
	}
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	limitMS, err := strconv.Atoi(r.Header.Get("Quetzallug-Deadline-Ms"))
	limited := w.cfg.StopAtLimit && err == nil
	limit := time.Now().Add(time.Duration(limitMS) * time.Millisecond)
	breakOff := occurs(w.cfg.BreakOff)
	for i := first + 1; i <= EventCount(r); i++ {
		if limited && time.Until(limit) < w.cfg.ServiceTime {
			time.Sleep(time.Until(limit))
			return false
		}
		time.Sleep(w.cfg.ServiceTime)
		event := Event(id, i)
		if withoutIDs {
			_, event, _ = strings.Cut(event, "\n")
		}
		if err := write(event); err != nil || breakOff {
			return false
		}
	}
	if unframed {
		return false
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
