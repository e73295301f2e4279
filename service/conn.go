package service

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// errConnUsed ends a second use of a connection for one call.
var errConnUsed = errors.New("service: the connection has carried its call")

// Conn is a new connection that carries one call which may not be repeated.
type Conn struct {
	conn      net.Conn
	timeout   time.Duration
	transport *http.Transport
	handedOut atomic.Bool
}

// Open dials a new connection. Its failure is the only one after which a call has certainly not run.
func (c *Client) Open(ctx context.Context, at string) (*Conn, error) {
	conn, err := c.Dial(ctx, "tcp", at)
	if err != nil {
		return nil, unreachable.Wrap(err, "service: unable to reach %s", at)
	}
	k := &Conn{conn: conn, timeout: c.ResponseTimeout}
	k.transport = newTransport(k.dial)
	k.transport.DisableKeepAlives = true
	return k, nil
}

// dial hands the connection out once, so that no layer can send the call a second time.
func (k *Conn) dial(context.Context, string, string) (net.Conn, error) {
	if k.handedOut.Swap(true) {
		return nil, errConnUsed
	}
	return k.conn, nil
}

// Send sends the call. After any error the call may have run.
func (k *Conn) Send(ctx context.Context, req *http.Request) (*http.Response, error) {
	return roundTrip(ctx, k.transport, req, k.timeout)
}

// Close drops a connection that has carried nothing.
func (k *Conn) Close() { k.conn.Close() }

// timedBody ends its call's context when it is closed, or when the service sends nothing for too long.
type timedBody struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
	cancel  func()
}

// Read implements io.Reader. The timer runs only while the service is awaited.
func (b *timedBody) Read(p []byte) (int, error) {
	b.timer.Reset(b.timeout)
	n, err := b.ReadCloser.Read(p)
	b.timer.Stop()
	return n, err
}

// Close implements io.Closer.
func (b *timedBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
