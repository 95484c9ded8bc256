package gateway

import (
	"net/http"
	"strconv"
)

// reply is the response to one caller. A response that was not completed is aborted: net/http would give it a
// regular end when the handler returns, so that the caller takes a part for the whole.
type reply struct {
	w http.ResponseWriter
	// started is true once the response header was sent.
	started bool
	// complete is true once the whole response was written.
	complete bool
	// buffered is the caller's connection if it holds a part of the response; nil if not.
	buffered bufferedConn
}

// buffer lets the caller's connection hold what the caller has not taken of the response.
func (p *reply) buffer(r *http.Request) {
	if c, ok := Caller(r.Context()).(bufferedConn); ok && p.buffered == nil {
		p.buffered = c
		c.BufferAnswer()
	}
}

// flush waits until the caller has taken the response, or its connection has failed.
func (p *reply) flush() {
	if p.buffered != nil && p.buffered.FlushAnswer() != nil {
		p.complete = false
	}
}

// start sends the header of a response. length is the size of the body, or negative if unknown.
func (p *reply) start(status int, header http.Header, length int) {
	p.started = true
	h := p.w.Header()
	for name, values := range header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // disables content sniffing by net/http
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	p.w.WriteHeader(status)
}

// whole sends a whole response. It reports false and sends nothing if another response was started.
func (p *reply) whole(status int, header http.Header, body []byte) bool {
	if p.started {
		return false
	}
	p.start(status, header, len(body))
	_, err := p.w.Write(body)
	p.complete = err == nil
	return true
}

// error sends a response of the gateway's own, with a cause as its text. It reports false and sends nothing if
// another response was started.
func (p *reply) error(status int, cause string) bool {
	if p.started {
		return false
	}
	p.started, p.complete = true, true
	http.Error(p.w, cause, status)
	return true
}

// close aborts the response unless it is complete, by a panic with http.ErrAbortHandler. It must be the last
// call of the handler.
func (p *reply) close() {
	p.flush()
	if !p.complete {
		panic(http.ErrAbortHandler)
	}
}
