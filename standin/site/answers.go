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

// expired is the answer at the time limit of a request that has run.
func expired(rw http.ResponseWriter) { rw.WriteHeader(http.StatusGatewayTimeout) }

// read takes the time that reading the prompt takes, one prompt after the other.
func (w *Worker) read(ctx context.Context, r *http.Request) bool {
	select {
	case w.reading <- struct{}{}:
		defer func() { <-w.reading }()
	case <-ctx.Done():
		return false
	}
	tokens := 0
	hit := true
	chain := ""
	for part := range strings.SplitSeq(r.Header.Get("Quetzallug-Prefix-Hash"), ",") {
		id, count, _ := strings.Cut(part, ":")
		n, _ := strconv.Atoi(count)
		chain += "/" + id
		w.mu.Lock()
		hit = hit && w.kept[chain]
		w.kept[chain] = true
		w.mu.Unlock()
		if !hit {
			tokens += n
		}
	}
	per := w.cfg.PerToken
	if w.Stage() == "decode" {
		per *= 2
	}
	return wait(ctx, time.Duration(tokens)*per)
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Events is the number of events of a stream: the output tokens that the request names.
func Events(r *http.Request) int {
	_, out, _ := strings.Cut(r.Header.Get("Quetzallug-Token-Count"), ",")
	n, _ := strconv.Atoi(out)
	return n
}

func (w *Worker) stream(ctx context.Context, rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	n := Events(r)
	first, _ := strconv.Atoi(run.After)
	rw.Header().Set("Content-Type", "text/event-stream")
	switch fault {
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultError:
		rw.WriteHeader(http.StatusInternalServerError)
		return
	case FaultHang:
		<-ctx.Done()
		expired(rw)
		return
	default:
	}
	for i := first + 1; i <= n; i++ {
		if !wait(ctx, w.cfg.Work) {
			panic(http.ErrAbortHandler)
		}
		event := Event(run.ID, i)
		if fault == FaultTruncate && i == (first+n+1)/2 {
			_, _ = io.WriteString(rw, event[:len(event)/2])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(rw, event); err != nil {
			return
		}
		_ = http.NewResponseController(rw).Flush()
	}
	run.Finished = true
}

func (w *Worker) plain(ctx context.Context, rw http.ResponseWriter, r *http.Request, run *Run, fault Fault) {
	if !wait(ctx, w.cfg.Work) {
		expired(rw)
		return
	}
	text := Answer(run.ID, r.RequestURI)
	head := func(id, extra string) string {
		return "HTTP/1.1 200 OK\r\nQuetzallug-Attempt-Id: " + id + "\r\nQuetzallug-Response-Signature: " +
			Signature(w.cfg.ID, id) + "\r\n" + extra + "\r\n"
	}
	whole := func(id string) string {
		body := Answer(id, r.RequestURI)
		return head(id, "Content-Length: "+strconv.Itoa(len(body))+"\r\n") + body
	}
	switch fault {
	case FaultError:
		rw.WriteHeader(http.StatusInternalServerError)
		run.Finished = true
		return
	case FaultLost:
		panic(http.ErrAbortHandler)
	case FaultHang:
		<-ctx.Done()
		expired(rw)
		return
	case FaultUnsigned:
		rw.Header().Del("Quetzallug-Response-Signature")
	case FaultTruncate:
		w.raw(rw, head(run.ID, "Content-Length: "+strconv.Itoa(len(text))+"\r\n")+text[:len(text)/2], true)
		return
	case FaultGarbage:
		w.raw(rw, "\x00\x01 this is no answer\r\n\r\n", true)
		return
	case FaultUnframed:
		w.raw(rw, head(run.ID, "Connection: close\r\n")+text, true)
		return
	case FaultExtra:
		w.raw(rw, whole(run.ID)+whole(run.ID), false)
		return
	case FaultForeign:
		w.raw(rw, whole("another")+whole(run.ID), false)
		return
	default:
	}
	run.Finished = true
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(rw, text)
}

// raw writes bytes to the connection. Without closing, the connection serves further requests as the
// rest of a broken server would: each gets nothing.
func (w *Worker) raw(rw http.ResponseWriter, text string, closeAfter bool) {
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
