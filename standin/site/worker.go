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

// Fault is the fault that a worker injects into one request.
type Fault int

// Faults of workers. FaultGarbage to FaultWrongRequest, and FaultUnsigned, affect plain requests only, and
// FaultUnframedCut to FaultFramedCut streams only. Prefills also ignore FaultError, FaultLoseResponse,
// FaultHang, FaultTruncate and FaultUnframed.
const (
	FaultNone            Fault = iota
	FaultRefuse                // refuses the request without running it
	FaultError                 // runs the request and responds with 500
	FaultResetEarly            // closes the connection without running the request
	FaultLoseResponse          // runs the request and closes the connection without a response
	FaultHang                  // runs the request and sends nothing until the deadline or the caller's disconnect
	FaultTruncate              // closes the connection in the middle of the response
	FaultGarbage               // sends bytes that are not an HTTP response
	FaultExtra                 // sends the response twice
	FaultWrongRequest          // sends the response to another request first
	FaultUnsigned              // responds with 200 but without a signature
	FaultUnframed              // sends the response without a length and closes the connection
	FaultEarly                 // sends the response before reading the request body
	FaultUnframedCut           // sends a stream without a length or chunks and closes the connection inside an event
	FaultUnframedNoEvent       // like FaultUnframedCut, but closes the connection before the first event
	FaultFramedCut             // ends the body of a stream inside an event, with the last chunk
)

// VaryCut replaces FaultTruncate of a request for a stream by one of the faults that cut streams, in turn.
func VaryCut(f Fault, r *http.Request, n int) Fault {
	if f != FaultTruncate || r.Header.Get("Quetzallug-Token-Count") == "" {
		return f
	}
	return [...]Fault{FaultTruncate, FaultUnframedCut, FaultUnframedNoEvent, FaultFramedCut}[n%4]
}

// Run is one request that a worker has started to run.
type Run struct {
	ID        string // attempt ID
	Worker    string
	Method    string
	Target    string
	Body      string
	Model     string
	TimeoutMS int64 // time to run in milliseconds
	Prefill   bool
	After     string // number of the last event that the caller has received, or empty
	Source    string // where the KV cache comes from; empty if the prompt is prefilled
	Account   string // account named by the gateway, or empty
	Started   time.Time
	Began     time.Time // when the first event was written, or a plain request started; zero before
	Ended     time.Time
	Finished  bool // the whole response was sent, not lost or damaged by a fault
}

// Order is one accepted order to change the stage.
type Order struct {
	Holder string
	Fence  uint64
	Stage  string
	At     time.Time
}

// WorkerConfig configures a worker.
type WorkerConfig struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Stage is empty for plain workers.
	Stage string
	// ServiceTime is the duration of a plain request, or the time per event of a stream.
	ServiceTime time.Duration
	// PrefillTimePerToken is the time to prefill one prompt token in the prefill stage. In the decode stage it
	// takes twice as long.
	PrefillTimePerToken time.Duration
	// RoleSwitch is the duration of a change of the stage.
	RoleSwitch time.Duration
	// Fault selects the fault for each request; nil injects none.
	Fault func(r *http.Request) Fault
	// LoadSuffix is appended to the reported load, such as ",130" for a fourth value.
	LoadSuffix string
	// LateOrders, if above 0, is the delay before orders are applied; their responses are lost.
	LateOrders time.Duration
}

// Worker is a simulated model worker or plain worker. It is safe for concurrent use.
type Worker struct {
	cfg         WorkerConfig
	startMillis int64

	mu    sync.Mutex
	stage string
	// leaving adds the header of workers that leave to all responses, and retryAfter is sent with refusals.
	leaving    bool
	retryAfter string
	// load replaces the reported load unless it is empty.
	load           string
	seq            int64
	busy           bool
	orderSequence  int64
	state          string
	running        int
	arrivals       []string
	runs           []*Run
	orders         []Order
	cachedPrefixes map[string]bool
	handles        map[string]string
	freeCalls      int
	// prefillSlot holds one element during a prefill, so that prompts are prefilled one at a time. It is
	// not a mutex, because a goroutine blocked on a mutex stops the virtual time of synctest.
	prefillSlot chan struct{}
}

// NewWorker returns a worker in state ready.
func NewWorker(cfg WorkerConfig) *Worker {
	return &Worker{cfg: cfg, startMillis: time.Now().UnixMilli(), stage: cfg.Stage, state: "ready", seq: 1, cachedPrefixes: map[string]bool{}, handles: map[string]string{}, prefillSlot: make(chan struct{}, 1)}
}

// ID returns the worker's ID.
func (w *Worker) ID() string { return w.cfg.ID }

// Address returns the worker's address.
func (w *Worker) Address() string { return w.cfg.Address }

// SetFault replaces WorkerConfig.Fault.
func (w *Worker) SetFault(f func(*http.Request) Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cfg.Fault = f
}

// SetLeaving makes the worker say in all its responses whether it leaves.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetLoad replaces the reported load.
func (w *Worker) SetLoad(load string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.load = load
}

// SetRetryAfter sets the Retry-After header of refusals; empty for none.
func (w *Worker) SetRetryAfter(value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retryAfter = value
}

// Restart begins a new lifetime of the worker under its ID.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startMillis, w.state, w.leaving, w.seq = time.Now().UnixMilli(), "ready", false, 1
}

// Register writes the worker's entry to the store.
func (w *Worker) Register(s *Store) { s.Put("servers/"+w.cfg.ID, w.Entry()) }

// Entry returns the worker's entry in the store.
func (w *Worker) Entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := map[string]any{
		"service": w.cfg.Service, "address": w.cfg.Address, "zone": w.cfg.Zone, "version": "v1", "slots": w.cfg.Slots,
		"state": w.state, "cold-remaining-ms": 0, "seq": w.seq, "born": w.startMillis,
	}
	if w.stage != "" {
		e["stage"] = w.stage
	}
	return e
}

// Drain registers the worker as draining.
func (w *Worker) Drain(s *Store) {
	w.mu.Lock()
	w.state = "draining"
	w.seq++
	w.mu.Unlock()
	w.Register(s)
}

// Heartbeat writes the worker's entry again.
func (w *Worker) Heartbeat(s *Store) {
	w.mu.Lock()
	w.seq++
	w.mu.Unlock()
	w.Register(s)
}

// Runs returns copies of the worker's runs, oldest first.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make([]Run, len(w.runs))
	for i, r := range w.runs {
		out[i] = *r
	}
	return out
}

// Arrivals returns the attempt IDs of all requests that reached the worker, in order.
func (w *Worker) Arrivals() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.arrivals)
}

// Orders returns the orders that the worker accepted, oldest first.
func (w *Worker) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}

// FreedHandles returns the number of calls to free a handle, including unknown handles.
func (w *Worker) FreedHandles() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.freeCalls
}

// Stage returns the worker's stage.
func (w *Worker) Stage() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stage
}

// Answer returns the body of the response to a plain request.
func Answer(id, target string) string {
	return "answer to " + id + " at " + target + strings.Repeat(".", 200)
}

// Event returns the nth event of the response stream to a request, encoded as a server-sent event. n
// starts at 1; EventCount returns the number of events in the stream.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// Signature returns the signature of a worker's response.
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
		w.freeCalls++
		w.mu.Unlock()
		reply(rw, http.StatusOK, struct{}{})
	default:
		w.serveRequest(rw, r)
	}
}

func (w *Worker) serveReport(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"stage": w.stage, "busy": w.busy, "seq": w.orderSequence, "active": w.running, "queued": 0, "born": w.startMillis})
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
	delay := w.cfg.LateOrders
	w.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { w.applyOrder(o.Stage, o.Holder, o.FencingToken, o.Precondition) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	rw.WriteHeader(w.applyOrder(o.Stage, o.Holder, o.FencingToken, o.Precondition))
}

// applyOrder starts the change of the stage, if any, and returns the status of the response. It refuses
// the order if expectedSequence is set and differs from the number of orders accepted so far.
func (w *Worker) applyOrder(stage, holder string, fence uint64, expectedSequence *int64) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.busy, expectedSequence != nil && *expectedSequence != w.orderSequence:
		return http.StatusConflict
	case stage == w.stage:
		return http.StatusOK
	}
	w.busy = true
	w.orderSequence++
	w.orders = append(w.orders, Order{Holder: holder, Fence: fence, Stage: stage, At: time.Now()})
	time.AfterFunc(w.cfg.RoleSwitch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.stage, w.busy = stage, false
	})
	return http.StatusAccepted
}

// writeNotExecuted writes a response which states that the request did not run.
func writeNotExecuted(rw http.ResponseWriter, status int) {
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
	load := w.load
	if load == "" {
		load = fmt.Sprintf("%d,0,%d%s", w.running, w.cfg.Slots, w.cfg.LoadSuffix)
	}
	stage, busy, full := w.stage, w.busy, w.running >= w.cfg.Slots
	leaving, retryAfter := w.leaving, w.retryAfter
	w.mu.Unlock()
	if leaving {
		rw.Header().Set("Server-Leaving", "1")
	}
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
		writeNotExecuted(rw, http.StatusBadRequest)
		return
	case busy || full || fault == FaultRefuse:
		if retryAfter != "" {
			rw.Header().Set("Retry-After", retryAfter)
		}
		writeNotExecuted(rw, http.StatusServiceUnavailable)
		return
	case fault == FaultResetEarly:
		panic(http.ErrAbortHandler)
	}
	if fault == FaultEarly {
		w.serveEarly(rw, r, id)
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
		TimeoutMS: deadline, Prefill: prefill, After: r.Header.Get("Last-Event-Id"), Source: source, Started: time.Now(),
		Account: r.Header.Get("Quetzallug-Tenant-Id"),
	}
	if stage == "" {
		run.Began = run.Started
	}
	w.beginRun(run)
	defer w.endRun(run)
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(1, deadline))*time.Millisecond)
	defer cancel()
	if stage != "" && source == "" && !w.prefillPrompt(ctx, r) {
		writeTimeout(rw)
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
		w.serveStream(ctx, rw, r, run, fault)
		return
	}
	w.servePlain(ctx, rw, r, run, fault)
}

func (w *Worker) beginRun(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	w.runs = append(w.runs, run)
}

func (w *Worker) endRun(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
	run.Ended = time.Now()
}

// serveEarly sends the response before it reads the request body, and keeps the connection open.
func (w *Worker) serveEarly(rw http.ResponseWriter, r *http.Request, id string) {
	run := &Run{ID: id, Worker: w.cfg.ID, Method: r.Method, Target: r.RequestURI, Started: time.Now(), Finished: true}
	w.beginRun(run)
	defer w.endRun(run)
	_ = http.NewResponseController(rw).EnableFullDuplex()
	rw.Header().Set("Quetzallug-Response-Signature", Signature(w.cfg.ID, id))
	text := Answer(id, r.RequestURI)
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
	_ = http.NewResponseController(rw).Flush()
	body, _ := io.ReadAll(r.Body)
	run.Body = string(body)
}
