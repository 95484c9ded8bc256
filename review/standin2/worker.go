package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerConfig configures a worker.
type workerConfig struct {
	ID     string `json:"id"`
	Listen string `json:"listen"`
	// Stage is prefill or decode, or empty for a worker without an engine.
	Stage string `json:"stage"`
	Slots int    `json:"slots"`
	// WorkMS is the time of a plain request, and of each event of a stream.
	WorkMS int `json:"work_ms"`
	// Unframed answers have no length and end with their channel.
	Unframed bool `json:"unframed"`
	// SlowFromMS and SlowForMS are when the worker turns slow, in milliseconds from its start, and for how long; SlowX is how
	// many times as long its work takes then.
	SlowFromMS int `json:"slow_from_ms"`
	SlowForMS  int `json:"slow_for_ms"`
	SlowX      int `json:"slow_x"`
}

// roleSwitch is how long a worker changes its stage.
const roleSwitch = 3 * time.Second

// worker serves requests on bare channels. It writes a line to its output for each request that reaches it, and for the
// beginning and end of each run.
type worker struct {
	cfg     workerConfig
	started time.Time

	mu      sync.Mutex
	stage   string
	busy    bool
	seq     int
	running int
	handles map[string]string // the attempt by handle
}

// runWorker serves until the process ends. It returns why it could not.
func runWorker(config string) error {
	w := &worker{started: time.Now(), handles: map[string]string{}}
	if err := json.Unmarshal([]byte(config), &w.cfg); err != nil {
		return err
	}
	w.stage = w.cfg.Stage
	l, err := net.Listen("tcp", w.cfg.Listen)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

func (w *worker) log(event, id, text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(event, id, time.Now().UnixMilli(), text)
}

// serve serves one channel, a request at a time.
func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.answer(c, r, body) {
			return
		}
	}
}

// head returns the status line and header of an answer, without the blank line.
func (w *worker) head(status int, id, extra string) string {
	w.mu.Lock()
	load := fmt.Sprintf("%s: %d,0,%d\r\n", name("load"), w.running, w.cfg.Slots)
	w.mu.Unlock()
	if id != "" {
		id = name("attempt") + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s%s", status, http.StatusText(status), id, load, extra)
}

func (w *worker) reply(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// answer answers one request and reports whether the channel stays open.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(name("attempt"))
	if expect := r.Header.Get(name("expect")); expect != "" && expect != w.cfg.ID {
		return w.reply(c, w.head(http.StatusMisdirectedRequest, id, name("instance")+": "+w.cfg.ID+"\r\n"), "")
	}
	switch {
	case r.URL.Path == name("report"):
		w.mu.Lock()
		report := fmt.Sprintf(name("report body"), w.stage, w.busy, w.seq, w.running, len(w.handles))
		w.mu.Unlock()
		return w.reply(c, w.head(http.StatusOK, "", "Content-Type: application/json\r\n"), report)
	case r.URL.Path == name("order"):
		return w.reply(c, w.head(w.order(body), "", ""), "")
	case strings.HasPrefix(r.URL.Path, name("handle")):
		w.mu.Lock()
		delete(w.handles, strings.TrimPrefix(r.URL.Path, name("handle")))
		w.mu.Unlock()
		return w.reply(c, w.head(http.StatusOK, "", ""), "")
	}
	w.log("arrives", id, r.Method+" "+r.RequestURI)
	w.mu.Lock()
	stage, full := w.stage, w.running >= w.cfg.Slots || w.busy
	w.mu.Unlock()
	prefill := r.Header.Get(name("stage")) == "prefill"
	switch {
	case id == "":
		return w.reply(c, w.head(http.StatusBadRequest, "", name("not executed")+": 1\r\n"), "")
	case stage != "" && prefill != (stage == "prefill"):
		return w.reply(c, w.head(http.StatusMisdirectedRequest, id, ""), "")
	case full:
		return w.reply(c, w.head(http.StatusServiceUnavailable, id, name("not executed")+": 1\r\n"), "")
	case prefill:
		time.Sleep(10 * time.Millisecond)
		handle := "h" + id
		w.mu.Lock()
		w.handles[handle] = id
		w.mu.Unlock()
		return w.reply(c, w.head(http.StatusOK, id, "Content-Type: application/json\r\n"), fmt.Sprintf(`{"handle":%q,"tokens":1,"version":1}`, handle))
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	w.log("runs", id, r.Method+" "+r.RequestURI)
	keep := w.run(c, r, id, string(body))
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.log("ends", id, "")
	return keep
}

// run runs a request and reports whether the channel stays open.
func (w *worker) run(c net.Conn, r *http.Request, id, body string) bool {
	limit := time.Now().Add(timeLimit(r))
	signature := name("signature") + ": " + w.cfg.ID + "." + id + "\r\n"
	events := eventCount(r)
	if events == 0 {
		time.Sleep(w.work())
		text := plainAnswer(id, r.RequestURI, body)
		if !w.cfg.Unframed {
			return w.reply(c, w.head(http.StatusOK, id, signature), text)
		}
		_, _ = io.WriteString(c, w.head(http.StatusOK, id, signature+"Connection: close\r\n")+"\r\n"+text)
		return false
	}
	framing := "Transfer-Encoding: chunked\r\n"
	if w.cfg.Unframed {
		framing = "Connection: close\r\n"
	}
	if _, err := io.WriteString(c, w.head(http.StatusOK, id, signature+"Content-Type: text/event-stream\r\n"+framing)+"\r\n"); err != nil {
		return false
	}
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= events; n++ {
		time.Sleep(min(w.work(), time.Until(limit)))
		if !time.Now().Before(limit) {
			w.log("stops", id, "at its time limit")
			return false
		}
		text := event(id, n)
		if !w.cfg.Unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return false
		}
	}
	if w.cfg.Unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// timeLimit returns the time after which the worker stops work on a request.
func timeLimit(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(name("deadline")))
	if err != nil {
		return time.Hour
	}
	return time.Duration(ms) * time.Millisecond
}

// work returns the time of a plain request or an event now.
func (w *worker) work() time.Duration {
	work := time.Duration(w.cfg.WorkMS) * time.Millisecond
	since := time.Since(w.started) - time.Duration(w.cfg.SlowFromMS)*time.Millisecond
	if w.cfg.SlowX > 0 && since >= 0 && since < time.Duration(w.cfg.SlowForMS)*time.Millisecond {
		work *= time.Duration(w.cfg.SlowX)
	}
	return work
}

// order obeys an order and returns the status of its answer.
func (w *worker) order(body []byte) int {
	var o map[string]any
	if err := json.Unmarshal(body, &o); err != nil {
		return http.StatusBadRequest
	}
	next, _ := o["stage"].(string)
	holder, _ := o["holder"].(string)
	_, fenced := o[name("fence")].(float64)
	if o["op"] != "stage" || holder == "" || !fenced {
		return http.StatusBadRequest
	}
	expected, conditional := o["precondition"].(float64)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.busy || conditional && int(expected) != w.seq:
		return http.StatusConflict
	case next == w.stage:
		return http.StatusOK
	}
	w.busy = true
	w.seq++
	time.AfterFunc(roleSwitch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stage, w.busy = next, false
	})
	return http.StatusAccepted
}

// eventCount returns the number of events of the answer to a request; 0 if it is not a stream.
func eventCount(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get(name("tokens")), ",")
	n, _ := strconv.Atoi(out)
	return n
}

func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id) }

func plainAnswer(id, target, body string) string {
	return fmt.Sprintf("answer to %s at %s with %q%s", id, target, body, strings.Repeat(".", 700))
}

// logWorker is where the log lines of a worker process go.
func logWorker(dir, id string) string { return dir + string(os.PathSeparator) + id + ".log" }
