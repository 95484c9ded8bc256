package upstream

import (
	"errors"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function of net.Dialer. It gives up a connection whose peer
// acknowledges nothing for d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var option error
		err := c.Control(func(fd uintptr) {
			option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, option)
	}
}

// silent tells whether an idle connection is open and has nothing to read.
func silent(c net.Conn) bool {
	n, err, ok := peek(c)
	return !ok || n <= 0 && nothingYet(err)
}

// nothingYet tells whether a read found an open connection without bytes.
func nothingYet(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
}

// peek looks at the next byte without taking it or waiting for it. It does not wait for another reader of
// the connection either, as RawConn.Read would. ok is false if the connection is no socket.
func peek(c net.Conn) (n int, err error, ok bool) {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return 0, nil, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err, true
	}
	var b [1]byte
	var readErr error
	err = raw.Control(func(fd uintptr) {
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err, true
	}
	return n, readErr, true
}

// Ended tells whether the peer has closed or reset a connection, although what it sent before may be
// unread.
func Ended(c net.Conn) bool {
	n, err, ok := peek(c)
	return ok && n <= 0 && !nothingYet(err) && !errors.Is(err, unix.EINTR)
}

// keepAliveTimeout reads the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(value string) (int, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, seconds, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(seconds))
		return n, err == nil && n >= 0
	}
	return 0, false
}
