package socket

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
)

// Dialer opens TCP connections that fail within seconds when the other end is unreachable.
type Dialer struct{ net.Dialer }

// NewDialer returns a dialer with DialTimeout.
func NewDialer() *Dialer {
	return &Dialer{net.Dialer{Timeout: DialTimeout, KeepAliveConfig: keepAliveConfig(), Control: setUserTimeout}}
}

// DialContext opens a connection. Reads from it return io.ErrUnexpectedEOF instead of io.EOF if the other end has ended
// the connection before it received all that was sent.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err //nolint:wrapcheck // callers look at the *net.OpError
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return raw, nil
	}
	return &dialedConn{tcp, tcp}, nil
}

// dialedConn is a connection opened by a Dialer.
type dialedConn struct {
	net.Conn
	descriptor
}

// descriptor gives access to the file descriptor of a connection.
type descriptor interface {
	SyscallConn() (syscall.RawConn, error)
}

// Read implements io.Reader.
func (c *dialedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && hasUnacknowledged(c) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
