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

// The streams of the worker processes.
const (
	unframedEvents   = 40
	unframedInterval = 20 * time.Millisecond
	// workerProcess is the first argument of a worker process; its ID and the address to listen on follow.
	workerProcess = "worker-process"
)

// runWorkerProcess is a worker in a process of its own. Its answers are streams that have no length and end with their
// channel. It writes to its output the address that it listens on, and a line for each run that begins and ends.
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
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		header("Attempt-Id"), request, header("Response-Signature"), site.Signature(id, request))
	for n := 1; err == nil && n <= unframedEvents; n++ {
		time.Sleep(unframedInterval)
		_, err = io.WriteString(c, site.Event(request, n))
	}
	fmt.Println("ends", request, err == nil)
}

// process is a worker process as the script knows it.
type process struct {
	s           *system
	id, address string
	cmd         *exec.Cmd
}

// startProcess starts a worker process and registers it.
func (s *system) startProcess(id, address string, ran *runs) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{s: s, id: id, cmd: exec.Command(self, workerProcess, id, address)}
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
		"service": "llm", "address": p.address, "zone": "z", "version": "v1", "slots": 48, "state": "ready", "cold-remaining-ms": 0,
		"seq": 1, "born": time.Now().UnixMilli(),
	})
	s.note("worker %s at %s registers, process %d", id, p.address, p.cmd.Process.Pid)
	return p, nil
}

// kill ends the process as a crash does.
func (p *process) kill() {
	if p.cmd.ProcessState == nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	}
}

// playUnframedCrash kills a worker process in the middle of streams that have no length and end with their channel. A
// client may get a stream that ends early, but none that looks complete.
func playUnframedCrash(s *system) (bool, error) {
	const (
		workers  = 4
		gateways = 2
		crashes  = 8
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
	all := make([]*process, workers)
	for i := range all {
		var err error
		if all[i], err = s.startProcess(fmt.Sprintf("i-%d", i), s.address(100+i)+":0", ran); err != nil {
			return false, err
		}
	}
	if err := s.startGateways(gateways); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var whole, cut, others, wrong atomic.Int64
	end := time.Now().Add((crashes + 1) * crashEvery)
	for _, g := range s.gateways {
		c := &channels{address: g.front}
		wg.Go(func() {
			for time.Now().Before(end) {
				wg.Go(func() {
					a := c.do(&call{method: http.MethodPost, target: "/ask/a", limit: 5 * time.Second, header: prompt(79, 141, unframedEvents), body: "b"})
					want := wholeStream(a.id, unframedEvents)
					s.note("client got %d for %s, %d bytes of %d (%v)", a.status, a.id, len(a.body), len(want), a.err)
					switch {
					case a.err == nil && a.status == http.StatusOK && a.body == want:
						whole.Add(1)
					case a.err == nil && a.status == http.StatusOK:
						wrong.Add(1)
						s.note("ORDER: %s ended as complete (length %q, signature %q) after %d of %d events; it ran on %s", a.id, a.header.Get("Content-Length"), a.header.Get(header("Response-Signature")),
							strings.Count(a.body, "\n\n"), unframedEvents, strings.Join(ran.of(a.id), " and "))
					case a.status == http.StatusOK:
						cut.Add(1)
					default:
						others.Add(1)
					}
				})
				time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
			}
		})
	}
	if s.trouble {
		for i := range crashes {
			time.Sleep(crashEvery - downFor)
			old := all[i%workers]
			s.note("worker %s crashes", old.id)
			old.kill()
			time.AfterFunc(gone, func() { s.store.Remove(path.Join("servers", old.id)) })
			time.Sleep(downFor)
			var err error
			if all[i%workers], err = s.startProcess(fmt.Sprintf("i-%d-%d", i%workers, i), old.address, ran); err != nil {
				return false, err
			}
		}
	}
	wg.Wait()
	s.note("%d streams whole, %d cut and seen to be so, %d cut and complete to the client, %d other answers", whole.Load(), cut.Load(), wrong.Load(), others.Load())
	return wrong.Load() > 0, nil
}
