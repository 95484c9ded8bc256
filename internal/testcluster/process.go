// Package testcluster runs the daemon and the stand-ins as separate processes on loopback, for
// end-to-end tests and benchmarks.
package testcluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Process is one started process.
type Process struct {
	Name    string
	LogPath string

	args []string
	bin  string
	env  []string
	cmd  *exec.Cmd
	done chan error
}

// NewProcess starts a program with its output appended to a log file.
func NewProcess(name, bin, logPath string, args []string) (*Process, error) {
	p := &Process{Name: name, LogPath: logPath, bin: bin, args: args}
	return p, p.start()
}

// FreeAddress returns a loopback address that no process listens on, a new one at each call.
func FreeAddress() (string, error) { return freeAddress() }

// start starts the process with its output appended to its log file.
func (p *Process) start() error {
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.bin, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	err := <-p.done
	p.done <- err
}

// Pause stops the process from running until Resume.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop asks the process to stop gracefully and returns its error. It kills the process at the
// bound.
func (p *Process) Stop(bound time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		p.done <- nil
		return err
	case <-time.After(bound):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, bound)
	}
}

// Restart starts the process again after it has ended.
func (p *Process) Restart() error { return p.start() }

// Ports of the processes lie below the usual range of ephemeral ports (from 32768 on). A port of
// that range may become the source port of a connection before its process listens, or while the
// process restarts, which then fails with "address already in use".
const (
	firstPort = 10_000
	lastPort  = 31_999
	portTries = 100
)

var ports struct {
	sync.Mutex
	given map[int]bool
}

// freeAddress returns a loopback address that no process listens on, a new one at each call.
func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.given == nil {
		ports.given = map[int]bool{}
	}
	var last error
	for range portTries {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		if ports.given[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			last = err
			continue
		}
		ports.given[port] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port after %d tries: %w", portTries, last)
}

// Build builds the programs into dir.
func Build(root, dir string) error {
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
