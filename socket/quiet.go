package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether a connection is open and has no received data that was not read yet. It does so only for
// sockets; others count as quiet.
func IsQuiet(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
	})
	return err == nil && isQuiet
}

// HasReceivedMore reports whether a TCP connection has received more than a number of bytes, whether or not they were
// read. For other connections it reports false.
func HasReceivedMore(c net.Conn, bytes uint64) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	more := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		more = err == nil && info.Bytes_received > bytes
	})
	return err == nil && more
}
