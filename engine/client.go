package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"teaselgate/response"
	"teaselgate/socket"
)

// Limits of calls to engines.
const (
	idleConnTimeout           = time.Minute
	maxIdleConnsPerHost       = 64
	silenceTimeout            = 4 * time.Second // a healthy engine sends at least one byte within this time
	cancelTimeout             = 500 * time.Millisecond
	minPrefillTokensPerSecond = 4000  // lowest prefill rate of a healthy engine, including the time in its queue
	minImportTokensPerSecond  = 20000 // lowest rate of a KV cache transfer, over a slow link
	bytesPerToken             = 4     // bytes of prompt text per token, on average
)

// Client calls engines over HTTP. Its exported fields must be set before use.
type Client struct {
	Dial           func(ctx context.Context, network, address string) (net.Conn, error)
	SilenceTimeout time.Duration // an engine that sends nothing for this long counts as failed

	pooled   *response.Transport
	unpooled *response.Transport // opens a new connection for each request
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	c := &Client{Dial: socket.NewDialer().DialContext, SilenceTimeout: silenceTimeout}
	c.pooled, c.unpooled = c.newTransport(), c.newTransport()
	c.unpooled.DisableKeepAlives = true
	return c
}

func (c *Client) newTransport() *response.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return response.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.Dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           &protocols,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Prefill computes the KV cache of a prompt at an engine.
func (c *Client) Prefill(ctx context.Context, address string, req PrefillRequest) (PrefillResponse, error) {
	var response PrefillResponse
	ctx, cancel := c.withTimeout(ctx, len(req.Prompt)/bytesPerToken, minPrefillTokensPerSecond)
	defer cancel()
	err := c.post(ctx, address, PrefillPath, req, &response)
	return response, checkAttempt(err, req.Attempt, response.Attempt)
}

// Import tells a decode engine to fetch KV cache from a prefill engine.
func (c *Client) Import(ctx context.Context, address string, req ImportRequest) (ImportResponse, error) {
	var response ImportResponse
	ctx, cancel := c.withTimeout(ctx, req.Tokens, minImportTokensPerSecond)
	defer cancel()
	err := c.post(ctx, address, ImportPath, req, &response)
	return response, checkAttempt(err, req.Attempt, response.Attempt)
}

// Cancel ends an attempt at an engine. It uses a new connection, since a pooled one may be dead.
func (c *Client) Cancel(ctx context.Context, address string, req CancelRequest) (CancelResponse, error) {
	var response CancelResponse
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := c.call(ctx, c.unpooled, http.MethodPost, address, CancelPath, req, &response)
	return response, checkAttempt(err, req.Attempt, response.Attempt)
}

// Order sends an order with a fencing number.
func (c *Client) Order(ctx context.Context, address string, req Order) error {
	var response struct{}
	return c.post(ctx, address, OrderPath, req, &response)
}

// Load returns an engine's load report.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var response LoadReport
	ctx, cancel := c.withTimeout(ctx, 0, 1)
	defer cancel()
	err := c.get(ctx, address, LoadPath, &response)
	return response, err
}

// Requests returns what the attempts of an owner hold at an engine. An empty owner returns those of all owners.
func (c *Client) Requests(ctx context.Context, address, owner string) ([]Holding, error) {
	var response []Holding
	ctx, cancel := c.withTimeout(ctx, 0, 1)
	defer cancel()
	err := c.get(ctx, address, RequestsPath+"?owner="+url.QueryEscape(owner), &response)
	return response, err
}

// CacheEvents returns an engine's cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var response []CacheEvent
	ctx, cancel := c.withTimeout(ctx, 0, 1)
	defer cancel()
	err := c.get(ctx, address, fmt.Sprintf("%s?after=%d", EventsPath, after), &response)
	return response, err
}

// withTimeout bounds a call by SilenceTimeout plus the time that the tokens take at the given rate per second.
func (c *Client) withTimeout(ctx context.Context, tokens, rate int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.SilenceTimeout+time.Duration(tokens)*time.Second/time.Duration(rate))
}

// checkAttempt returns err, or ErrWrongAttempt if the response belongs to another attempt.
func checkAttempt(err error, want, got string) error {
	if err != nil {
		return err
	}
	if want != got {
		return wrongAttempt.New("engine: got a response for attempt %s instead of %s", got, want)
	}
	return nil
}
