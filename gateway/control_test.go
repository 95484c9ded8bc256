package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// idOrders tells answers to callers by an ID header.
type idOrders struct{ Orders }

func (idOrders) AnswersCaller(h http.Header) bool { return h.Get("Id") != "" }

// Guards against a late copy of a refusal being taken for the answer to an order.
func TestLateCopiesAreNoAnswersToOrders(t *testing.T) {
	const copied = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				br, late := bufio.NewReader(c), ""
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(c, late+"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
					late = copied
				}
			}()
		}
	}()
	pool := upstream.NewPool()
	defer pool.Close()
	r := &RolePlanner{pool: pool, orders: idOrders{}}
	s := makeServer(Registration{Address: l.Addr().String()}, &serverState{listed: true})
	resp, err := pool.Do(context.Background(), s.Address, &upstream.Request{Method: http.MethodGet, Target: "/"}, func(*http.Response, bool) bool { return true })
	require.NoError(t, err)
	_, err = io.ReadAll(resp)
	require.NoError(t, err)
	resp.Close(pool)
	status, _, err := r.call(context.Background(), s, &upstream.Request{Method: http.MethodPost, Target: "/"})
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, status)
}
