package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes channels on to an address. Silence stops those that are open for good: they stay open and carry nothing more.
// With forgetAfter, a channel that has rested so long is forgotten: its client hears nothing of it, and what the client sends
// next on it is reset.
type proxy struct {
	target      string
	forgetAfter time.Duration

	mu     sync.Mutex
	silent chan struct{} // closed when the channels that are open now fall silent
}

// newProxy returns a proxy and its address.
func newProxy(target string, forgetAfter time.Duration) (*proxy, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &proxy{target: target, forgetAfter: forgetAfter, silent: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, l.Addr().String(), nil
}

func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
}

func (p *proxy) pass(c net.Conn) {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	ch := &channel{client: c, server: s, silent: silent, forgetAfter: p.forgetAfter, usedAt: time.Now()}
	go ch.pump(c, s)
	ch.pump(s, c)
}

// reset ends a channel so that the other end sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// channel is one channel of a proxy.
type channel struct {
	client, server net.Conn
	silent         <-chan struct{}
	forgetAfter    time.Duration

	mu sync.Mutex
	// usedAt is when something was passed on, and awaiting is true from what the client sent to the answer.
	usedAt   time.Time
	awaiting bool
	// forgotten is true once the channel is forgotten.
	forgotten bool
}

// isForgotten reports whether the channel has been forgotten, which is decided now if it was not.
func (ch *channel) isForgotten() bool {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	if ch.forgetAfter > 0 && !ch.awaiting && time.Since(ch.usedAt) > ch.forgetAfter {
		ch.forgotten = true
	}
	return ch.forgotten
}

func (ch *channel) used(byClient bool) {
	ch.mu.Lock()
	defer ch.mu.Unlock()
	ch.usedAt, ch.awaiting = time.Now(), byClient
}

// pump passes on what comes from one end until an end is gone or the channel is silent or forgotten.
func (ch *channel) pump(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		byClient := from == ch.client
		select {
		case <-ch.silent:
			// What comes is taken and dropped.
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		switch {
		case ch.isForgotten() && byClient:
			reset(ch.client)
			reset(ch.server)
			return
		case ch.isForgotten():
			// The client learns nothing of what becomes of the worker's end.
			_ = ch.server.Close()
			return
		}
		if n > 0 {
			ch.used(byClient)
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			// An end without a reset is passed on as one, and a reset as a reset.
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
