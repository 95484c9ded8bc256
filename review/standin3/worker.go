package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions are the options of a worker process.
type workerOptions struct {
	id, address string
	// work is the time of a plain request, and gap that between two events of a stream of as many events as the
	// request asks for output tokens.
	work, gap time.Duration
	// unframed sends streams without a length: they end with their channel.
	unframed bool
}

func (o *workerOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.id, "id", "", "instance ID")
	f.StringVar(&o.address, "address", "", "address to listen on")
	f.DurationVar(&o.work, "work", 30*time.Millisecond, "time of a plain request")
	f.DurationVar(&o.gap, "gap", 100*time.Millisecond, "time between events")
	f.BoolVar(&o.unframed, "unframed", false, "send streams without a length")
}

func (o *workerOptions) args() []string {
	return []string{"worker", "-id", o.id, "-address", o.address, "-work", o.work.String(), "-gap", o.gap.String(), fmt.Sprintf("-unframed=%t", o.unframed)}
}

// runWorker is the process of a worker. It ends with an error only. It writes a line for each request that it takes and for each run.
func runWorker(args []string) error {
	var o workerOptions
	f := flag.NewFlagSet("worker", flag.ContinueOnError)
	o.flags(f)
	if err := f.Parse(args); err != nil {
		return err
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", o.address)
	if err != nil {
		return err
	}
	w := &worker{o: o}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

type worker struct {
	o  workerOptions
	mu sync.Mutex
}

// log writes a line that workerLog.lines reads.
func (w *worker) log(event, id, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println(time.Now().UnixMilli(), event, id, path)
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
			return
		}
	}
}

// answer answers a request and reports whether the channel is kept.
func (w *worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get(name("attempt"))
	head := header(map[string]string{"instance": w.o.id})
	if id != "" {
		head += header(map[string]string{"attempt": id})
	}
	if expected := r.Header.Get(name("expect")); expected != "" && expected != w.o.id {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
	}
	if strings.HasPrefix(r.URL.Path, "/api/") {
		body := `{"stage":"decode","models":[],"busy":false,"seq":0,"queued":0,"active":0}`
		return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
	}
	head += header(map[string]string{"signature": w.o.id + "." + id})
	w.log("runs", id, r.URL.Path)
	defer w.log("ends", id, r.URL.Path)
	if events := wantedEvents(r.Header); events > 0 {
		return w.stream(c, head, id, events)
	}
	time.Sleep(w.o.work)
	body := "done " + id + " by " + w.o.id
	return write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body))
}

// wantedEvents returns the number of output tokens that a request asks for. An event holds one.
func wantedEvents(h http.Header) int {
	_, out, _ := strings.Cut(h.Get(name("tokens")), ",")
	n, _ := strconv.Atoi(out)
	return n
}

func (w *worker) stream(c net.Conn, head, id string, events int) bool {
	head = "HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\n"
	send := func(text string) bool { return write(c, fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }
	if w.o.unframed {
		head += "Connection: close\r\n\r\n"
		send = func(text string) bool { return write(c, text) }
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}
	if !write(c, head) {
		return false
	}
	for i := 1; i <= events; i++ {
		time.Sleep(w.o.gap)
		if !send(fmt.Sprintf("id: %d\ndata: %s part %d of %d\n\n", i, id, i, events)) {
			return false
		}
	}
	return !w.o.unframed && write(c, "0\r\n\r\n")
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// workerProcess is a worker as the case sees it.
type workerProcess struct {
	workerOptions
	service, stage string
	born           int64
	seq            int
	cmd            *exec.Cmd
	log            string
}

// startWorker starts a worker process and registers it.
func (p *play) startWorker(service, stage string, o workerOptions) (*workerProcess, error) {
	var err error
	if o.address, err = freeAddress("127.0.0.1"); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &workerProcess{workerOptions: o, service: service, stage: stage, born: time.Now().UnixMilli(), log: filepath.Join(p.dir, o.id+".log")}
	if w.cmd, err = p.start(o.id, nil, append([]string{self}, o.args()...)...); err != nil {
		return nil, err
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(20 * time.Millisecond) {
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", o.address)
		if err == nil {
			_ = c.Close()
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("worker %s does not listen", o.id)
		}
	}
	w.register(p)
	return w, nil
}

// register writes the worker's entry to the store.
func (w *workerProcess) register(p *play) {
	p.store.Put(entryKey(w.id), w.entry())
}

// entry returns the worker's next entry.
func (w *workerProcess) entry() map[string]any {
	w.seq++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": "z", "version": "v1", "slots": 48, "state": "ready",
		"cold-remaining-ms": 0, "seq": w.seq, "born": w.born,
	}
	if w.stage != "" {
		entry["stage"] = w.stage
	}
	return entry
}

// workerEvent is a line of a worker's log.
type workerEvent struct {
	at              time.Time
	event, id, path string
}

// events returns what a worker has written.
func (w *workerProcess) events() ([]workerEvent, error) {
	b, err := os.ReadFile(w.log)
	if err != nil {
		return nil, err
	}
	var out []workerEvent
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) != 4 {
			continue
		}
		ms, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil {
			return nil, err
		}
		out = append(out, workerEvent{time.UnixMilli(ms), f[1], f[2], f[3]})
	}
	return out, nil
}
