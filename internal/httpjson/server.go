package httpjson

import (
	"context"
	"encoding/json"
	"net/http"
)

// MaxRequestBytes limits the body of a JSON request.
const MaxRequestBytes = 8 << 20

// Write responds with v as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError responds with a StatusError as JSON.
func WriteError(w http.ResponseWriter, status int, code string, err error) {
	Write(w, status, &StatusError{Code: code, Message: err.Error()})
}

// Read decodes the body of a JSON request into v. If that fails, it responds with status 400 and returns
// false.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes)).Decode(v); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid", err)
		return false
	}
	return true
}

// Handle registers a handler that decodes the request body, unless the method is GET, calls do and
// writes its result as JSON. If do fails, writeError writes the response.
func Handle[In, Out any](mux *http.ServeMux, pattern string, do func(context.Context, In) (Out, error), writeError func(http.ResponseWriter, error)) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		var in In
		if r.Method != http.MethodGet && !Read(w, r, &in) {
			return
		}
		out, err := do(r.Context(), in)
		if err != nil {
			writeError(w, err)
			return
		}
		Write(w, http.StatusOK, out)
	})
}
