// Package service is the adapter to plain services.
package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/socket"
)

const (
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	responseTimeout     = 20 * time.Second // until the header of the answer
)

var (
	namespace   = errorx.NewNamespace("service")
	unreachable = namespace.NewType("unreachable")
	incomplete  = namespace.NewType("broken")

	// ErrUnreachable says that no connection could be opened: the call did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrIncomplete says that the call may have run, but no whole answer came.
	ErrIncomplete = incomplete.NewWithNoMessage()
)

// Client calls plain services. Its exported fields are set before use.
type Client struct {
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	ResponseTimeout time.Duration // until the header of an answer

	pooled *http.Transport
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	c := &Client{Dial: socket.NewDialer().DialContext, ResponseTimeout: responseTimeout}
	c.pooled = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.Dial(ctx, network, address)
	})
	c.pooled.MaxIdleConnsPerHost = maxIdleConnsPerHost
	c.pooled.IdleConnTimeout = idleConnTimeout
	return c
}

// newTransport makes a transport that speaks HTTP/1.1 only and changes nothing in a call.
func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{DialContext: dial, DisableCompression: true, Protocols: &protocols}
}

// Close drops the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends an idempotent call to a service on a pooled connection.
func (c *Client) Do(ctx context.Context, req *http.Request) (*http.Response, error) {
	return roundTrip(ctx, c.pooled, req, c.ResponseTimeout)
}

// roundTrip sends a call and bounds the wait for the header of its answer.
func roundTrip(ctx context.Context, transport *http.Transport, req *http.Request, timeout time.Duration) (*http.Response, error) {
	ctx, stop := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { stop(context.DeadlineExceeded) })
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		stop(err)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, unreachable.Wrap(err, "service: unable to reach %s", req.URL.Host)
		}
		return nil, incomplete.Wrap(err, "service: call to %s failed", req.URL.Host)
	}
	if !timer.Stop() {
		resp.Body.Close()
		return nil, incomplete.New("service: no answer from %s in time", req.URL.Host)
	}
	resp.Body = &timedBody{ReadCloser: resp.Body, timer: timer, timeout: timeout, cancel: func() { stop(nil) }}
	return resp, nil
}
