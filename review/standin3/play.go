package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

const (
	// drainTime is the bound drain-ms that the gateways are started with.
	drainTime    = 2 * time.Second
	readyTimeout = 20 * time.Second
	// endWait is how long the processes have to end after a kill.
	endWait = 5 * time.Second
)

// play is one run of a case: the store, and the processes that were started.
type play struct {
	trouble bool
	began   time.Time
	dir     string
	ownDir  bool
	store   *site.Store
	// turnAway decides which calls of a gateway the store turns away; nil for none.
	turnAway func(gateway string, r *http.Request) bool

	mu      sync.Mutex
	record  *os.File
	procs   []*exec.Cmd
	servers []*http.Server
	host    int
}

func newPlay(record, logs string) (*play, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f, store: site.NewStore(), dir: logs}
	if logs == "" {
		p.ownDir = true
		if p.dir, err = os.MkdirTemp("", "review"); err != nil {
			return nil, err
		}
	}
	p.note("disruption: %t", p.trouble)
	return p, nil
}

// note writes a line to the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, _ = fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (p *play) close() {
	p.mu.Lock()
	procs := p.procs
	p.mu.Unlock()
	for _, c := range procs {
		kill(c)
	}
	p.store.Close()
	for _, s := range p.servers {
		_ = s.Close()
	}
	if p.ownDir {
		_ = os.RemoveAll(p.dir)
	}
	_ = p.record.Close()
}

// kill ends a process and waits for it.
func kill(c *exec.Cmd) {
	_ = c.Process.Kill()
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(endWait):
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(ip string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts a process whose output goes to a file.
func (p *play) start(name string, env []string, args ...string) (*exec.Cmd, error) {
	out, err := os.Create(filepath.Join(p.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	c := exec.Command(args[0], args[1:]...)
	c.Env, c.Stdout, c.Stderr = env, out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.procs = append(p.procs, c)
	p.mu.Unlock()
	return c, nil
}

// deployCommand returns the command of the gateways in the deploy file.
func deployCommand() (string, error) {
	f, err := os.Open("deploy/system.toml")
	if err != nil {
		return "", err
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		if line, ok := strings.CutPrefix(s.Text(), `run = "`); ok {
			return strings.TrimSuffix(line, `"`), nil
		}
	}
	return "", errors.New("the deploy file has no command")
}

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// gateway is a gateway process.
type gateway struct {
	name, front, ready string
	env, args          []string
	starts             int
	cmd                *exec.Cmd
}

// startGateway starts a gateway with the command of the deploy file and the settings of a small deployment. Each has a
// loopback address and a front of the store of its own.
func (p *play) startGateway(name string) (*gateway, error) {
	p.host++
	ip := fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250, p.host)
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name}
	var addresses [3]string
	for i := range addresses {
		if addresses[i], err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	g.front, g.ready = addresses[0], addresses[1]
	store, err := p.serveStore(name)
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"node-name": name, "zone": "z", "listen.front": g.front, "listen.ready": g.ready, "ip": ip, "platform.address": store,
		"bounds.retry-budget-ratio": "0.2", "bounds.budget-slack": "54", "bounds.budget-window-s": "10", "bounds.config-apply-ms": "2000",
		"bounds.drain-ms": fmt.Sprint(drainTime.Milliseconds()), "bounds.grace-s": "8", "limits.max-fds": "4100", "limits.memory-mb": "284",
		"bounds.lease-ms": "3000",
	}
	var missing string
	command = placeholder.ReplaceAllStringFunc(command, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = s
		}
		return v
	})
	if missing != "" {
		return nil, fmt.Errorf("the command of the deploy file has the unknown field %s", missing)
	}
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "QUETZALLUG_PEER_LISTEN=" + addresses[2]}
	g.env, g.args = env, strings.Fields(command)
	return g, p.restart(g)
}

// restart starts the process of a gateway, for the first time or again.
func (p *play) restart(g *gateway) error {
	var err error
	g.starts++
	g.cmd, err = p.start(fmt.Sprintf("%s-%d", g.name, g.starts), g.env, g.args...)
	return err
}

// serveStore serves the store for one gateway.
func (p *play) serveStore(name string) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.turnAway != nil && p.turnAway(name, r) {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		p.store.ServeHTTP(w, r)
	})}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// waitReady waits until a gateway says that it is ready.
func (g *gateway) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		// deploy/wire.toml names the readiness check so.
		resp, err := client.Get("http://" + g.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready", g.name)
}
