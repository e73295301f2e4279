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
// the connection before it received all that was written. Writes return syscall.EPIPE if they are not received before the
// end that a read has returned, also where the other end could still receive them.
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
// was written. A write that has not returned yet may have been received: it decides itself.
func (c *dialedConn) recordEnd() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended, c.acknowledged = true, max(acknowledgedBytes(c), c.handshake)-c.handshake
	}
	return c.isReceived()
}

// Write implements io.Writer.
func (c *dialedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written += uint64(n)
	if err == nil && c.ended && !c.isReceived() {
		err = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.EPIPE}
	}
	return n, err
}

// isReceived reports whether all that was written has been received before the end.
func (c *dialedConn) isReceived() bool { return c.written <= c.acknowledged }
