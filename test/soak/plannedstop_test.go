package soak

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/internal/testcluster"
	"github.com/quetzallug/quetzallug/standin/site"
)

var longStops = flag.Bool("long-stops", false, "also play planned stops with a grace time of 30 s, and three stops in turn")

const (
	// stopRequestInterval is the time between two requests on each kind of connection.
	stopRequestInterval = 200 * time.Millisecond
	// stopTimeLeft is the time limit of these requests. It is longer than any stop.
	stopTimeLeft = 60 * time.Second
	// lossSlack is how long after its last byte a request that was not passed on may lose its connection.
	lossSlack = 200 * time.Millisecond
	// excusedUntil is how long after the signal a request must have been sent for its loss to be excused, if its worker
	// was still at work in the last sixth of the grace time.
	excusedUntil = 3 * time.Second
)

// stopRequest is one request around a planned stop as its caller saw it.
type stopRequest struct {
	id, connection string
	// sentAt is when the last byte was sent, and endedAt when the response or the connection ended.
	sentAt, endedAt time.Time
	status          int
	whole           bool
	err             error
	close           bool
	retryAfter      string
}

// plannedStop plays requests around the stop of one gateway.
type plannedStop struct {
	t       *testing.T
	d       *processDeployment
	gateway *gatewayProcess
	grace   time.Duration
	name    string

	mu       sync.Mutex
	lastID   int
	requests []*stopRequest
	wg       sync.WaitGroup
}

func (p *plannedStop) dial() net.Conn {
	c, err := net.DialTimeout("tcp", p.gateway.address, time.Second)
	if err != nil {
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(2 * stopTimeLeft))
	return c
}

// send sends a request on a connection, with its last byte at the given time, and waits for its end.
func (p *plannedStop) send(c net.Conn, reader *bufio.Reader, connection string, lastByteAt time.Time) {
	p.mu.Lock()
	p.lastID++
	q := &stopRequest{id: fmt.Sprintf("%s-%s-%d", p.name, connection, p.lastID), connection: connection}
	p.requests = append(p.requests, q)
	p.mu.Unlock()
	body := strings.Repeat("b", 600)
	text := fmt.Sprintf("POST /once/%s HTTP/1.1\r\nHost: a.example\r\nQuetzallug-Attempt-Id: %s\r\nQuetzallug-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		q.id, q.id, stopTimeLeft.Milliseconds(), len(body), body)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		p.receive(reader, q)
	}()
	last := len(text)
	if !lastByteAt.IsZero() {
		last--
		_, q.err = io.WriteString(c, text[:last-300])
		time.Sleep(time.Until(lastByteAt) / 2)
		_, _ = io.WriteString(c, text[last-300:last])
		time.Sleep(time.Until(lastByteAt))
	}
	sentAt := time.Now()
	if lastByteAt.IsZero() {
		_, _ = io.WriteString(c, text)
	} else {
		_, _ = io.WriteString(c, text[last:])
	}
	<-answered
	p.mu.Lock()
	defer p.mu.Unlock()
	q.sentAt = sentAt
}

func (p *plannedStop) receive(reader *bufio.Reader, q *stopRequest) {
	resp, err := http.ReadResponse(reader, nil)
	if err == nil {
		q.status, q.close, q.retryAfter = resp.StatusCode, resp.Close, resp.Header.Get("Retry-After")
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		q.whole = err == nil && (q.status != http.StatusOK || string(b) == site.Answer(q.id, "/once/"+q.id))
	}
	q.err, q.endedAt = err, time.Now()
}

// call sends one request on a connection of its own, which is opened now. Nothing is sent if there is no listener.
func (p *plannedStop) call(connection string, lastByteAt time.Time) {
	c := p.dial()
	if c == nil {
		return
	}
	defer c.Close()
	p.send(c, bufio.NewReader(c), connection, lastByteAt)
}

// play stops the gateway under requests on four kinds of connections, and starts it again.
func (p *plannedStop) play(signals ...syscall.Signal) {
	// The gateway learns how long requests take.
	var warm sync.WaitGroup
	for range 4 {
		warm.Go(func() { p.call("warm", time.Time{}) })
	}
	warm.Wait()
	n := int(p.grace / stopRequestInterval)
	unused, kept := make([]net.Conn, n), make([]net.Conn, n)
	readers := make([]*bufio.Reader, n)
	for i := range n {
		unused[i], kept[i] = p.dial(), p.dial()
		require.NotNil(p.t, kept[i])
		readers[i] = bufio.NewReader(kept[i])
		warm.Go(func() { p.send(kept[i], readers[i], "warm", time.Time{}) })
	}
	warm.Wait()
	stoppedAt := time.Now().Add(300 * time.Millisecond)
	for i := range n {
		at := stoppedAt.Add(time.Duration(i) * stopRequestInterval)
		p.wg.Go(func() { p.call("slow-body", at) })
		p.wg.Go(func() {
			time.Sleep(time.Until(at))
			p.call("new", time.Time{})
		})
		p.wg.Go(func() {
			time.Sleep(time.Until(at))
			p.send(unused[i], bufio.NewReader(unused[i]), "unused", time.Time{})
			_ = unused[i].Close()
		})
		p.wg.Go(func() {
			time.Sleep(time.Until(at))
			p.send(kept[i], readers[i], "kept", time.Time{})
			_ = kept[i].Close()
		})
	}
	// The rest of this body never comes.
	endless := p.dial()
	_, err := io.WriteString(endless, "POST /once/endless HTTP/1.1\r\nHost: a.example\r\nQuetzallug-Attempt-Id: endless\r\nContent-Length: 600\r\n\r\nb")
	require.NoError(p.t, err)
	time.Sleep(time.Until(stoppedAt))
	for _, s := range signals {
		require.NoError(p.t, p.gateway.Signal(s))
		time.Sleep(50 * time.Millisecond)
	}
	require.NoError(p.t, p.gateway.Stop(p.grace-time.Since(stoppedAt)), "the process is killed at the end of the grace time")
	_ = endless.Close()
	p.wg.Wait()
	require.NoError(p.t, p.gateway.Restart())
	p.d.waitReady()
	p.check(stoppedAt)
}

// check verifies that no request was lost and that refusals are true.
func (p *plannedStop) check(stoppedAt time.Time) {
	runs := p.d.runTimes()
	outcomes := map[string]int{}
	lastServed := time.Duration(0)
	for _, q := range p.requests {
		if q.connection == "warm" {
			require.Equal(p.t, http.StatusOK, q.status)
			continue
		}
		run, ran := runs[q.id]
		after := q.sentAt.Sub(stoppedAt)
		inLastSixth := ran && (run.endedAt.IsZero() || run.endedAt.After(stoppedAt.Add(p.grace*5/6)))
		outcome := fmt.Sprint(q.status)
		switch {
		case q.whole && q.status == http.StatusOK:
			lastServed = max(lastServed, after)
		case q.whole && q.status == http.StatusServiceUnavailable:
			if ran {
				p.t.Errorf("REFUSED: %s was refused although it ran", q.id)
			}
			if !q.close || q.retryAfter == "" {
				p.t.Errorf("%s was refused without telling its caller where and when to come back", q.id)
			}
		case ran && after <= excusedUntil && inLastSixth:
			outcome = "cut, excused"
		case ran:
			p.t.Errorf("LOST: %s, sent %s after the signal, ran and its caller got no whole answer (%d, %v)", q.id, after, q.status, q.err)
		case q.connection == "slow-body" && q.endedAt.Sub(q.sentAt) > lossSlack:
			p.t.Errorf("LOST: %s, sent %s after the signal, got no answer for %s", q.id, after, q.endedAt.Sub(q.sentAt))
		case q.connection == "slow-body":
			p.t.Errorf("%s, sent %s after the signal, got neither an answer nor a refusal (%d, %v)", q.id, after, q.status, q.err)
		default:
			outcome = "closed unread"
		}
		outcomes[q.connection+" "+outcome]++
	}
	p.t.Log(p.name, len(p.requests), "requests; the last one that was served was sent", lastServed, "after the signal;", outcomes)
	p.requests = nil
}

// runTime tells when a request ran.
type runTime struct {
	beganAt, endedAt time.Time
}

// runTimes returns when each request ran last.
func (d *processDeployment) runTimes() map[string]runTime {
	out := map[string]runTime{}
	d.eachLogLine(func(event, id string, at time.Time) {
		r := out[id]
		switch event {
		case "runs":
			r.beganAt = at
		case "ends":
			r.endedAt = at
		default:
			return
		}
		out[id] = r
	})
	return out
}

// TestLateRequestsInAPlannedStop plays requests that arrive until the end of the grace time: each is answered whole or
// truly refused.
func TestLateRequestsInAPlannedStop(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, testcluster.Build("../..", bin))
	for name, tc := range map[string]struct {
		work, grace time.Duration
		signals     []syscall.Signal
		stops       int
		long        bool
	}{
		"short work":           {work: 300 * time.Millisecond, grace: 8 * time.Second},
		"long work":            {work: 2500 * time.Millisecond, grace: 8 * time.Second},
		"longer work":          {work: 4500 * time.Millisecond, grace: 8 * time.Second},
		"short grace":          {work: 300 * time.Millisecond, grace: 2 * time.Second},
		"signals come again":   {work: time.Second, grace: 8 * time.Second, signals: []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}},
		"long grace":           {work: 4500 * time.Millisecond, grace: 30 * time.Second, long: true},
		"three stops in turn":  {work: time.Second, grace: 8 * time.Second, stops: processGateways, long: true},
		"work beyond the stop": {work: 4500 * time.Millisecond, grace: 2 * time.Second, long: true},
	} {
		t.Run(name, func(t *testing.T) {
			if tc.long && !*longStops {
				t.Skip("only with -long-stops")
			}
			t.Parallel()
			d := newProcessDeployment(t, bin, site.ProcessConfig{ServiceTime: tc.work}, nil, "--lame-duck", "2500ms", "--grace", tc.grace.String())
			defer d.stop()
			d.routeTimeout = stopTimeLeft
			d.writeConfig()
			time.Sleep(2 * time.Second)
			for i := range max(1, tc.stops) {
				p := &plannedStop{t: t, d: d, gateway: d.gateways[i], grace: tc.grace, name: fmt.Sprintf("stop%d", i)}
				p.play(tc.signals...)
			}
		})
	}
}
