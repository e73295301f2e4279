package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time // when it has been idle for too long
	reused bool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// quiet tells whether an idle connection is open and holds no byte: anything that arrived belongs to no request.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.silent()
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EWOULDBLOCK)
	})
	return err == nil && quiet
}

// silent is quiet for a connection that is no socket: it tries to read without waiting.
func (c *conn) silent() bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded) && c.SetReadDeadline(time.Time{}) == nil
}
