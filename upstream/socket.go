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

// UserTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT: the operating system
// closes the connection if sent data remains unacknowledged for d.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// isOpenAndIdle reports whether a connection is open and has no data to read. It returns true if c is
// not a socket.
func isOpenAndIdle(c net.Conn) bool {
	n, err, ok := peek(c)
	return !ok || n <= 0 && wouldBlock(err)
}

// wouldBlock reports whether a non-blocking read failed because an open connection had no data.
func wouldBlock(err error) bool {
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
}

// peek reads the next byte without consuming it and without blocking. Unlike RawConn.Read, it does not
// wait for a concurrent reader of the connection. n is 1 if there is a byte, and 0 with a nil error at the
// end of the data. ok is false if c is not a socket.
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

// PeerClosed reports whether the peer has reset a connection, or has closed it and all received data has been
// read, or whether the connection has been closed locally. A connection that is not a socket may tell so by a
// method of the same name; without it, PeerClosed returns false.
func PeerClosed(c net.Conn) bool {
	if t, ok := c.(interface{ PeerClosed() bool }); ok {
		return t.PeerClosed()
	}
	n, err, ok := peek(c)
	return ok && n <= 0 && !wouldBlock(err) && !errors.Is(err, unix.EINTR)
}

// PeerReset reports whether neither end of a connection can send any more, for example after a reset, also if there is
// data that was not read. It returns false if c is not a socket.
func PeerReset(c net.Conn) bool {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	fds := []unix.PollFd{{}}
	n := 0
	_ = raw.Control(func(fd uintptr) {
		fds[0].Fd = int32(fd) //nolint:gosec // descriptors are small
		n, _ = unix.Poll(fds, 0)
	})
	return n > 0 && fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
}

// maxUnread is how much received data may be unread without closing the window of a connection, which is 64 KiB at least. With
// a closed window, the end of the connection waits at the peer.
const maxUnread = 16 << 10

// isQuiet reports whether a connection is open, has received nothing for d and takes more data. If c is not a socket, only the
// first is known.
func isQuiet(c net.Conn, d time.Duration) bool {
	sc, isSocket := c.(syscall.Conn)
	if !isSocket {
		return !PeerClosed(c)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}} //nolint:gosec // descriptors are small
		n, err := unix.Poll(fds, 0)
		if err != nil || n != 0 {
			return
		}
		unread, err := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		if err != nil || unread > maxUnread {
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		quiet = err == nil && time.Duration(info.Last_data_recv)*time.Millisecond >= d
	})
	return quiet
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header in seconds, and whether it
// is present and valid.
func parseKeepAliveTimeout(value string) (int, bool) {
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
