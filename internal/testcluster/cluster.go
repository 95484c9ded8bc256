package testcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/document/registry"
	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/instancewire"
	"github.com/quetzallug/quetzallug/kernel"
	"github.com/quetzallug/quetzallug/modules/kvhttp"
)

const (
	// Name is the cluster name of all processes.
	Name = "test"
	// Key is the key that all processes share.
	Key = "test-key"
	// stopTimeout limits the graceful shutdown of one process at the end of a run.
	stopTimeout = 30 * time.Second
	// readyTimeout leaves ample time for a process to start on a busy machine.
	readyTimeout      = 60 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// Config describes the processes of a cluster.
type Config struct {
	// Bin is the directory of the built programs, Dir the directory for log files.
	Bin, Dir string
	Entries  int
	Pools    []Pool
	// EntryArgs, SidecarArgs and EngineArgs are appended to the arguments of these processes.
	EntryArgs, SidecarArgs, EngineArgs []string
	// KVArgs are appended to the arguments of the key-value service.
	KVArgs []string
	// ListLag is the delay after which a change becomes visible in the instance list.
	ListLag time.Duration
	// DataCentres are assigned to the entries in rotation. If empty, three defaults are used.
	DataCentres []string
	// ForwardKV connects each entry to the key-value service through a Forwarder.
	ForwardKV bool
}

// Pool describes the backend servers of a service in one data centre.
type Pool struct {
	Service    string
	DataCentre string
	Workers    int
	// Plain selects plain backend servers instead of engines.
	Plain bool
	// CheckFence makes the engines refuse orders with an outdated fence number.
	CheckFence bool
	// Forward connects the entries to each sidecar through a Forwarder.
	Forward bool
}

// Entry is a running entry process.
type Entry struct {
	*Process
	ID string
	// Address serves callers. PeerAddress serves the other processes of the cluster.
	Address, PeerAddress string
	// KVLink forwards the entry's connections to the key-value service if Config.ForwardKV is set, otherwise
	// it is nil.
	KVLink   *Forwarder
	instance external.Instance
}

// Worker is a running sidecar with its backend server.
type Worker struct {
	Sidecar *Process
	Backend *Process
	ID      string
	Address string
	// BackendAddress is the URL of the backend server.
	BackendAddress string
	Pool           Pool
	// Link forwards the connections of the entries to the sidecar if Pool.Forward is set, otherwise it is nil.
	Link     *Forwarder
	instance external.Instance
}

// Cluster is a set of running entries, sidecars and stand-ins.
type Cluster struct {
	cfg                             Config
	kvURL, instancesURL, weightsURL string
	KVProcess                       *Process
	Entries                         []*Entry
	Workers                         []*Worker

	mu         sync.Mutex
	processes  []*Process
	forwarders []*Forwarder
}

// Start starts the stand-ins, sidecars and entries. It waits until the stand-ins of the platform
// accept requests; WaitServing waits for the entries.
func Start(ctx context.Context, cfg Config) (*Cluster, error) {
	if len(cfg.DataCentres) == 0 {
		cfg.DataCentres = []string{"joburg-cbd", "pta-east", "midrand"}
	}
	c := &Cluster{cfg: cfg}
	if err := c.startAll(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) startAll(ctx context.Context) error {
	if err := c.startPlatform(ctx); err != nil {
		return err
	}
	for _, p := range c.cfg.Pools {
		for i := range p.Workers {
			if err := c.startWorker(ctx, p, i); err != nil {
				return err
			}
		}
	}
	for i := range c.cfg.Entries {
		if err := c.startEntry(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startPlatform(ctx context.Context) error {
	var err error
	if c.KVProcess, c.kvURL, err = c.startStandin("kv", "kv", c.cfg.KVArgs...); err != nil {
		return err
	}
	if _, c.instancesURL, err = c.startStandin("instances", "instances", "--lag", c.cfg.ListLag.String()); err != nil {
		return err
	}
	if _, c.weightsURL, err = c.startStandin("weights", "weights", "--rate", strconv.Itoa(64<<30)); err != nil {
		return err
	}
	return errors.Join(waitReachable(ctx, c.kvURL), waitReachable(ctx, c.instancesURL), waitReachable(ctx, c.weightsURL))
}

// startStandin runs quetzallug-standin with the subcommand given as kind, in a process called name. It
// returns the process and its URL.
func (c *Cluster) startStandin(name, kind string, args ...string) (*Process, string, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	p, err := c.startProcess(name, "quetzallug-standin", append([]string{kind, "--listen", addr}, args...))
	return p, "http://" + addr, err
}

// startProcess starts a program and records it for Stop.
func (c *Cluster) startProcess(name, program string, args []string) (*Process, error) {
	p := &Process{
		Name: name, LogPath: filepath.Join(c.cfg.Dir, name+".log"),
		bin: filepath.Join(c.cfg.Bin, program), args: args,
		env: []string{"QUETZALLUG_KEY=" + Key, "GOMAXPROCS=2"},
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes = append(c.processes, p)
	return p, nil
}

func (c *Cluster) startWorker(ctx context.Context, p Pool, i int) error {
	id := fmt.Sprintf("%s-%s-%d", p.Service, p.DataCentre, i)
	kind, args := "engine", append([]string{"--name", id, "--seed", strconv.Itoa(i + 1), "--check-fence=" + strconv.FormatBool(p.CheckFence)}, c.cfg.EngineArgs...)
	if p.Plain {
		kind, args = "backend", nil
	}
	w := &Worker{ID: id, Pool: p}
	var err error
	if w.Backend, w.BackendAddress, err = c.startStandin(id+"-backend", kind, args...); err != nil {
		return err
	}
	if w.Address, err = freeAddress(); err != nil {
		return err
	}
	sidecar := append([]string{
		"sidecar", "--cluster", Name, "--instance", id, "--data-centre", p.DataCentre, "--listen", w.Address,
		"--service", p.Service, "--backend", map[bool]string{true: "plain", false: "engine"}[p.Plain],
		"--backend-address", w.BackendAddress, "--weights-address", c.weightsURL,
		"--kv-address", c.kvURL, "--instances-address", c.instancesURL, "--lame-duck", "500ms",
	}, c.cfg.SidecarArgs...)
	if w.Sidecar, err = c.startProcess(id, "quetzallugd", sidecar); err != nil {
		return err
	}
	w.instance = external.Instance{
		ID: id, Role: external.RoleSidecar, Service: p.Service, DataCentre: p.DataCentre, Address: w.Address, State: external.InstanceLive,
	}
	if p.Forward {
		if w.Link, err = c.startForwarder(w.Address); err != nil {
			return err
		}
		w.instance.Address = w.Link.Address()
	}
	c.Workers = append(c.Workers, w)
	return c.register(ctx, w.instance)
}

func (c *Cluster) startEntry(ctx context.Context, i int) error {
	e := &Entry{ID: fmt.Sprintf("entry-%d", i)}
	var err error
	if e.Address, err = freeAddress(); err != nil {
		return err
	}
	if e.PeerAddress, err = freeAddress(); err != nil {
		return err
	}
	kvURL := c.kvURL
	if c.cfg.ForwardKV {
		if e.KVLink, err = c.startForwarder(strings.TrimPrefix(c.kvURL, "http://")); err != nil {
			return err
		}
		kvURL = "http://" + e.KVLink.Address()
	}
	dc := c.cfg.DataCentres[i%len(c.cfg.DataCentres)]
	args := append([]string{
		"entry", "--cluster", Name, "--instance", e.ID, "--data-centre", dc,
		"--listen", e.Address, "--peer-listen", e.PeerAddress, "--kv-address", kvURL,
		"--instances-address", c.instancesURL, "--instances-poll", "200ms", "--plan-interval", "1s", "--lame-duck", "500ms",
	}, c.cfg.EntryArgs...)
	if e.Process, err = c.startProcess(e.ID, "quetzallugd", args); err != nil {
		return err
	}
	c.Entries = append(c.Entries, e)
	e.instance = external.Instance{
		ID: e.ID, Role: external.RoleEntry, DataCentre: dc, Address: e.PeerAddress, State: external.InstanceLive,
	}
	return c.register(ctx, e.instance)
}

// register adds an instance to the platform's instance list.
func (c *Cluster) register(ctx context.Context, instance external.Instance) error {
	return post(ctx, c.instancesURL+instancewire.PathRegister, instancewire.Registration{Instance: instance, TTLMS: time.Hour.Milliseconds()})
}

// Leave marks an instance as leaving in the instance list.
func (c *Cluster) Leave(ctx context.Context, id string) error {
	return post(ctx, c.instancesURL+instancewire.PathLeave, instancewire.InstanceRef{ID: id})
}

// SetKVFaults sets the faults that the key-value service injects.
func (c *Cluster) SetKVFaults(ctx context.Context, faults any) error {
	return post(ctx, c.kvURL+"/faults", faults)
}

// KVCalls decodes the call statistics of the key-value service into out.
func (c *Cluster) KVCalls(ctx context.Context, out any) error { return get(ctx, c.kvURL+"/calls", out) }

// KVAddress returns the URL of the key-value service.
func (c *Cluster) KVAddress() string { return c.kvURL }

// InstancesAddress returns the URL of the instance list.
func (c *Cluster) InstancesAddress() string { return c.instancesURL }

// KV returns a client of the key-value service.
func (c *Cluster) KV(ctx context.Context) (external.KV, error) {
	return kernel.Load[external.KV](ctx, kvhttp.ID, kernel.Settings{"address": c.kvURL})
}

// Apply applies a document file as the next revision of its service with the command line tool. The
// file's base name is the name of the service.
func (c *Cluster) Apply(ctx context.Context, file string) error {
	kv, err := c.KV(ctx)
	if err != nil {
		return err
	}
	var base uint64
	if r, err := registry.Get(ctx, kv, trimExtension(filepath.Base(file))); err == nil {
		base = r.Revision
	}
	_, err = c.Tool(ctx, "apply", file, "--base", strconv.FormatUint(base, 10))
	return err
}

// Tool runs the command line tool against the cluster and returns its standard output.
func (c *Cluster) Tool(ctx context.Context, args ...string) (string, error) {
	args = append(args, "--cluster", Name, "--kv-address", c.kvURL)
	for _, e := range c.Entries {
		args = append(args, "--entry", e.PeerAddress)
	}
	cmd := exec.CommandContext(ctx, filepath.Join(c.cfg.Bin, "quetzallug"), args...)
	cmd.Env = append(os.Environ(), "QUETZALLUG_KEY="+Key)
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		return "", fmt.Errorf("quetzallug %s: %w: %s", args[0], err, stderr.String())
	}
	return string(out), nil
}

func trimExtension(name string) string { return name[:len(name)-len(filepath.Ext(name))] }

// WaitServing repeats the given request to each entry until it is answered with status 200.
func (c *Cluster) WaitServing(ctx context.Context, method, path, body string) error {
	for _, e := range c.Entries {
		err := retryUntilReady(ctx, func() error {
			req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Address+path, bytes.NewBufferString(body))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b, _ := io.ReadAll(resp.Body)
				return fmt.Errorf("status %d: %s", resp.StatusCode, b)
			}
			return nil
		})
		if err != nil {
			return fmt.Errorf("entry %s: %w", e.ID, err)
		}
	}
	return nil
}

// Stop releases the forwarders, resumes paused processes and stops all that still run: entries, then
// sidecars, then stand-ins. It closes the forwarders last.
func (c *Cluster) Stop() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries, sidecars, standins []*Process
	for _, p := range c.processes {
		switch p.args[0] {
		case "entry":
			entries = append(entries, p)
		case "sidecar":
			sidecars = append(sidecars, p)
		default:
			standins = append(standins, p)
		}
	}
	for _, f := range c.forwarders {
		f.Hold(false, false)
	}
	err := errors.Join(stopAll(entries), stopAll(sidecars), stopAll(standins))
	for _, f := range c.forwarders {
		f.Close()
	}
	return err
}

func stopAll(processes []*Process) error {
	var wg sync.WaitGroup
	errs := make([]error, len(processes))
	for i, p := range processes {
		wg.Go(func() {
			_ = p.Resume()
			errs[i] = p.Stop(stopTimeout)
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}

func waitReachable(ctx context.Context, url string) error {
	return retryUntilReady(ctx, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
}

// retryUntilReady calls attempt until it succeeds, and returns its last error after readyTimeout or if ctx ends.
func retryUntilReady(ctx context.Context, attempt func() error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readyPollInterval):
		}
	}
}

func post(ctx context.Context, url string, request any) error {
	b, err := json.Marshal(request)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	return sendRequest(req, nil)
}

func get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	return sendRequest(req, out)
}

// sendRequest sends a request and decodes the response into out, unless out is nil.
func sendRequest(req *http.Request, out any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d", req.Method, req.URL, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
