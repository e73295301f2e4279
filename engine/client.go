package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"teaselgate/socket"
)

// Limits of calls to engines.
const (
	idleConnTimeout           = time.Minute
	maxIdleConnsPerHost       = 64
	silenceTimeout            = 4 * time.Second // without a byte from a working engine
	cancelTimeout             = 500 * time.Millisecond
	minPrefillTokensPerSecond = 4000  // prompt tokens that a working engine computes in a second, waiting included
	minImportTokensPerSecond  = 20000 // tokens whose KV cache crosses a slow link in a second
	bytesPerToken             = 4
)

// Client calls engines over HTTP. Its exported fields are set before use.
type Client struct {
	Dial           func(ctx context.Context, network, address string) (net.Conn, error)
	SilenceTimeout time.Duration // after which an engine that sends nothing is taken for failed

	pooled   *http.Transport
	unpooled *http.Transport
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	c := &Client{Dial: socket.NewDialer().DialContext, SilenceTimeout: silenceTimeout}
	c.pooled, c.unpooled = c.newTransport(), c.newTransport()
	c.unpooled.DisableKeepAlives = true
	return c
}

func (c *Client) newTransport() *http.Transport {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.Dial(ctx, network, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           &protocols,
	}
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Prefill computes the KV cache of a prompt at an engine.
func (c *Client) Prefill(ctx context.Context, at string, m PrefillRequest) (PrefillResponse, error) {
	var answer PrefillResponse
	ctx, stop := c.withTimeout(ctx, len(m.Prompt)/bytesPerToken, minPrefillTokensPerSecond)
	defer stop()
	err := c.post(ctx, at, PrefillPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Import moves KV cache from a prefill engine to a decode engine.
func (c *Client) Import(ctx context.Context, at string, m ImportRequest) (ImportResponse, error) {
	var answer ImportResponse
	ctx, stop := c.withTimeout(ctx, m.Tokens, minImportTokensPerSecond)
	defer stop()
	err := c.post(ctx, at, ImportPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Cancel ends an attempt at an engine. It takes a new connection, as a pooled one may have gone silent.
func (c *Client) Cancel(ctx context.Context, at string, m CancelRequest) (CancelResponse, error) {
	var answer CancelResponse
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	err := c.call(ctx, c.unpooled, http.MethodPost, at, CancelPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Order sends an order with a fencing number.
func (c *Client) Order(ctx context.Context, at string, m Order) error {
	var answer struct{}
	return c.post(ctx, at, OrderPath, m, &answer)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, at string) (LoadReport, error) {
	var answer LoadReport
	ctx, stop := c.withTimeout(ctx, 0, 1)
	defer stop()
	err := c.get(ctx, at, LoadPath, &answer)
	return answer, err
}

// Requests lists what an owner's attempts hold at an engine; an empty owner lists all.
func (c *Client) Requests(ctx context.Context, at, owner string) ([]Holding, error) {
	var answer []Holding
	ctx, stop := c.withTimeout(ctx, 0, 1)
	defer stop()
	err := c.get(ctx, at, RequestsPath+"?owner="+url.QueryEscape(owner), &answer)
	return answer, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, at string, after uint64) ([]CacheEvent, error) {
	var answer []CacheEvent
	ctx, stop := c.withTimeout(ctx, 0, 1)
	defer stop()
	err := c.get(ctx, at, fmt.Sprintf("%s?after=%d", EventsPath, after), &answer)
	return answer, err
}

// withTimeout limits a call by the time that a working engine needs for its tokens.
func (c *Client) withTimeout(ctx context.Context, tokens, rate int) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, c.SilenceTimeout+time.Duration(tokens)*time.Second/time.Duration(rate))
}

func checkAttempt(err error, want, got string) error {
	if err != nil {
		return err
	}
	if want != got {
		return wrongAttempt.New("engine: answer to attempt %s came for %s", got, want)
	}
	return nil
}
