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
	isQuiet := true
	onSocket(c, func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
	}, func() { isQuiet = false })
	return isQuiet
}

// HasReceivedMore reports whether a TCP connection has received more than a number of bytes, whether or not they were
// read. For other connections it reports false.
func HasReceivedMore(c net.Conn, bytes uint64) bool {
	more := false
	onSocket(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		more = err == nil && info.Bytes_received > bytes
	}, func() {})
	return more
}

// acknowledgedBytes returns how many bytes the other end of a TCP connection has acknowledged, with those that the handshake
// counts. It returns 0 for other connections and for closed ones.
func acknowledgedBytes(c descriptor) uint64 {
	var bytes uint64
	onSocket(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			bytes = info.Bytes_acked
		}
	}, func() {})
	return bytes
}

// HasWaitingConnection reports whether a listener has a connection that was not accepted yet. It does so only for sockets.
func HasWaitingConnection(l net.Listener) bool {
	waiting := false
	onSocket(l, func(fd int) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		waiting = err == nil && n > 0
	}, func() {})
	return waiting
}

// onSocket calls use with the descriptor of a connection or listener, or closed if it is a closed socket. It calls neither
// if it is no socket.
func onSocket(c any, use func(fd int), closed func()) {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sys.SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { use(int(fd)) })
	}
	if err != nil {
		closed()
	}
}
