package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

// The answers of the worker processes: streams, and plain ones that come in a few parts.
const (
	unframedEvents   = 40
	unframedInterval = 20 * time.Millisecond
	plainParts       = 4
	plainInterval    = 10 * time.Millisecond
	// workerProcess is the first argument of a worker process; its ID and the address to listen on follow.
	workerProcess = "worker-process"
)

// plainPart returns a part of a plain answer of 800 bytes.
func plainPart(id string, n int) string {
	return fmt.Sprintf("%-199s\n", fmt.Sprintf("part %d of %s", n, id))
}

// wholePlain returns a whole plain answer.
func wholePlain(id string) string {
	var b strings.Builder
	for n := range plainParts {
		b.WriteString(plainPart(id, n))
	}
	return b.String()
}

// runWorkerProcess is a worker in a process of its own. Its answers have no length and end with their channel. It writes to its output the address that it listens on, and a line for each run that begins and ends.
func runWorkerProcess(id, address string) int {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	fmt.Println(l.Addr())
	for {
		c, err := l.Accept()
		if err != nil {
			return exitNotRun
		}
		go answerUnframed(id, c)
	}
}

func answerUnframed(id string, c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	request := r.Header.Get(header("Attempt-Id"))
	if expect := r.Header.Get(header("Expect-Instance")); expect != id {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
			header("Attempt-Id"), request, header("Instance-Id"), id)
		return
	}
	fmt.Println("runs", request)
	parts, interval, contentType, part := unframedEvents, unframedInterval, "text/event-stream", func(n int) string { return site.Event(request, n+1) }
	if strings.HasPrefix(r.URL.Path, orderPrefix) {
		parts, interval, contentType, part = plainParts, plainInterval, "text/plain", func(n int) string { return plainPart(request, n) }
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		header("Attempt-Id"), request, header("Response-Signature"), site.Signature(id, request), contentType)
	for n := 0; err == nil && n < parts; n++ {
		time.Sleep(interval)
		_, err = io.WriteString(c, part(n))
	}
	fmt.Println("ends", request, err == nil)
}

const (
	orderPrefix  = "/order/"
	streamPrefix = "/ask/"
)

// process is a worker process as the script knows it.
type process struct {
	s                    *system
	id, address, service string
	cmd                  *exec.Cmd
}

// startProcess starts a worker process and registers it.
func (s *system) startProcess(id, address, service string, ran *runs) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{s: s, id: id, service: service, cmd: exec.Command(self, workerProcess, id, address)}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	s.closers = append(s.closers, p.kill)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker process %s does not start", id)
	}
	p.address = lines.Text()
	go func() {
		for lines.Scan() {
			s.note("worker %s %s", id, lines.Text())
			if request, ok := strings.CutPrefix(lines.Text(), "runs "); ok {
				ran.add(request, id)
			}
		}
	}()
	s.store.Put(path.Join("servers", id), map[string]any{
		"service": service, "address": p.address, "zone": "z", "version": "v1", "slots": 48, "state": "ready", "cold-remaining-ms": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	s.note("worker %s of %s at %s registers, process %d", id, service, p.address, p.cmd.Process.Pid)
	return p, nil
}

// kill ends the process as a crash does.
func (p *process) kill() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// playUnframedCrash kills a worker process in the middle of answers that have no length and end with their channel. A
// client may get an answer that ends early, but none that looks complete.
func playUnframedCrash(s *system) (bool, error) {
	const (
		workers  = 4 // of each service
		gateways = 2
		crashes  = 10
		// Every so often a worker crashes. It is down for downFor; then one starts at its address, under another ID.
		crashEvery = 5 * time.Second
		downFor    = 2 * time.Second
		// gone is how long after a crash the entry is removed: three heartbeats after the last one.
		gone = 3 * time.Second
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	ran := &runs{}
	// The services take turns: every other worker is one of llm.
	all := make([]*process, 2*workers)
	for i := range all {
		var err error
		if all[i], err = s.startProcess(fmt.Sprintf("i-%d", i), s.address(100+i)+":0", []string{"llm", "api"}[i%2], ran); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	results := map[string]*unframedCounts{streamPrefix: {}, orderPrefix: {}}
	end := time.Now().Add((crashes + 1) * crashEvery)
	for _, g := range s.gateways {
		for prefix, counts := range results {
			c := &channels{address: g.front}
			wg.Go(func() {
				for time.Now().Before(end) {
					wg.Go(func() { s.askUnframed(c, prefix, counts, ran) })
					time.Sleep(time.Duration(20+rand.IntN(20)) * time.Millisecond)
				}
			})
		}
	}
	if s.trouble {
		for i := range crashes {
			time.Sleep(crashEvery - downFor)
			old := all[i%len(all)]
			s.note("worker %s of %s crashes", old.id, old.service)
			old.kill()
			time.AfterFunc(gone, func() { s.store.Remove(path.Join("servers", old.id)) })
			time.Sleep(downFor)
			var err error
			if all[i%len(all)], err = s.startProcess(fmt.Sprintf("i-%d-%d", i%len(all), i), old.address, old.service, ran); err != nil {
				return false, err
			}
		}
	}
	wg.Wait()
	wrong := int64(0)
	for prefix, n := range results {
		s.note("%s: %d answers whole, %d cut and seen to be so, %d cut and complete to the client, %d others", prefix, n.whole.Load(), n.cut.Load(), n.wrong.Load(), n.others.Load())
		wrong += n.wrong.Load()
	}
	return wrong > 0, nil
}

// unframedCounts counts what clients got.
type unframedCounts struct{ whole, cut, others, wrong atomic.Int64 }

// askUnframed sends one request and checks its answer.
func (s *system) askUnframed(c *channels, prefix string, counts *unframedCounts, ran *runs) {
	r := &call{method: http.MethodPost, target: prefix + "a", limit: 5 * time.Second, body: "b"}
	if prefix == streamPrefix {
		r.header = prompt(79, 141, unframedEvents)
	}
	a := c.do(r)
	want, rule := wholePlain(a.id), "MIXED"
	if prefix == streamPrefix {
		want, rule = wholeStream(a.id, unframedEvents), "ORDER"
	}
	s.note("client got %d for %s, %d bytes of %d (%v)", a.status, a.id, len(a.body), len(want), a.err)
	switch {
	case a.err == nil && a.status == http.StatusOK && a.body == want:
		counts.whole.Add(1)
	case a.err == nil && a.status == http.StatusOK:
		counts.wrong.Add(1)
		s.note("%s: %s ended as complete (length %q, signature %q) after %d of %d bytes; it ran on %s", rule, a.id, a.header.Get("Content-Length"),
			a.header.Get(header("Response-Signature")), len(a.body), len(want), strings.Join(ran.of(a.id), " and "))
	case a.status == http.StatusOK:
		counts.cut.Add(1)
	default:
		counts.others.Add(1)
	}
}
