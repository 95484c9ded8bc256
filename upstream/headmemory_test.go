package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/quetzallug/quetzallug/upstream"
)

// countedMemory has a limited memory and remembers the most that was taken.
type countedMemory struct {
	mu                sync.Mutex
	limit, used, most int64
}

func (m *countedMemory) TryReserve(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	m.most = max(m.most, m.used)
	return true
}

func (m *countedMemory) Release(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= size
}

func doWith(p *upstream.Pool, addr string, m upstream.Memory) (*upstream.Response, error) {
	return p.Do(context.Background(), addr, &upstream.Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{}, Body: []byte("b"), Memory: m},
		func(*http.Response, bool) bool { return true })
}

func fields(n, size int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "n%d: %s\r\n", i, strings.Repeat("v", size))
	}
	return b.String()
}

// Guards against heads of many answers that together take more memory than the process has, and against memory that is not
// given back.
func TestLargeHeadsAreAccounted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
	for name, tc := range map[string]struct {
		head  string
		limit int64
		// least is the least memory that has to be taken; negative if the head is refused.
		least int64
	}{
		"usual":                      {head: head + fields(10, 20)},
		"long value":                 {head: head + fields(1, 20_000), limit: 1 << 20, least: 32_000},
		"many lines":                 {head: head + fields(250, 4), limit: 1 << 20, least: 80_000},
		"too many lines":             {head: head + fields(260, 4), limit: 1 << 20, least: -1},
		"long value, no memory":      {head: head + fields(1, 20_000), limit: 16 << 10, least: -1},
		"many lines, no memory":      {head: head + fields(250, 4), limit: 16 << 10, least: -1},
		"many informational answers": {head: strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+fields(200, 4)+"\r\n", 3) + head, limit: 1 << 20, least: 60_000},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveTexts(t, "", tc.head+"\r\nx")
			p := upstream.NewPool()
			defer p.Close()
			m := &countedMemory{limit: tc.limit}
			resp, err := doWith(p, addr, m)
			if tc.least < 0 {
				require.ErrorIs(t, err, upstream.ErrExchangeFailed)
				require.Zero(t, m.used)
				return
			}
			require.NoError(t, err)
			require.GreaterOrEqual(t, m.most, tc.least)
			require.LessOrEqual(t, m.most, 2*tc.least)
			_, _ = io.ReadAll(resp)
			resp.Close(p)
			require.Zero(t, m.used)
			_, err = doWith(p, addr, nil)
			require.NoError(t, err)
		})
	}
}

// Guards against lines of a body that count as lines of the head before it, as they come with one read.
func TestLinesOfBodiesAreNotAccounted(t *testing.T) {
	body := strings.Repeat("\n", 3000)
	addr := startServer(t, func(c *net.TCPConn, br *bufio.Reader) {
		for _, ok := readRequest(br); ok; _, ok = readRequest(br) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	p := upstream.NewPool()
	defer p.Close()
	for range 3 {
		resp, err := doWith(p, addr, &countedMemory{})
		require.NoError(t, err)
		text, err := io.ReadAll(resp)
		require.NoError(t, err)
		require.Equal(t, body, string(text))
		resp.Close(p)
	}
}
