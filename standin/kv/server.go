package kv

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quetzallug/quetzallug/external"
	"github.com/quetzallug/quetzallug/external/kvwire"
	"github.com/quetzallug/quetzallug/internal/httpjson"
)

// Handler serves the store over HTTP with the protocol of package kvwire, and GET /calls and
// POST /faults for tests.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, kvwire.PathGet, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		e, err := s.Get(ctx, r.Key)
		return kvwire.Response{Entries: []external.KVEntry{e}}, err
	})
	handle(mux, kvwire.PathList, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		entries, rev, err := s.List(ctx, r.Key)
		return kvwire.Response{Entries: entries, Revision: rev}, err
	})
	handle(mux, kvwire.PathSwap, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		v, err := s.CompareAndSwap(ctx, r.Key, r.Expected, r.Value, r.Lease)
		return kvwire.Response{Version: v}, err
	})
	handle(mux, kvwire.PathDelete, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		return kvwire.Response{}, s.Delete(ctx, r.Key, r.Expected)
	})
	handle(mux, kvwire.PathWatch, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		events, rev, err := s.Watch(ctx, r.Key, r.After)
		return kvwire.Response{Events: events, Revision: rev}, err
	})
	handle(mux, kvwire.PathGrant, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		id, err := s.GrantLease(ctx, time.Duration(r.TTLMS)*time.Millisecond)
		return kvwire.Response{Lease: id}, err
	})
	handle(mux, kvwire.PathKeepAlive, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		return kvwire.Response{}, s.KeepAlive(ctx, r.Lease)
	})
	handle(mux, kvwire.PathRevoke, func(ctx context.Context, r kvwire.Request) (kvwire.Response, error) {
		return kvwire.Response{}, s.RevokeLease(ctx, r.Lease)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) { httpjson.Write(w, http.StatusOK, s.Calls()) })
	httpjson.Handle(mux, "POST /faults", func(_ context.Context, f FaultState) (FaultState, error) {
		s.faults.Set(f)
		return f, nil
	}, func(http.ResponseWriter, error) {})
	return mux
}

func handle(mux *http.ServeMux, path string, do func(context.Context, kvwire.Request) (kvwire.Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var req kvwire.Request
		if !httpjson.Read(w, r, &req) {
			return
		}
		resp, err := do(r.Context(), req)
		if errors.Is(err, external.ErrOutcomeUnknown) {
			// The write took effect, but its response is lost: drop the connection.
			panic(http.ErrAbortHandler)
		}
		resp.Error = kvwire.Code(err)
		httpjson.Write(w, http.StatusOK, resp)
	})
}
