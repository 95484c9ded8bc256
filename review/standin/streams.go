package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/quetzallug/quetzallug/standin/site"
)

const eventStream = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// stream sends the events of a request after the last one that its caller has, one each interval. It returns
// false if the channel or the worker ended before the last one.
func (w *worker) stream(x *exchange, events int, interval time.Duration) bool {
	after, _ := strconv.Atoi(x.r.Header.Get("Last-Event-Id"))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s%s\r\n", header("Attempt-Id"), x.id, w.signed(x), eventStream)
	if _, err := io.WriteString(x.conn, head); err != nil {
		x.keep = false
		return false
	}
	for n := after + 1; n <= events; n++ {
		time.Sleep(interval)
		event := site.Event(x.id, n)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			x.keep = false
			return false
		}
	}
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	x.keep = err == nil
	return err == nil
}

// wholeStream returns the body of a stream from its first event to its last one.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(site.Event(id, n))
	}
	return b.String()
}

// prompt returns the headers of a request with a prompt, whose first part is one of a few that requests share.
func prompt(shared, own, out int) map[string]string {
	return map[string]string{
		header("Model"): "m", header("Token-Count"): fmt.Sprintf("%d,%d", shared+own, out),
		header("Prefix-Hash"): fmt.Sprintf("5c1e07a%x:%d,%s:%d", rand.IntN(12), shared, newID(), own),
	}
}

// playDrainedDecoder lets one prefill worker turn slow, and replaces a decode worker while the prompt of a request
// for it is read there. The request must not reach the decode worker later than the drain bound.
func playDrainedDecoder(s *system) (bool, error) {
	const (
		drainBound = 2 * time.Second
		// linger is how much longer than the bound a draining worker serves.
		linger       = 1500 * time.Millisecond
		rounds       = 11
		roundTime    = 9 * time.Second
		slowFor      = 5 * time.Second
		slowBy       = 4
		requests     = 9
		events       = 60
		interval     = 20 * time.Millisecond
		prefillTime  = 700 * time.Millisecond
		sharedTokens = 30000
		ownTokens    = 30000
	)
	if err := s.putConfig(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var slowUntil time.Time
	drainedAt := map[string]time.Time{}
	late := 0
	reading := make(chan struct{}, rounds*requests)
	prefill := func(w *worker, x *exchange) {
		mu.Lock()
		d := prefillTime
		if strings.HasSuffix(w.id, "-0") {
			if time.Now().Before(slowUntil) {
				d *= slowBy
			}
			reading <- struct{}{}
		}
		mu.Unlock()
		select {
		case <-time.After(d):
			s.note("worker %s has read the prompt of %s in %d ms", w.id, x.id, d.Milliseconds())
			x.reply(http.StatusOK, "Content-Type: application/json\r\n", fmt.Sprintf(`{"handle":"h%s","tokens":%d,"version":1}`, x.id, sharedTokens+ownTokens))
		case <-x.ctx.Done():
			x.reply(http.StatusGatewayTimeout, "", "")
		}
	}
	decode := func(w *worker, x *exchange) {
		mu.Lock()
		if at, ok := drainedAt[w.id]; ok {
			since := time.Since(at)
			s.note("worker %s gets %s %d ms after the store has confirmed that it leaves", w.id, x.id, since.Milliseconds())
			if since > drainBound {
				late++
				s.note("DRAIN: %s reached worker %s later than the bound", x.id, w.id)
			}
		}
		mu.Unlock()
		ok := w.stream(x, events, interval)
		s.note("worker %s streamed %s to the end: %v", w.id, x.id, ok)
	}
	count := 0
	startDecoder := func() (*worker, error) {
		count++
		w := &worker{s: s, id: fmt.Sprintf("i-decode-%d", count), service: "llm", stage: "decode", address: s.address(110+count) + ":0", slots: 48, handle: decode}
		return w, w.start()
	}
	for i := range 3 {
		w := &worker{s: s, id: fmt.Sprintf("i-prefill-%d", i), service: "llm", stage: "prefill", address: s.address(100+i) + ":0", slots: 48, handle: prefill}
		if err := w.start(); err != nil {
			return false, err
		}
	}
	var decoders []*worker
	for range 3 {
		w, err := startDecoder()
		if err != nil {
			return false, err
		}
		decoders = append(decoders, w)
	}
	if err := s.startGateways(2); err != nil {
		return false, err
	}
	whole, failed := 0, 0
	for range rounds {
		start := time.Now()
		if s.trouble {
			mu.Lock()
			slowUntil = start.Add(slowFor)
			mu.Unlock()
			s.note("worker i-prefill-0 works %d times as long from now on, for %v", slowBy, slowFor)
		}
		for len(reading) > 0 {
			<-reading
		}
		done := make(chan answer, requests)
		for i := range requests {
			go func() {
				c := &channels{address: s.gateways[i%2].front}
				done <- c.do(&call{method: http.MethodPost, target: "/ask/a", limit: 5 * time.Second, header: prompt(sharedTokens, ownTokens, events)})
			}()
		}
		select {
		case <-reading:
		case <-time.After(time.Second):
		}
		if s.trouble {
			// One worker is replaced: the new one starts first, the old one drains.
			time.Sleep(100 * time.Millisecond)
			added, err := startDecoder()
			if err != nil {
				return false, err
			}
			old := decoders[0]
			decoders = append(decoders[1:], added)
			old.register("draining")
			mu.Lock()
			drainedAt[old.id] = time.Now()
			mu.Unlock()
			time.AfterFunc(drainBound+linger, func() {
				old.end()
				old.leave()
			})
		}
		for range requests {
			a := <-done
			ok := a.status == http.StatusOK && a.err == nil && a.body == wholeStream(a.id, events)
			s.note("client got %d for %s, %d bytes, whole: %v (%v)", a.status, a.id, len(a.body), ok, a.err)
			if ok {
				whole++
			} else {
				failed++
			}
		}
		time.Sleep(time.Until(start.Add(roundTime)))
	}
	s.note("%d answers whole, %d not; %d requests reached a draining worker later than the bound", whole, failed, late)
	return late > 0, nil
}
