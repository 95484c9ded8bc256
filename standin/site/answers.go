package site

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// writeTimeout writes the response to a request that ran until its deadline.
func writeTimeout(rw http.ResponseWriter) { rw.WriteHeader(http.StatusGatewayTimeout) }

// prefillPrompt simulates the prefill of the request's prompt. It waits for the worker's other prefills,
// then takes PrefillTimePerToken (twice that in the decode stage) for each token outside the longest cached prefix,
// and caches the prompt. The header Quetzallug-Prefix-Hash lists the prompt's parts as id:tokens,
// separated by commas. It returns false if the context ends first.
func (w *Worker) prefillPrompt(ctx context.Context, r *http.Request) bool {
	select {
	case w.prefillSlot <- struct{}{}:
		defer func() { <-w.prefillSlot }()
	case <-ctx.Done():
		return false
	}
	tokens := 0
	cached := true
	prefix := ""
	for part := range strings.SplitSeq(r.Header.Get("Quetzallug-Prefix-Hash"), ",") {
		id, count, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(count)
		prefix += "/" + id
		w.mu.Lock()
		cached = cached && w.cachedPrefixes[prefix]
		w.cachedPrefixes[prefix] = true
		w.mu.Unlock()
		if !cached {
			tokens += n
		}
	}
	perToken := w.cfg.PrefillTimePerToken
	if w.Stage() == "decode" {
		perToken *= 2
	}
	return sleep(ctx, time.Duration(tokens)*perToken)
}

// sleep returns false if the context ends before the duration has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// EventCount returns the number of events in the response stream, which is the request's number of output
// tokens.
func EventCount(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("Quetzallug-Token-Count"), ",")
	n, _ := strconv.Atoi(out)
	return n
}

// serveStream writes a response stream, starting after run.After, the last event that the caller has
// received.
func (w *Worker) serveStream(ctx context.Context, rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	n := EventCount(r)
	lastReceived, _ := strconv.Atoi(run.After)
	rw.Header().Set("Content-Type", "text/event-stream")
	switch fault {
	case FaultLoseResponse:
		panic(http.ErrAbortHandler)
	case FaultError:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case FaultHang:
		<-ctx.Done()
		writeTimeout(rw)
		return
	default:
	}
	out := io.Writer(rw)
	flush := func() { _ = http.NewResponseController(rw).Flush() }
	if fault == FaultUnframed || fault == FaultUnframedCut || fault == FaultUnframedNoEvent {
		c, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		out, flush = c, func() {}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_ = rw.Header().Write(c)
		_, _ = io.WriteString(c, "\r\n")
		if fault == FaultUnframedNoEvent {
			return
		}
	}
	for i := lastReceived + 1; i <= n; i++ {
		if !sleep(ctx, w.cfg.ServiceTime) {
			panic(http.ErrAbortHandler)
		}
		event := Event(run.ID, i)
		w.beginOutput(run)
		if cut := fault == FaultTruncate || fault == FaultUnframedCut || fault == FaultFramedCut; cut && i == (lastReceived+n+1)/2 {
			_, _ = io.WriteString(out, event[:len(event)/2])
			flush()
			if fault == FaultTruncate {
				panic(http.ErrAbortHandler)
			}
			return
		}
		if _, err := io.WriteString(out, event); err != nil {
			return
		}
		flush()
	}
	run.Finished = true
}

// beginOutput records that a run writes its first event.
func (w *Worker) beginOutput(run *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if run.Began.IsZero() {
		run.Began = time.Now()
	}
}

// servePlain writes the response to a plain request.
func (w *Worker) servePlain(ctx context.Context, rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	if !sleep(ctx, w.cfg.ServiceTime) {
		writeTimeout(rw)
		return
	}
	text := Answer(run.ID, r.RequestURI)
	responseHead := func(id, extra string) string {
		return "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: " + id + "\r\nQuetzallug-Response-Signature: " +
			Signature(w.cfg.ID, id) + "\r\n" + extra + "\r\n"
	}
	fullResponse := func(id string) string {
		body := Answer(id, r.RequestURI)
		return responseHead(id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body
	}
	switch fault {
	case FaultError:
		rw.WriteHeader(http.StatusInternalServerError)
		run.Finished = true
		return
	case FaultLoseResponse:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-ctx.Done()
		writeTimeout(rw)
		return
	case FaultUnsigned:
		rw.Header().Del("Quetzallug-Response-Signature")
	case FaultTruncate:
		w.writeRaw(rw, responseHead(run.ID, "Content-Length: "+strconv.Itoa(len(text))+"\r\n")+text[:len(text)/2], true)
		return
	case FaultGarbage:
		w.writeRaw(rw, "\x00\x01 this is no answer\r\n\r\n", true)
		return
	case FaultUnframed:
		w.writeRaw(rw, responseHead(run.ID, "Connection: close\r\n")+text, true)
		return
	case FaultExtra:
		w.writeRaw(rw, fullResponse(run.ID)+fullResponse(run.ID), false)
		return
	case FaultWrongRequest:
		w.writeRaw(rw, fullResponse("another")+fullResponse(run.ID), false)
		return
	default:
	}
	run.Finished = true
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// writeRaw writes bytes to the connection. Without closeAfter, the connection stays open, but further
// requests on it get no response, as from a broken server.
func (w *Worker) writeRaw(rw http.ResponseWriter, text string, closeAfter bool) {
	c, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return
	}
	_, _ = io.Copy(c, bytes.NewBufferString(text))
	if closeAfter {
		_ = c.Close()
		return
	}
	go func() {
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}()
}
