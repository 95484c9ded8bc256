package httpcheck

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// ErrRequestCut means that a connection ended before the whole request was written, so that it may have been reset and the
// answer be cut.
var ErrRequestCut = errors.New("connection ended before the request was written")

// RequestWriteWait is how long the goroutine that writes a request may take to report its result once the answer has ended.
const RequestWriteWait = 20 * time.Millisecond

// Transport refuses answers of HTTP/1.1 whose head is malformed, and bodies that end with their connection before the
// request was written. After a reset, the operating system reports the error to the goroutine that writes the request, and
// the end of the data to the one that reads the answer.
type Transport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	written := &requestWrite{done: make(chan struct{}, 1)}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{WroteRequest: written.record})
	resp, err := t.Base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := Head(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, written: written}
	return resp, nil
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// requestWrite is the state of writing a request, which may be written again on another connection.
type requestWrite struct {
	ok   atomic.Bool
	done chan struct{}
}

func (w *requestWrite) record(info httptrace.WroteRequestInfo) {
	w.ok.Store(info.Err == nil)
	select {
	case w.done <- struct{}{}:
	default:
	}
}

// wait reports whether the request was written.
func (w *requestWrite) wait() bool {
	timeout := time.NewTimer(RequestWriteWait)
	defer timeout.Stop()
	select {
	case <-w.done:
	case <-timeout.C:
	}
	return w.ok.Load()
}

// checkedBody is the body of an answer that ends with io.EOF only if the exchange was regular up to there.
type checkedBody struct {
	io.ReadCloser
	resp    *http.Response
	written *requestWrite
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := FieldNames(b.resp.Trailer); err != nil {
		return n, err
	}
	if b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0 && !b.written.wait() {
		return n, ErrRequestCut
	}
	return n, io.EOF
}
