package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

// The flags that the deploy file fills from the bounds and limits of a site.
const (
	boundsOfHalteBoards = "--retry-share 0.2 --retry-slack 54 --retry-window 10s --config-bound 2000ms --drain-bound 2000ms --grace 8s --max-files 4100 --machine-memory 284 --order-guard 3000ms"
	boundsOfAgram       = "--retry-share 0.2 --retry-slack 104 --retry-window 10s --config-bound 3000ms --drain-bound 3000ms --grace 8s --max-files 4100 --machine-memory 184 --order-guard 3000ms"
)

// world is one small deployment.
type world struct {
	trouble bool
	dir     string
	started time.Time
	store   *site.Store
	// storeAddress is where the store listens.
	storeAddress string
	// bounds are the flags that the deploy file fills from the bounds and limits of the site.
	bounds   string
	gateways []*gatewayProcess

	mu      sync.Mutex
	record  *os.File
	closers []func()
	ids     atomic.Int64
}

type gatewayProcess struct {
	*testcluster.Process
	address, ready string
	// restart starts the gateway at other addresses.
	restart func() (*gatewayProcess, error)
}

// freePort in the value of an environment variable stands for a free address.
const freePort = "(free)"

func newWorld(recordPath string) (*world, error) {
	f, err := os.Create(recordPath) //nolint:gosec // the path is an argument
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), store: site.NewStore(), record: f, bounds: boundsOfHalteBoards}
	w.note("trouble: %v", w.trouble)
	w.storeAddress, err = w.serve(w.store)
	return w, err
}

// close ends all processes and listeners.
func (w *world) close() {
	for _, g := range w.gateways {
		g.Kill()
	}
	w.store.Close()
	w.mu.Lock()
	closers := w.closers
	w.mu.Unlock()
	for _, c := range closers {
		c()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	_ = w.record.Close()
}

// note writes a line to the record and the standard output.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintln(w.record, line)
	if os.Getenv("QUIET") == "" {
		fmt.Println(line)
	}
}

// recordOnly writes a line to the record only.
func (w *world) recordOnly(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// serve serves a handler on a free loopback port.
func (w *world) serve(h http.Handler) (address string, err error) {
	address, stop, err := listen(h)
	if err == nil {
		w.onClose(stop)
	}
	return address, err
}

func listen(h http.Handler) (address string, stop func(), err error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), func() { _ = srv.Close() }, nil
}

func (w *world) onClose(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closers = append(w.closers, f)
}

// left returns how much time of the case is left.
func (w *world) left() time.Duration { return playTime - time.Since(w.started) }

// startGateway starts a gateway as the deploy file does, with further environment variables.
func (w *world) startGateway(name, zone string, env ...string) error {
	g, err := w.newGateway(name, zone, env)
	if err == nil {
		w.gateways = append(w.gateways, g)
	}
	return err
}

func (w *world) newGateway(name, zone string, env []string) (*gatewayProcess, error) {
	var addresses [3]string
	for i := range addresses {
		a, err := testcluster.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses[i] = a
	}
	args := strings.Fields(fmt.Sprintf("gateway --instance %s --data-centre %s --listen %s --ready-listen %s --metrics-listen %s --adapter-address %s %s",
		name, zone, addresses[0], addresses[1], addresses[2], w.storeAddress, w.bounds))
	w.note("gateway %s: quetzallugd %s; %s", name, strings.Join(args, " "), strings.Join(env, " "))
	for _, v := range env {
		key, value, _ := strings.Cut(v, "=")
		if value == freePort {
			a, err := testcluster.FreeAddress()
			if err != nil {
				return nil, err
			}
			value = a
		}
		if err := os.Setenv(key, value); err != nil {
			return nil, err
		}
	}
	p, err := testcluster.NewProcess(name, filepath.Join("target", "quetzallugd"), filepath.Join(w.dir, name+".log"), args)
	if err != nil {
		return nil, err
	}
	return &gatewayProcess{p, addresses[0], addresses[1], func() (*gatewayProcess, error) { return w.newGateway(name, zone, env) }}, nil
}

// waitReady waits until all gateways say that they are ready.
func (w *world) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i, g := range w.gateways {
			if g.Exited() {
				// Another process has taken one of its ports.
				started, err := g.restart()
				if err != nil {
					return err
				}
				w.gateways[i] = started
				continue
			}
			resp, err := client.Get("http://" + g.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.gateways) {
			return nil
		}
	}
	return fmt.Errorf("the gateways did not become ready")
}

// newID returns the ID of a request.
func (w *world) newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a30000+w.ids.Add(1)) }

// object is a JSON object.
type object = map[string]any

// decode decodes the JSON body of a request.
func decode(r io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(r, 1<<20)).Decode(into)
}
