package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

// worker is one lifetime of a worker. It serves one request at a time on a channel.
type worker struct {
	s       *system
	id      string
	service string
	stage   string
	address string
	slots   int
	// queue is how many requests wait for a slot; without one, requests beyond the slots are rejected.
	queue int
	born  int64
	// handle runs a request that was admitted.
	handle func(w *worker, x *exchange)
	// repeat tells for each answer whether the worker also sends a second copy of it, at the point where the
	// next answer on the channel is expected; nil means never.
	repeat func() bool

	listener net.Listener
	place    chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  int
	ended    bool
}

// exchange is a request and the channel for its answer.
type exchange struct {
	r    *http.Request
	id   string
	body string
	conn net.Conn
	// ctx ends when the time that the request has left is over.
	ctx context.Context
	// sent is the last answer as it was sent; keep is false if the channel is to be closed.
	sent string
	keep bool
}

// start opens the worker's address and registers it.
func (w *worker) start() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.listener, w.address, w.born, w.conns = l, l.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	w.place = make(chan struct{}, w.slots)
	w.register("ready")
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	e := map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": w.slots, "state": state,
		"cold-remaining-ms": 0, "seq": 1, "born": w.born,
	}
	if w.stage != "" {
		e["stage"] = w.stage
	}
	w.s.store.Put(path.Join("servers", w.id), e)
	w.s.note("worker %s at %s registers: %s %s", w.id, w.address, state, w.stage)
}

// leave removes the worker's entry.
func (w *worker) leave() {
	w.s.store.Remove(path.Join("servers", w.id))
	w.s.note("the entry of worker %s is removed", w.id)
}

// end ends the process of the worker: its channels are reset and its port refuses new ones.
func (w *worker) end() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	w.s.note("worker %s ends", w.id)
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	w.mu.Lock()
	if w.ended {
		w.mu.Unlock()
		return
	}
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	late := ""
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			// The second copy of the last answer arrives where the next one is expected.
			w.s.note("worker %s sends a second copy of its last answer", w.id)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		x := &exchange{r: r, id: r.Header.Get(header("Attempt-Id")), body: string(body), conn: c, keep: true}
		w.answer(x)
		if !x.keep {
			return
		}
		if w.repeat != nil && w.repeat() {
			late = x.sent
		}
	}
}

// answer admits a request and runs it.
func (w *worker) answer(x *exchange) {
	if expect := x.r.Header.Get(header("Expect-Instance")); expect != "" && expect != w.id {
		w.s.note("worker %s rejects %s with 421: it is for %s", w.id, x.id, expect)
		x.reply(http.StatusMisdirectedRequest, header("Instance-Id")+": "+w.id+"\r\n", "")
		return
	}
	w.mu.Lock()
	full := w.running >= w.slots+w.queue
	if !full {
		w.running++
	}
	w.mu.Unlock()
	if full {
		w.s.note("worker %s rejects %s: full", w.id, x.id)
		x.reply(http.StatusServiceUnavailable, header("Not-Executed")+": 1\r\n"+w.load(), "")
		return
	}
	w.place <- struct{}{}
	defer func() { <-w.place }()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	left, _ := strconv.Atoi(x.r.Header.Get(header("Deadline-Ms")))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(max(left, 1))*time.Millisecond)
	defer cancel()
	x.ctx = ctx
	w.handle(w, x)
}

// reply sends a whole answer. extra holds further header lines.
func (x *exchange) reply(status int, extra, body string) {
	x.sent = fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header("Attempt-Id"), x.id, extra, len(body), body)
	_, err := io.WriteString(x.conn, x.sent)
	x.keep = x.keep && err == nil
}

// load returns the header line with the worker's load.
func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%s: %d,%d,%d\r\n", header("Server-Load"), min(w.running, w.slots), max(0, w.running-w.slots), w.slots)
}

// signed returns the header line that marks a worker's answer.
func (w *worker) signed(x *exchange) string {
	return header("Response-Signature") + ": " + site.Signature(w.id, x.id) + "\r\n"
}

// runs counts the runs of requests, by their IDs.
type runs struct {
	mu sync.Mutex
	by map[string][]string
}

func (r *runs) add(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.by == nil {
		r.by = map[string][]string{}
	}
	r.by[id] = append(r.by[id], worker)
}

func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.by[id]...)
}
