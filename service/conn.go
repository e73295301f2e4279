package service

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"teaselgate/response"
)

// errConnUsed is returned when the transport asks for the connection of a Conn a second time.
var errConnUsed = errors.New("service: the connection has already been used for its request")

// Conn is a new connection for a single request that must not be sent twice.
type Conn struct {
	conn      net.Conn
	timeout   time.Duration
	transport *response.Transport
	handedOut atomic.Bool // whether the transport has taken conn
}

// Open opens a new connection. Its error is the only one after which the request has certainly not run.
func (c *Client) Open(ctx context.Context, address string) (*Conn, error) {
	conn, err := c.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, unreachable.Wrap(err, "service: unable to reach %s", address)
	}
	k := &Conn{conn: conn, timeout: c.ResponseTimeout}
	k.transport = newTransport(k.dial)
	k.transport.DisableKeepAlives = true
	return k, nil
}

// dial returns the connection on the first call only, so that the transport can't send the request a second time.
func (k *Conn) dial(context.Context, string, string) (net.Conn, error) {
	if k.handedOut.Swap(true) {
		return nil, errConnUsed
	}
	return k.conn, nil
}

// Send sends the request. After any error the request may have run.
func (k *Conn) Send(ctx context.Context, req *http.Request) (*http.Response, error) {
	return roundTrip(ctx, k.transport, req, k.timeout)
}

// Close closes a connection on which nothing was sent.
func (k *Conn) Close() { k.conn.Close() }

// timedBody is a response body that cancels the context of its request when it is closed, or when a read takes longer
// than the timeout.
type timedBody struct {
	io.ReadCloser
	timer   *time.Timer
	timeout time.Duration
	cancel  func()
}

// Read implements io.Reader. The timer runs only during the read, so that a slow caller does not count as a silent
// service.
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
