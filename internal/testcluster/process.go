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

// Process is a child process whose output is appended to a log file.
type Process struct {
	Name    string
	LogPath string

	args []string
	bin  string
	env  []string
	cmd  *exec.Cmd
	done chan error
}

// NewProcess starts a program that inherits the environment.
func NewProcess(name, bin, logPath string, args []string) (*Process, error) {
	p := &Process{Name: name, LogPath: logPath, bin: bin, args: args}
	return p, p.start()
}

// FreeAddress returns a loopback address that no process listens on. Each call returns a different one.
func FreeAddress() (string, error) { return freeAddress() }

func (p *Process) start() error {
	logFile, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.cmd = exec.Command(p.bin, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan<- error) { done <- cmd.Wait() }(p.cmd, p.done)
	return nil
}

// Exited reports whether the process has ended by itself.
func (p *Process) Exited() bool {
	select {
	case err := <-p.done:
		p.done <- err
		return true
	default:
		return false
	}
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

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	err := <-p.done
	p.done <- err // put back, so that a later Kill or Stop does not block
}

// Pause suspends the process with SIGSTOP until Resume is called.
func (p *Process) Pause() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Stop sends SIGTERM, waits for the process to exit and returns its exit error. If the process is
// still running after the timeout, Stop kills it and returns an error.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		p.done <- nil // so that a later Kill or Stop does not block
		return err
	case <-time.After(timeout):
		p.Kill()
		return fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Restart starts the program again after the process has exited.
func (p *Process) Restart() error { return p.start() }

// Listening ports are chosen below the default range of ephemeral ports, which begins at 32768. The
// kernel may use a port of that range as the source port of an outgoing connection before the process
// listens on it or while the process restarts; listening then fails with "address already in use".
const (
	minPort         = 10_000
	maxPort         = 31_999
	maxPortAttempts = 100
)

var ports struct {
	sync.Mutex
	allocated map[int]bool
}

func freeAddress() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.allocated == nil {
		ports.allocated = map[int]bool{}
	}
	var lastErr error
	for range maxPortAttempts {
		port := minPort + rand.IntN(maxPort-minPort+1)
		if ports.allocated[port] {
			continue
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		ports.allocated[port] = true
		return address, l.Close()
	}
	return "", fmt.Errorf("no free port found in %d attempts: %w", maxPortAttempts, lastErr)
}

// Build builds all commands of the module at root into dir.
func Build(root, dir string) error {
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build: %w\n%s", err, out)
	}
	return nil
}
