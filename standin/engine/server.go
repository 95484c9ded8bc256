package engine

import (
	"context"
	"net/http"
	"strconv"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/enginewire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// FaultRequest is the body of POST /faults, which injects faults.
type FaultRequest struct {
	Crash   bool `json:"crash,omitempty"`
	Restart bool `json:"restart,omitempty"`
	// Config is the engine configuration after a restart.
	Config           external.EngineConfig `json:"config,omitzero"`
	LoseOrderAnswers int                   `json:"lose_order_answers,omitempty"`
}

// Report is the response body of GET /journal.
type Report struct {
	Journal    []Record    `json:"journal"`
	Violations []Violation `json:"violations"`
}

// Handler serves the engine over HTTP with the protocol of package enginewire, and GET /journal and
// POST /faults for tests.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathGenerate, e.serveGenerate)
	httpjson.Handle(mux, "POST "+enginewire.PathCancel, func(ctx context.Context, r enginewire.RequestRef) (struct{}, error) {
		return struct{}{}, e.Cancel(ctx, r.RequestID)
	}, e.writeError)
	httpjson.Handle(mux, "GET "+enginewire.PathState, func(ctx context.Context, _ struct{}) (external.EngineState, error) {
		return e.State(ctx)
	}, e.writeError)
	httpjson.Handle(mux, "POST "+enginewire.PathApply, func(ctx context.Context, o external.EngineOrder) (struct{}, error) {
		return struct{}{}, e.Apply(ctx, o)
	}, e.writeError)
	httpjson.Handle(mux, "GET "+enginewire.PathLoad, func(ctx context.Context, _ struct{}) (external.EngineLoad, error) {
		return e.Load(ctx)
	}, e.writeError)
	mux.HandleFunc("GET "+enginewire.PathEvents, e.serveEvents)
	httpjson.Handle(mux, "POST "+enginewire.PathExport, func(ctx context.Context, r enginewire.RequestRef) (enginewire.KVCache, error) {
		data, err := e.ExportKV(ctx, r.RequestID)
		return enginewire.KVCache{Data: data}, err
	}, e.writeError)
	httpjson.Handle(mux, "POST "+enginewire.PathImport, func(ctx context.Context, b enginewire.KVCache) (enginewire.Handle, error) {
		h, err := e.ImportKV(ctx, b.Data)
		return enginewire.Handle{Handle: h}, err
	}, e.writeError)
	mux.HandleFunc("GET /journal", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, Report{Journal: e.Journal(), Violations: e.Violations()})
	})
	httpjson.Handle(mux, "POST /faults", func(_ context.Context, f FaultRequest) (struct{}, error) {
		e.applyFaults(f)
		return struct{}{}, nil
	}, e.writeError)
	return mux
}

func (e *Engine) applyFaults(f FaultRequest) {
	if f.Crash {
		e.Crash()
	}
	if f.Restart {
		e.Restart(f.Config)
	}
	e.LoseOrderAnswers(f.LoseOrderAnswers)
}

func (*Engine) writeError(w http.ResponseWriter, err error) {
	status, code := enginewire.Code(err)
	httpjson.WriteError(w, status, code, err)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, "invalid", err)
		return
	}
	events, err := e.CacheEvents(r.Context(), after)
	if err != nil {
		e.writeError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, events)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req external.GenerateRequest
	if !httpjson.Read(w, r, &req) {
		return
	}
	stream, err := e.Generate(r.Context(), &req)
	if err != nil {
		e.writeError(w, err)
		return
	}
	defer stream.Close()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	if flush() != nil {
		return
	}
	var line []byte
	for {
		chunk, err := stream.Next()
		if err != nil {
			// A crashed process drops the connection without a final event.
			if e.Down() {
				panic(http.ErrAbortHandler)
			}
			_, code := enginewire.Code(err)
			_, _ = w.Write([]byte(enginewire.DataPrefix + `{"error":"` + code + "\"}\n\n"))
			return
		}
		line = enginewire.AppendEvent(line[:0], &chunk)
		if _, err := w.Write(line); err != nil || flush() != nil || chunk.FinishReason != "" {
			return
		}
	}
}
