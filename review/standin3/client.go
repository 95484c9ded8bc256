package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one request of a client and what came back.
type call struct {
	id, path string
	sent     time.Time
	// status is 0 if no answer came.
	status    int
	signature string
	body      string
	// whole is true if the answer ended as a complete one.
	whole bool
	err   error
	ended time.Time
}

// events returns the number of events in the answer.
func (c *call) events() int { return strings.Count(c.body, "\n\n") }

// post returns a request with further header lines.
func post(path, id string, limit time.Duration, more, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\n%s%sContent-Length: %d\r\n\r\n%s", path, header(map[string]string{"attempt": id, "deadline": strconv.FormatInt(limit.Milliseconds(), 10)}), more, len(body), body)
}

// send sends one POST on a channel of its own and reads the answer.
func (p *play) send(front, path, id string, limit time.Duration, more, body string) *call {
	c := &call{id: id, path: path, sent: time.Now()}
	defer func() {
		c.ended = time.Now()
		p.note("client %s %s: status %d, signature %q, %d bytes, whole %t, error %v, after %d ms", c.id, c.path, c.status, c.signature, len(c.body), c.whole, c.err, c.ended.Sub(c.sent).Milliseconds())
	}()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", front)
	if err != nil {
		c.err = err
		return c
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(limit + time.Second))
	if _, c.err = io.WriteString(conn, post(path, id, limit, more, body)); c.err != nil {
		return c
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.err = err
		return c
	}
	defer resp.Body.Close()
	c.status, c.signature = resp.StatusCode, resp.Header.Get(name("signature"))
	b, err := io.ReadAll(resp.Body)
	c.body, c.err, c.whole = string(b), err, err == nil
	return c
}
