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

const (
	// firstPort and ports are a range below the one that the system takes outgoing connections
	// from. A port from that one is sometimes taken by a connection before the program listens.
	firstPort = 10_000
	ports     = 20_000
	portTries = 100
)

// freeAddress returns a loopback address that no process listens on.
func freeAddress() (string, error) {
	var err error
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)) //nolint:gosec // a port needs no secrecy
		var l net.Listener
		if l, err = net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no free port: %w", err)
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
