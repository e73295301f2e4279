package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Dialer opens TCP connections that fail within seconds when the other end is unreachable.
type Dialer struct{ net.Dialer }

// NewDialer returns a dialer with DialTimeout.
func NewDialer() *Dialer {
	return &Dialer{net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}}
}

// DialContext opens a connection. Reads from it return io.ErrUnexpectedEOF instead of io.EOF if the other end has ended
// the connection before it received all that was written. ReceivedAll says whether writes that returned later were received
// before the end.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look at the *net.OpError
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw, nil
	}
	return &dialedConn{Conn: tcp, descriptor: tcp, handshake: acknowledgedBytes(tcp)}, nil
}

// dialedConn is a connection opened by a Dialer.
type dialedConn struct {
	net.Conn
	descriptor
	handshake uint64 // what acknowledgedBytes returned before anything was written

	mu           sync.Mutex
	written      uint64 // bytes that were written
	ended        bool   // whether a read has returned the end
	acknowledged uint64 // bytes that the other end had received then
}

// descriptor gives access to the file descriptor of a connection.
type descriptor interface {
	SyscallConn() (syscall.RawConn, error)
}

// Read implements io.Reader.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.recordEnd() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// recordEnd records what the other end has received before it ended the connection, and reports whether that is all that
// was written, apart from a write that has not returned yet.
func (c *dialedConn) recordEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.acknowledged = true, max(acknowledgedBytes(c), c.handshake)-c.handshake
	}
	return c.written <= c.acknowledged
}

// Write implements io.Writer. A write after the end of the connection succeeds, as on other connections, if the other end can
// still receive it: net/http repeats an idempotent request after the end of a connection, but not after a failed write.
func (c *dialedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += uint64(n)
	return n, err
}

// ReceivedAll reports whether the other end of a connection received all that was written to it before the end that a read
// has returned. It knows that of the connections of a Dialer, and of those whose NetConn method returns one. It reports true
// for others, and before the end.
func ReceivedAll(conn net.Conn) bool {
	switch c := conn.(type) {
	case *dialedConn:
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.ended || c.written <= c.acknowledged
	case interface{ NetConn() net.Conn }:
		return ReceivedAll(c.NetConn())
	default:
		return true
	}
}
