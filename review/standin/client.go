package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// call is one attempt of a client.
type call struct {
	method, target string
	limit          time.Duration
	header         map[string]string
	body           string
}

// answer is what the client saw.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the channel ended without a whole answer; status is 0 if there was no head.
	err error
}

var lastID atomic.Uint64

var idBase = rand.Uint64() << 24

func newID() string { return fmt.Sprintf("%016x", idBase+lastID.Add(1)) }

// channels keeps the open channels of the clients to one gateway.
type channels struct {
	address string
	mu      sync.Mutex
	idle    []*channel
}

type channel struct {
	net.Conn
	br   *bufio.Reader
	used time.Time
}

// maxChannelIdle is how long clients reuse idle channels.
const maxChannelIdle = 10 * time.Second

func (c *channels) get() (*channel, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		ch := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(ch.used) < maxChannelIdle {
			return ch, nil
		}
		_ = ch.Close()
	}
	conn, err := net.DialTimeout("tcp", c.address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, br: bufio.NewReader(conn)}, nil
}

func (c *channels) put(ch *channel) {
	ch.used = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, ch)
}

// do sends one attempt and reads its answer.
func (c *channels) do(r *call) answer {
	a := answer{id: newID()}
	ch, err := c.get()
	if err != nil {
		a.err = err
		return a
	}
	keep := false
	defer func() {
		if keep {
			c.put(ch)
		} else {
			_ = ch.Close()
		}
	}()
	_ = ch.SetDeadline(time.Now().Add(r.limit + time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\n%s: %s\r\n%s: %s\r\n", r.method, r.target,
		header("Attempt-Id"), a.id, header("Deadline-Ms"), strconv.FormatInt(r.limit.Milliseconds(), 10))
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := io.WriteString(ch, b.String()); err != nil {
		a.err = err
		return a
	}
	resp, err := http.ReadResponse(ch.br, &http.Request{Method: r.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
	keep = err == nil && !resp.Close
	return a
}
