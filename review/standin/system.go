package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

// header returns the full name of a header of the platform.
func header(name string) string { return "Quetzallug-" + name }

// system is a small deployment on loopback addresses: the store of the platform in this process, and gateways
// in processes of their own.
type system struct {
	folder, root, scratch string
	// trouble is false if the case is played without its disruption.
	trouble bool
	started time.Time
	store   *site.Store
	storeAt string
	// net is the second byte of all loopback addresses of this run.
	net      int
	gateways []*gateway
	closers  []func()

	mu     sync.Mutex
	record *os.File
}

// gateway is one process of the project.
type gateway struct {
	name, front, ready string
	cmd                *exec.Cmd
	exited             chan struct{}
}

func newSystem(folder string, trouble bool) (*system, error) {
	s := &system{folder: folder, root: filepath.Dir(filepath.Dir(folder)), trouble: trouble, started: time.Now(), store: site.NewStore()}
	var err error
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	if s.scratch, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err = s.takeNet(); err != nil {
		return nil, err
	}
	if s.storeAt, err = s.serve(s.address(1)+":0", s.store); err != nil {
		return nil, err
	}
	s.note("trouble: %v", trouble)
	return s, nil
}

// takeNet chooses loopback addresses that no other run on this machine uses: gateways have a fixed port for their metrics.
func (s *system) takeNet() error {
	const lockPort = ":9464"
	for range 50 {
		s.net = 10 + rand.IntN(200)
		if l, err := net.Listen("tcp", s.address(2)+lockPort); err == nil {
			s.closers = append(s.closers, func() { _ = l.Close() })
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// address returns the loopback address of a machine.
func (s *system) address(machine int) string { return fmt.Sprintf("127.%d.1.%d", s.net, machine) }

// serve serves h on an address and returns the address with its port.
func (s *system) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return l.Addr().String(), nil
}

// note writes a line to the record.
func (s *system) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case started.
func (s *system) close() {
	for _, g := range s.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	s.store.Close()
	for _, f := range s.closers {
		f()
	}
	_ = os.RemoveAll(s.scratch)
	_ = s.record.Close()
}

// putConfig writes the operator's configuration, which lies in a file of the case.
func (s *system) putConfig() error {
	b, err := os.ReadFile(filepath.Join(s.folder, "config.json"))
	if err != nil {
		return err
	}
	s.store.Put(path.Join("op", "config"), b)
	return nil
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// deployCommand returns the command of the deploy file for one machine.
func (s *system) deployCommand(values map[string]string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(s.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		command, ok := strings.CutPrefix(strings.TrimSpace(line), "run = ")
		if !ok {
			continue
		}
		var missing error
		command = placeholder.ReplaceAllStringFunc(strings.Trim(command, `"`), func(p string) string {
			v, ok := values[strings.Trim(p, "{}")]
			if !ok {
				missing = fmt.Errorf("no value for %s", p)
			}
			return v
		})
		return strings.Fields(command), missing
	}
	return nil, errors.New("no command in the deploy file")
}

// startGateway starts a gateway with the settings of a small deployment.
func (s *system) startGateway(n int) (*gateway, error) {
	ip := s.address(10 + n)
	ports, err := freePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: fmt.Sprintf("edge-z-%d", n), front: ports[0], ready: ports[1], exited: make(chan struct{})}
	args, err := s.deployCommand(map[string]string{
		"node-name": g.name, "zone": "z", "ip": ip, "listen.front": g.front, "listen.ready": g.ready, "platform.address": s.storeAt,
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "54", "bounds.budget-window-s": "10", "bounds.config-apply-ms": "2000",
		"bounds.drain-ms": "2000", "bounds.grace-s": "8", "limits.max-fds": "4100", "limits.memory-mb": "284", "bounds.lease-ms": "3000",
	})
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.scratch, g.name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd = exec.Command(args[0], args[1:]...)
	g.cmd.Dir, g.cmd.Stdout, g.cmd.Stderr = s.root, log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	s.gateways = append(s.gateways, g)
	return g, nil
}

// freePorts returns free addresses on an IP address.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// startGateways starts gateways and waits until they are ready. A gateway that ends at once, because another process
// has taken one of its ports, is started again.
func (s *system) startGateways(n int) error {
	for i := range n {
		if err := s.startUntilReady(i + 1); err != nil {
			return err
		}
	}
	return nil
}

// startTries is how often a gateway is started until it is ready, and readyWithin how long each start may take.
const (
	startTries  = 3
	readyWithin = 6 * time.Second
)

func (s *system) startUntilReady(n int) error {
	for range startTries {
		g, err := s.startGateway(n)
		if err != nil {
			return err
		}
		if s.waitReady(g) {
			s.note("%s is ready", g.name)
			return nil
		}
		log, _ := os.ReadFile(filepath.Join(s.scratch, g.name+".log"))
		s.note("%s is not ready; the end of its log: %s", g.name, log[max(0, len(log)-600):])
		_ = g.cmd.Process.Kill()
		<-g.exited
		s.gateways = s.gateways[:len(s.gateways)-1]
	}
	return fmt.Errorf("gateway %d is not ready", n)
}

// waitReady reports whether a gateway becomes ready.
func (s *system) waitReady(g *gateway) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		select {
		case <-g.exited:
			return false
		default:
		}
		resp, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
