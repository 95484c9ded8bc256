package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/lease"
	"github.com/quetzallug/quetzallug/upstream"
)

// idCodec takes the metadata of responses from plain headers.
type idCodec struct{ Codec }

func (idCodec) ResponseMetadata(_ int, h http.Header) ResponseMetadata {
	return ResponseMetadata{ID: h.Get("Id"), NotRun: h.Get("Not-Run") != "", AddressReused: h.Get("Reused") != ""}
}

// Guards against a late copy of a refusal that has lost its ID, and against one of another request.
func TestResponsesWithoutAnIDAreFirst(t *testing.T) {
	q := &request{g: &Gateway{codec: idCodec{}}, metadata: RequestMetadata{ID: "own"}}
	for _, h := range []http.Header{{}, {"Not-Run": {"1"}}, {"Reused": {"1"}}} {
		require.True(t, q.isResponseToRequest(&http.Response{Header: h}, true))
		require.False(t, q.isResponseToRequest(&http.Response{Header: h}, false))
		h["Id"] = []string{"own"}
		require.True(t, q.isResponseToRequest(&http.Response{Header: h}, false))
		h["Id"] = []string{"another"}
		require.False(t, q.isResponseToRequest(&http.Response{Header: h}, true))
	}
}

// idOrders tells answers to callers by an ID header.
type idOrders struct{ Orders }

func (idOrders) AnswersCaller(h http.Header) bool { return h.Get("Id") != "" }

// serveCopies serves connections on which each response but the first comes after a late one, and returns the address.
func serveCopies(t *testing.T, late string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		br, before := bufio.NewReader(c), ""
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = io.WriteString(c, before+"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
			before = late
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a connection that may hold a late copy of a response without an ID being used again.
func TestConnectionsOfResponsesWithoutAnIDAreClosed(t *testing.T) {
	for id, open := range map[string]int{"": 0, "own": 1} {
		address := serveCopies(t, "")
		pool := upstream.NewPool()
		defer pool.Close()
		resp, err := pool.Do(context.Background(), address, &upstream.Request{Method: http.MethodGet, Target: "/"}, func(*http.Response, bool) bool { return true })
		require.NoError(t, err)
		discardUnidentified(resp, ResponseMetadata{ID: id})
		_, err = io.ReadAll(resp)
		require.NoError(t, err)
		resp.Close(pool)
		require.Equal(t, open, pool.Connections(address))
	}
}

// Guards against a late copy of a refusal being taken for the answer to an order.
func TestLateCopiesAreNoAnswersToOrders(t *testing.T) {
	const copied = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	address := serveCopies(t, copied)
	pool := upstream.NewPool()
	defer pool.Close()
	r := &RolePlanner{pool: pool, orders: idOrders{}}
	s := makeServer(Registration{Address: address}, &serverState{listed: true})
	resp, err := pool.Do(context.Background(), s.Address, &upstream.Request{Method: http.MethodGet, Target: "/"}, func(*http.Response, bool) bool { return true })
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	resp.Close(pool)
	status, _, err := r.call(context.Background(), s, &upstream.Request{Method: http.MethodPost, Target: "/"})
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, status)
}

// Guards against an order that is sent after the authority for it has ended, because opening the connection took long.
func TestOrdersNeedAuthorityAtTheSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		received := 0
		pool := upstream.NewPoolWithDial(func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(300 * time.Millisecond)
			caller, server := net.Pipe()
			go func() {
				defer server.Close()
				if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
					received++
					_, _ = io.WriteString(server, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			return caller, nil
		})
		r := &RolePlanner{pool: pool, orders: idOrders{}}
		s := makeServer(Registration{Address: "10.0.0.1:1"}, &serverState{listed: true})
		send := func(validFor time.Duration) error {
			a := lease.NewAuthority(RolesPool, "edge-1", 1, time.Now().Add(validFor))
			_, _, err := r.callUnder(t.Context(), a, s, &upstream.Request{Method: http.MethodPost, Target: "/"})
			return err
		}
		require.NoError(t, send(time.Second))
		require.Equal(t, 1, received)
		require.ErrorIs(t, send(100*time.Millisecond), upstream.ErrNotSent)
		require.Equal(t, 1, received)
		pool.Close()
	})
}
