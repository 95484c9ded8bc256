package instances

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/quetzallug/quetzallug/external/instancewire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// FaultRequest is the body of POST /faults, which injects faults.
type FaultRequest struct {
	Down  bool  `json:"down"`
	LagMS int64 `json:"lag_ms"`
}

// Handler serves the list over HTTP with the protocol of package instancewire, and POST /faults for
// tests.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+instancewire.PathList, l.serveList)
	httpjson.Handle(mux, "POST "+instancewire.PathRegister, func(_ context.Context, r instancewire.Registration) (struct{}, error) {
		l.Register(r.Instance, time.Duration(r.TTLMS)*time.Millisecond)
		return struct{}{}, nil
	}, writeUnavailable)
	httpjson.Handle(mux, "POST "+instancewire.PathLeave, func(_ context.Context, r instancewire.InstanceRef) (struct{}, error) {
		l.Leave(r.ID)
		return struct{}{}, nil
	}, writeUnavailable)
	httpjson.Handle(mux, "POST "+instancewire.PathRemove, func(_ context.Context, r instancewire.InstanceRef) (struct{}, error) {
		l.Remove(r.ID)
		return struct{}{}, nil
	}, writeUnavailable)
	httpjson.Handle(mux, "POST /faults", func(_ context.Context, f FaultRequest) (struct{}, error) {
		l.SetDown(f.Down)
		l.SetLag(time.Duration(f.LagMS) * time.Millisecond)
		return struct{}{}, nil
	}, writeUnavailable)
	return mux
}

func writeUnavailable(w http.ResponseWriter, err error) {
	httpjson.WriteError(w, http.StatusServiceUnavailable, "down", err)
}

func (l *List) serveList(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if v := r.URL.Query().Get("after"); v != "" {
		var err error
		if after, err = strconv.ParseUint(v, 10, 64); err != nil {
			httpjson.WriteError(w, http.StatusBadRequest, "invalid", err)
			return
		}
	}
	list, err := l.Changes(r.Context(), r.URL.Query().Get("epoch"), after)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, list)
}
