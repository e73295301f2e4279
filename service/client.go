// Package service is the adapter to plain services.
package service

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

const (
	dialTimeout       = time.Second
	keepAliveInterval = 2 * time.Second
	idleConnTimeout   = 30 * time.Second
	answerTimeout     = 30 * time.Second // until the first byte of the answer
)

var (
	namespace   = errorx.NewNamespace("service")
	unreachable = namespace.NewType("unreachable")
	broken      = namespace.NewType("broken")

	// ErrUnreachable says that no connection could be opened: the call did not run.
	ErrUnreachable = unreachable.NewWithNoMessage()
	// ErrBroken says that the call may have run, but no whole answer came.
	ErrBroken = broken.NewWithNoMessage()
)

// Client calls plain services. Calls that may not be repeated never use a pooled connection.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	return &Client{pooled: newHTTPClient(false), fresh: newHTTPClient(true)}
}

func newHTTPClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		DisableKeepAlives:     fresh,
		DisableCompression:    true,
		IdleConnTimeout:       idleConnTimeout,
		ResponseHeaderTimeout: answerTimeout,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// Close drops the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// Do sends a request to a service. With once, it is sent on a new connection, at most once.
func (c *Client) Do(ctx context.Context, req *http.Request, once bool) (*http.Response, error) {
	client := c.pooled
	if once {
		client = c.fresh
	}
	resp, err := client.Do(req.WithContext(ctx))
	if err == nil {
		return resp, nil
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, unreachable.Wrap(err, "service: unable to reach %s", req.URL.Host)
	}
	return nil, fmt.Errorf("service: call to %s failed: %w", req.URL.Host, broken.Wrap(err, "no whole answer"))
}
