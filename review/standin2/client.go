package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a request of a client and what came of it.
type call struct {
	id, method, path, body string
	// events is the number of events of a stream; 0 for a plain request.
	events     int
	prompt     string
	deadlineMS int

	sentAt, endedAt time.Time
	status          int
	signature       string
	answer          string
	// whole is true if the answer ended as the protocol says that a whole one ends.
	whole bool
	err   error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// caller is a client with one channel, which it keeps.
type caller struct {
	address string
	conn    net.Conn
	br      *bufio.Reader
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer.
func (c *caller) do(q *call) {
	q.sentAt = time.Now()
	defer func() { q.endedAt = time.Now() }()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			q.err = err
			return
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(q.deadlineMS) * time.Millisecond))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", q.method, q.path, hostname, name("attempt"), q.id, name("deadline"), q.deadlineMS)
	if q.events > 0 {
		head += fmt.Sprintf("%s: m\r\n%s: 141,%d\r\n%s: %s\r\n", name("model"), name("tokens"), q.events, name("prefix"), q.prompt)
	}
	if q.method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, q.err = io.WriteString(c.conn, head+"\r\n"+q.body); q.err != nil {
		c.close()
		return
	}
	c.receive(q)
}

func (c *caller) receive(q *call) {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		c.close()
		return
	}
	defer resp.Body.Close()
	q.status, q.signature = resp.StatusCode, resp.Header.Get(name("signature"))
	b, err := io.ReadAll(resp.Body)
	q.answer, q.err, q.whole = string(b), err, err == nil
	if err != nil || resp.Close {
		c.close()
	}
}

// expected returns the whole answer of a worker.
func (q *call) expected() string {
	if q.events == 0 {
		return plainAnswer(q.id, q.path, q.body)
	}
	var b strings.Builder
	for n := range q.events {
		b.WriteString(event(q.id, n+1))
	}
	return b.String()
}

// summary describes what came of the request.
func (q *call) summary() string {
	end := "whole"
	if !q.whole {
		end = fmt.Sprintf("broken off (%v)", q.err)
		if errors.Is(q.err, io.ErrUnexpectedEOF) || errors.Is(q.err, io.EOF) {
			end = "broken off"
		}
	}
	text := fmt.Sprintf("%s %s %s: %d, %d bytes, %s, %d ms", q.id, q.method, q.path, q.status, len(q.answer), end, q.endedAt.Sub(q.sentAt).Milliseconds())
	if q.events > 0 {
		text += fmt.Sprintf(", %d of %d pieces", strings.Count(q.answer, "\n\n"), q.events)
	}
	return text
}
