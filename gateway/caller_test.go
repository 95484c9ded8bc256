package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/account"
	"github.com/quetzallug/quetzallug/internal/contain"
	"github.com/quetzallug/quetzallug/route"
	"github.com/quetzallug/quetzallug/upstream"
)

// plainCodec forwards headers unchanged.
type plainCodec struct{ Codec }

func (plainCodec) RequestMetadata(r *http.Request) RequestMetadata {
	return RequestMetadata{ID: r.Header.Get("Id"), Remaining: time.Second}
}

func (plainCodec) Header(received http.Header, _ *ForwardedRequest) http.Header { return received }

func (plainCodec) Key(http.Header) (account.Digest, bool) { return account.Digest{}, false }

func (plainCodec) Challenge(http.Header) {}

func (plainCodec) Answer(received http.Header) http.Header { return received }

func (plainCodec) ResponseMetadata(int, http.Header) ResponseMetadata {
	return ResponseMetadata{FromServer: true}
}

type noMetrics struct{ Metrics }

func (noMetrics) Request(string, string, string, time.Duration) {}
func (noMetrics) FirstEvent(string, string, time.Duration)      {}
func (noMetrics) Attempt(string, string)                        {}

// Guards against forwarding requests whose callers have disconnected. A process without free file
// descriptors may read a request a second after its arrival, when the caller's deadline has passed.
// A run of mix-turns-in-flood with seed 572537457078 forwarded four such requests.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	var arrivals atomic.Int64
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return l
	}
	serve := func(l net.Listener, srv *http.Server) {
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
	}
	backend := listen()
	serve(backend, &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		_, _ = io.WriteString(w, "ok")
	})})
	table, err := route.NewTable(1, []*route.Route{{
		Name: "r", Host: "a", Prefix: "/", Timeout: time.Second, MaxAttempts: 1, Shares: []route.Share{{Service: "s", Weight: 1}},
	}}, []*route.Service{{Name: "s"}}, route.Limits{})
	require.NoError(t, err)
	tables := &route.ActiveTable{}
	tables.Offer(table)
	roster := NewRoster()
	roster.Replace([]Registration{{ID: "i", Service: "s", Address: backend.Addr().String(), Slots: 4}}, time.Now())
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := New(Config{RetryWindow: time.Second}, plainCodec{}, tables, roster, upstream.NewPool(), NewQuarantine("edge-1", nil, log), noMetrics{}, contain.New(log, func(string) {}), log)

	l := listen()
	const callers = 20
	for i := range callers {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nId: %d\r\nContent-Length: 1\r\n\r\nb", i)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	// The server reads the requests only after the callers have disconnected.
	handled := make(chan struct{}, callers+1)
	serve(l, &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			defer func() { handled <- struct{}{} }()
			g.ServeHTTP(w, r)
		}),
		ConnContext: WithCaller,
	})
	for range callers {
		<-handled
	}
	require.Zero(t, arrivals.Load())
}
