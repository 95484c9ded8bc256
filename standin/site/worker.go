package site

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what a worker does wrong with one request.
type Fault int

// Faults of workers.
const (
	FaultNone       Fault = iota
	FaultShed             // refuses before running
	FaultError            // runs and answers 500
	FaultResetEarly       // closes without running
	FaultLost             // runs and closes without an answer
	FaultHang             // runs and says nothing until the caller leaves
	FaultTruncate         // breaks off in the middle of the answer
	FaultGarbage          // sends bytes that are no answer
	FaultExtra            // sends a second answer after the first
	FaultForeign          // sends an answer to another request first
	FaultUnsigned         // answers 200 without signature
	FaultUnframed         // sends the answer without length and closes
	FaultEarly            // answers before it has read the body
)

// Run is one request that a worker has begun to work on.
type Run struct {
	ID       string
	Worker   string
	Method   string
	Target   string
	Body     string
	Model    string
	Deadline int64
	Prefill  bool
	After    string
	Source   string
	Started  time.Time
	Ended    time.Time
	Finished bool
}

// Order is one accepted order.
type Order struct {
	Holder string
	Fence  uint64
	Stage  string
	At     time.Time
}

// WorkerConfig sets a worker.
type WorkerConfig struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Stage is empty for plain workers.
	Stage string
	// Work is the time of one plain request, or of one event of a stream.
	Work time.Duration
	// PerToken is the time to read one prompt token in the prefill stage; decode takes twice as long.
	PerToken time.Duration
	// RoleSwitch is how long a change of the stage takes.
	RoleSwitch time.Duration
	// Fault decides what goes wrong with a request; nil means nothing.
	Fault func(r *http.Request) Fault
	// LateOrders delays orders and loses their answers.
	LateOrders time.Duration
}

// Worker is a model worker or a plain worker. It is safe for concurrent use.
type Worker struct {
	cfg  WorkerConfig
	born int64

	mu       sync.Mutex
	stage    string
	busy     bool
	seq      int64
	state    string
	running  int
	arrivals []string
	runs     []*Run
	orders   []Order
	kept     map[string]bool
	handles  map[string]string
	freed    int
	// reading holds one token: prompts are read one after the other. A mutex would stop virtual time.
	reading chan struct{}
}

// NewWorker returns a worker that is ready.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{cfg: cfg, born: time.Now().UnixMilli(), stage: cfg.Stage, state: "ready", kept: map[string]bool{}, handles: map[string]string{}, reading: make(chan struct{}, 1)}
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.cfg.ID }

// Address returns the worker's address.
func (w *Worker) Address() string { return w.cfg.Address }

// SetFault changes what goes wrong.
func (w *Worker) SetFault(f func(*http.Request) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Fault = f
}

// Register writes the worker's entry to the store.
func (w *Worker) Register(s *Store) { s.Put("servers/"+w.cfg.ID, w.Entry()) }

// Entry is the worker's entry in the store.
func (w *Worker) Entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := map[string]any{
		"service": w.cfg.Service, "address": w.cfg.Address, "zone": w.cfg.Zone, "version": "v1", "slots": w.cfg.Slots,
		"state": w.state, "cold-remaining-ms": 0, "seq": 1, "born": w.born,
	}
	if w.stage != "" {
		e["stage"] = w.stage
	}
	return e
}

// Drain reports the worker as draining.
func (w *Worker) Drain(s *Store) {
	w.mu.Lock()
	w.state = "draining"
	w.mu.Unlock()
	w.Register(s)
}

// Runs returns what the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// Arrivals returns the IDs of all requests that reached the worker.
func (w *Worker) Arrivals() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// Orders returns the orders that the worker accepted.
func (w *Worker) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// Freed returns the number of calls that freed a handle.
func (w *Worker) Freed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freed
}

// Stage returns the worker's stage.
func (w *Worker) Stage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stage
}

// Answer is the whole body of the answer to a plain request.
func Answer(id, target string) string {
	return "answer to " + id + " at " + target + strings.Repeat(".", 200)
}

// Event is one event of the answer to a stream. The last one ends the answer.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// Signature is the signature of a worker under an answer.
func Signature(worker, id string) string { return worker + "." + id }

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/api/report":
		w.serveReport(rw)
	case r.URL.Path == "/api/order":
		w.serveOrder(rw, r)
	case strings.HasPrefix(r.URL.Path, "/api/kv-handle/"):
		w.mu.Lock()
		delete(w.handles, r.URL.Path[len("/api/kv-handle/"):])
		w.freed++
		w.mu.Unlock()
		reply(rw, http.StatusOK, struct{}{})
	default:
		w.serveRequest(rw, r)
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"stage": w.stage, "busy": w.busy, "seq": w.seq, "active": w.running, "queued": 0, "born": w.born})
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op           string `json:"op"`
		Stage        string `json:"stage"`
		Holder       string `json:"holder"`
		FencingToken uint64 `json:"fencing-token"`
		Precondition *int64 `json:"precondition"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Holder == "" || o.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if expect := r.Header.Get("Quetzallug-Expect-Instance"); expect != "" && expect != w.cfg.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	late := w.cfg.LateOrders
	w.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { w.accept(o.Stage, o.Holder, o.FencingToken, o.Precondition) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(w.accept(o.Stage, o.Holder, o.FencingToken, o.Precondition))
}

func (w *Worker) accept(stage, holder string, fence uint64, condition *int64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.busy, condition != nil && *condition != w.seq:
		return http.StatusConflict
	case stage == w.stage:
		return http.StatusOK
	}
	w.busy = true
	w.seq++
	w.orders = append(w.orders, Order{Holder: holder, Fence: fence, Stage: stage, At: time.Now()})
	time.AfterFunc(w.cfg.RoleSwitch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stage, w.busy = stage, false
	})
	return http.StatusAccepted
}

// refuse says that the request did not run.
func refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("Quetzallug-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Quetzallug-Attempt-Id")
	w.mu.Lock()
	w.arrivals = append(w.arrivals, id)
	fault := FaultNone
	if w.cfg.Fault != nil {
		fault = w.cfg.Fault(r)
	}
	load := fmt.Sprintf("%d,0,%d", w.running, w.cfg.Slots)
	stage, busy, full := w.stage, w.busy, w.running >= w.cfg.Slots
	w.mu.Unlock()
	rw.Header().Set("Quetzallug-Attempt-Id", id)
	rw.Header().Set("Quetzallug-Server-Load", load)
	prefill := r.Header.Get("Quetzallug-Stage") == "prefill"
	switch {
	case r.Header.Get("Quetzallug-Expect-Instance") != w.cfg.ID:
		rw.Header().Set("Quetzallug-Instance-Id", w.cfg.ID)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case stage != "" && prefill != (stage == "prefill"):
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		refuse(rw, http.StatusBadRequest)
		return
	case busy || full || fault == FaultShed:
		refuse(rw, http.StatusServiceUnavailable)
		return
	case fault == FaultResetEarly:
		panic(http.ErrAbortHandler)
	}
	if fault == FaultEarly {
		w.early(rw, r, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	source := r.Header.Get("Quetzallug-Kv-Source")
	deadline, _ := strconv.ParseInt(r.Header.Get("Quetzallug-Deadline-Ms"), 10, 64)
	run := &Run{
		ID: id, Worker: w.cfg.ID, Method: r.Method, Target: r.RequestURI, Body: string(body), Model: r.Header.Get("Quetzallug-Model"),
		Deadline: deadline, Prefill: prefill, After: r.Header.Get("Last-Event-Id"), Source: source, Started: time.Now(),
	}
	w.begin(run)
	defer w.end(run)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(1, deadline))*time.Millisecond)
	defer cancel()
	if stage != "" && source == "" && !w.read(ctx, r) {
		expired(rw)
		return
	}
	if prefill {
		handle := "h-" + id
		w.mu.Lock()
		w.handles[handle] = id
		w.mu.Unlock()
		run.Finished = true
		reply(rw, http.StatusOK, map[string]any{"handle": handle, "tokens": 1, "version": 1})
		return
	}
	rw.Header().Set("Quetzallug-Response-Signature", Signature(w.cfg.ID, id))
	if stage != "" {
		w.stream(ctx, rw, r, run, fault)
		return
	}
	w.plain(ctx, rw, r, run, fault)
}

func (w *Worker) begin(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	w.runs = append(w.runs, run)
}

func (w *Worker) end(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	run.Ended = time.Now()
}

// early answers without reading the body, keeps the connection and reads on later.
func (w *Worker) early(rw http.ResponseWriter, r *http.Request, id string) {
	run := &Run{ID: id, Worker: w.cfg.ID, Method: r.Method, Target: r.RequestURI, Started: time.Now(), Finished: true}
	w.begin(run)
	defer w.end(run)
	_ = http.NewResponseController(rw).EnableFullDuplex()
	rw.Header().Set("Quetzallug-Response-Signature", Signature(w.cfg.ID, id))
	text := Answer(id, r.RequestURI)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
	_ = http.NewResponseController(rw).Flush()
	body, _ := io.ReadAll(r.Body)
	run.Body = string(body)
}
