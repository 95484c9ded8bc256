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
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var b [1]byte
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	return err == nil && n <= 0 && (readErr == unix.EAGAIN || readErr == unix.EWOULDBLOCK)
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
