// Package clients runs a real gateway process against crowds of clients that misbehave, on every listener, and checks
// that the process lives, stays within its memory and its descriptors, and serves ordinary callers. It checks no times
// and no fraction of served requests, which depend on the speed of the machine.
package clients

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

var (
	crowdSize = flag.Int("crowd", 700, "connections of each crowd")
	maxFiles  = flag.Int("files", 400, "descriptors that a gateway may open")
	memoryMiB = flag.Int("machine", 64, "memory of a gateway in MiB")
	logs      = flag.String("logs", "", "directory in which to keep the logs of the gateways")
)

const (
	// hold is how long a crowd stays after all of its connections were opened.
	hold = 150 * time.Millisecond
	// sampleInterval is the time between two counts of a gateway's descriptors.
	sampleInterval = 2 * time.Millisecond
	// answerTimeout ends the wait for an answer that does not come. It checks no speed.
	answerTimeout = 30 * time.Second
	// crowdAddress, callerAddress and checkerAddress are the addresses of the crowd, of ordinary callers and of the
	// platform's readiness check, which come from different machines.
	crowdAddress   = "127.0.0.2"
	callerAddress  = "127.0.0.3"
	checkerAddress = "127.0.0.4"
	hostname       = "a.example"
	apiKey         = "key-of-clients"
	// largeAnswer is the size of an answer that fills the buffers of a connection whose client does not read.
	largeAnswer = 1 << 20
	// maxBody is the limit of request bodies of the deployments.
	maxBody = 4_194_304
)

// platform is a store and a worker in the test process.
type platform struct {
	store   *site.Store
	address string
	// storeFault returns what the store answers instead; nil if it is sound.
	storeFault atomic.Pointer[func(r *http.Request) endless]
}

// newPlatform starts a store and workers. The configuration has client accounts or none.
func newPlatform(t testing.TB, accounts bool) *platform {
	p := &platform{store: site.NewStore()}
	serve := func(h http.Handler) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		srv := &http.Server{Handler: h}
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
		return l.Addr().String()
	}
	p.address = serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fault := p.storeFault.Load()
		if fault == nil {
			p.store.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		writeEndless(r.Context(), c, (*fault)(r), "")
	}))
	t.Cleanup(p.store.Close)
	for i := range 3 {
		id := fmt.Sprintf("i-api-%d", i)
		w := site.NewWorker(site.WorkerConfig{ID: id, Service: "api", Zone: "z", Slots: 1000, Address: serve(worker(id))})
		w.Register(p.store)
	}
	type m = map[string]any
	newRouteTo := func(service, name, kind string, public bool) m {
		return m{
			"name": name, "hostname": hostname, "path-prefix": "/" + name + "/", "type": kind, "timeout-ms": 20_000, "target-latency-ms": 1000,
			"priority": 0, "service": service, "max-attempts": 2, "public": public,
		}
	}
	newRoute := func(name, kind string, public bool) m { return newRouteTo("api", name, kind, public) }
	config := m{
		"version": 1,
		"routes": []m{
			newRoute("read", "idempotent", false), newRoute("stream", "streaming", false), newRoute("open", "idempotent", true), newRoute("openstream", "streaming", true),
			newRouteTo("faulty", "faultyread", "idempotent", false), newRouteTo("faulty", "faultyonce", "non_idempotent", false), newRouteTo("faulty", "faultystream", "streaming", false),
		},
		"services": []m{
			{"name": "api", "health-path": "/health", "max-connections": 1000}, {"name": "faulty", "health-path": "/health", "max-connections": 1000},
		},
		"limits": m{"max-header-bytes": 16_384, "max-body-bytes": maxBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15_000},
	}
	if accounts {
		config["tenants"] = []m{{"name": "account-1", "api-keys": []string{apiKey}, "priority": 0}}
	}
	p.store.Put("op/config", config)
	return p
}

// worker answers all requests with signed answers: streams with events, paths with "large" with a large body.
func worker(id string) http.Handler {
	large := bytes.Repeat([]byte("a"), largeAnswer)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		attempt := r.Header.Get("Quetzallug-Attempt-Id")
		w.Header().Set("Quetzallug-Response-Signature", site.Signature(id, attempt))
		if attempt != "" {
			w.Header().Set("Quetzallug-Attempt-Id", attempt)
		}
		switch {
		case strings.Contains(r.URL.Path, "stream"):
			w.Header().Set("Content-Type", "text/event-stream")
			for i := range 2000 {
				if _, err := io.WriteString(w, site.Event(attempt, i+1)+":"+strings.Repeat(".", 500)+"\n\n"); err != nil {
					return
				}
				_ = http.NewResponseController(w).Flush()
				if i%100 == 99 {
					time.Sleep(time.Millisecond)
				}
			}
		case strings.Contains(r.URL.Path, "fast"):
			_, _ = io.WriteString(w, "ok")
		case strings.Contains(r.URL.Path, "large"):
			_, _ = w.Write(large)
		default:
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		}
	})
}

// gatewayProcess is a gateway under test.
type gatewayProcess struct {
	*testcluster.Process
	callers, ready, metrics string

	stop  context.CancelFunc
	group sync.WaitGroup
	// maxFiles is the largest number of descriptors seen.
	maxFiles int
}

func startGateway(t testing.TB, program, dir, storeAddress string) *gatewayProcess {
	g := &gatewayProcess{}
	for _, a := range []*string{&g.callers, &g.ready, &g.metrics} {
		address, err := testcluster.FreeAddress()
		require.NoError(t, err)
		*a = address
	}
	var err error
	g.Process, err = testcluster.NewProcess("edge", program, filepath.Join(dir, "edge.log"), []string{
		"gateway", "--instance", "edge", "--data-centre", "z", "--listen", g.callers, "--ready-listen", g.ready, "--metrics-listen", g.metrics,
		"--adapter-address", storeAddress, "--max-files", strconv.Itoa(*maxFiles), "--machine-memory", strconv.Itoa(*memoryMiB),
		"--lame-duck", "10ms", "--grace", "1s",
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.checkReady() == nil }, answerTimeout, 10*time.Millisecond, "the gateway does not become ready")
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.group.Go(func() {
		for ctx.Err() == nil {
			g.maxFiles = max(g.maxFiles, g.openFiles())
			time.Sleep(sampleInterval)
		}
	})
	return g
}

// openFiles returns the number of open descriptors of the process.
func (g *gatewayProcess) openFiles() int {
	d, err := os.Open(fmt.Sprintf("/proc/%d/fd", g.PID()))
	if err != nil {
		return 0
	}
	defer d.Close()
	names, _ := d.Readdirnames(-1)
	return len(names)
}

// peakMemory returns the peak resident memory of the process in MiB.
func (g *gatewayProcess) peakMemory(t testing.TB) float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.PID()))
	require.NoError(t, err, "the process has ended")
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(v)[0])
			require.NoError(t, err)
			return float64(kib) / 1024
		}
	}
	require.Fail(t, "the process has ended")
	return 0
}

// clientFrom returns a client that uses a new connection from an address for each request.
func clientFrom(address string) *http.Client {
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Timeout: answerTimeout, Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true}}
}

func expectOK(r *http.Request, from string) error {
	resp, err := clientFrom(from).Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return err
}

func (g *gatewayProcess) checkReady() error {
	r, err := http.NewRequest(http.MethodGet, "http://"+g.ready+"/readyz", nil)
	if err != nil {
		return err
	}
	return expectOK(r, checkerAddress)
}

func (g *gatewayProcess) ordinaryRequest() error {
	r, err := http.NewRequest(http.MethodPost, "http://"+g.callers+"/read/x", strings.NewReader(strings.Repeat("b", 600)))
	if err != nil {
		return err
	}
	r.Host = hostname
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Quetzallug-Attempt-Id", "ordinary")
	r.Header.Set("Quetzallug-Deadline-Ms", "10000")
	return expectOK(r, callerAddress)
}

// check checks the process after a crowd has left.
func (g *gatewayProcess) check(t *testing.T) {
	ordinary, ready := g.ordinaryRequest(), g.checkReady()
	g.stop()
	g.group.Wait()
	if g.Exited() {
		t.Fatal("the process has ended")
	}
	memory := g.peakMemory(t)
	t.Logf("%d descriptors of %d, %.1f MiB of %d", g.maxFiles, *maxFiles, memory, *memoryMiB)
	if ordinary != nil {
		t.Errorf("an ordinary request is not answered: %v", ordinary)
	}
	if ready != nil {
		t.Errorf("the readiness check is not answered: %v", ready)
	}
	if memory >= float64(*memoryMiB) {
		t.Errorf("peak memory %.1f MiB of %d", memory, *memoryMiB)
	}
	if g.maxFiles >= *maxFiles {
		t.Errorf("%d descriptors of %d", g.maxFiles, *maxFiles)
	}
	log, err := os.ReadFile(g.LogPath)
	require.NoError(t, err)
	if bytes.Contains(log, []byte("pool given up")) {
		t.Error("the process lost its lease")
	}
	if bytes.Contains(log, []byte("panic")) {
		t.Error("the process panicked")
	}
}
