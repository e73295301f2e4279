// Package service is the HTTP client of plain services.
package service

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"teaselgate/response"
	"teaselgate/socket"
)

const (
	idleConnTimeout     = 30 * time.Second
	maxIdleConnsPerHost = 64
	responseTimeout     = 20 * time.Second
)

var (
	namespace   = errorx.NewNamespace("service")
	unreachable = namespace.NewType("unreachable")
	incomplete  = namespace.NewType("broken")

	// ErrUnreachable means that no connection could be opened, so the request did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrIncomplete means that no complete response header arrived. The request may have run.
	ErrIncomplete = incomplete.NewWithNoMessage()
)

// Client sends requests to plain services. Its exported fields must be set before use.
type Client struct {
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	ResponseTimeout time.Duration // longest wait for the response header and for each read of the body

	pooled *response.Transport
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	c := &Client{Dial: socket.NewDialer().DialContext, ResponseTimeout: responseTimeout}
	c.pooled = newTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		return c.Dial(ctx, network, address)
	})
	c.pooled.MaxIdleConnsPerHost = maxIdleConnsPerHost
	c.pooled.IdleConnTimeout = idleConnTimeout
	return c
}

// newTransport returns a transport that uses only HTTP/1.1 and does not ask for or decode compressed responses.
func newTransport(dial func(context.Context, string, string) (net.Conn, error)) *response.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return response.NewTransport(&http.Transport{
		DialContext: dial, DisableCompression: true, Protocols: &protocols,
	})
}

// RefusesConnections reports whether nothing listens at a server's address: its host is reachable and it has ended.
func (c *Client) RefusesConnections(ctx context.Context, address string) bool {
	return socket.RefusesConnections(ctx, c.Dial, address)
}

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends an idempotent request to a service on a pooled connection.
func (c *Client) Do(ctx context.Context, req *http.Request) (*http.Response, error) {
	return roundTrip(ctx, c.pooled, req, c.ResponseTimeout)
}

// roundTrip sends a request. The timeout bounds the wait for the response header and each read of the response body.
func roundTrip(
	ctx context.Context, transport *response.Transport, req *http.Request, timeout time.Duration,
) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() { cancel(context.DeadlineExceeded) })
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		cancel(err)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return nil, unreachable.Wrap(err, "service: unable to reach %s", req.URL.Host)
		}
		return nil, incomplete.Wrap(err, "service: request to %s failed", req.URL.Host)
	}
	if !timer.Stop() {
		resp.Body.Close()
		return nil, incomplete.New("service: no response from %s within the timeout", req.URL.Host)
	}
	resp.Body = &timedBody{ReadCloser: resp.Body, timer: timer, timeout: timeout, cancel: func() { cancel(nil) }}
	return resp, nil
}
