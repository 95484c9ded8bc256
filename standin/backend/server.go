package backend

import (
	"context"
	"io"
	"net/http"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// Paths of the control endpoints. Every other path is handled as a request.
const (
	PathLoad    = "/load"
	PathJournal = "/_standin/journal"
	PathFaults  = "/_standin/faults"
)

// Handler serves the backend over HTTP. The headers X-Request-Id and Idempotency-Key identify a
// request. A failed request aborts its connection.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	httpjson.Handle(mux, "GET "+PathLoad, func(ctx context.Context, _ struct{}) (external.EngineLoad, error) {
		return s.Load(ctx)
	}, writeFailure)
	mux.HandleFunc("GET "+PathJournal, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Journal())
	})
	httpjson.Handle(mux, "POST "+PathFaults, func(_ context.Context, f Faults) (struct{}, error) {
		s.SetFaults(f)
		return struct{}{}, nil
	}, writeFailure)
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func writeFailure(w http.ResponseWriter, err error) {
	httpjson.WriteError(w, http.StatusInternalServerError, "failed", err)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpjson.MaxRequestBytes))
	if err != nil {
		httpjson.WriteError(w, http.StatusBadRequest, "invalid", err)
		return
	}
	resp, err := s.Do(r.Context(), &external.PlainRequest{
		RequestID:      r.Header.Get("X-Request-Id"),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		ContentType:    r.Header.Get("Content-Type"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Body:           body,
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", resp.ContentType)
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
