package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"
)

// Limits of calls to engines.
const (
	dialTimeout       = time.Second
	keepAliveInterval = 2 * time.Second
	idleConnTimeout   = time.Minute
	idleConnsPerHost  = 64
	maxAnswerBytes    = 1 << 20
	maxChunkBytes     = 64 << 10
)

// Client calls engines over HTTP. Its exported fields are set before use.
type Client struct {
	HTTP *http.Client
}

// NewClient returns a client with its own connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{HTTP: &http.Client{Transport: transport}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Prefill computes the KV cache of a prompt at an engine.
func (c *Client) Prefill(ctx context.Context, at string, m Prefill) (Prefilled, error) {
	var answer Prefilled
	err := c.post(ctx, at, PrefillPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Import moves KV cache from a prefill engine to a decode engine.
func (c *Client) Import(ctx context.Context, at string, m Import) (Imported, error) {
	var answer Imported
	err := c.post(ctx, at, ImportPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Cancel ends an attempt at an engine.
func (c *Client) Cancel(ctx context.Context, at string, m Cancel) (Cancelled, error) {
	var answer Cancelled
	err := c.post(ctx, at, CancelPath, m, &answer)
	return answer, checkAttempt(err, m.Attempt, answer.Attempt)
}

// Order sends an order with a fencing number.
func (c *Client) Order(ctx context.Context, at string, m Order) error {
	var answer struct{}
	return c.post(ctx, at, OrderPath, m, &answer)
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context, at string) (Load, error) {
	var answer Load
	err := c.get(ctx, at, LoadPath, &answer)
	return answer, err
}

// Requests lists what an owner's attempts hold at an engine; an empty owner lists all.
func (c *Client) Requests(ctx context.Context, at, owner string) ([]Held, error) {
	var answer []Held
	err := c.get(ctx, at, RequestsPath+"?owner="+url.QueryEscape(owner), &answer)
	return answer, err
}

// CacheEvents reads the cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, at string, after uint64) ([]CacheEvent, error) {
	var answer []CacheEvent
	err := c.get(ctx, at, fmt.Sprintf("%s?after=%d", EventsPath, after), &answer)
	return answer, err
}

// Decode generates tokens and hands each chunk over, in order, until the last one.
func (c *Client) Decode(ctx context.Context, at string, m Decode, chunk func(Chunk) error) error {
	resp, err := c.send(ctx, http.MethodPost, at, DecodePath, m)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, at, DecodePath); err != nil {
		return err
	}
	return readChunks(resp.Body, m, chunk)
}

func readChunks(body io.Reader, m Decode, hand func(Chunk) error) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxChunkBytes)
	next := m.From
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var c Chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return broken.Wrap(err, "engine: unable to decode a chunk")
		}
		if c.Attempt != m.Attempt {
			return crossed.New("engine: chunk of attempt %s in the answer to %s", c.Attempt, m.Attempt)
		}
		if !c.Done && c.Index != next {
			return broken.New("engine: token %d came instead of %d", c.Index, next)
		}
		if err := hand(c); err != nil {
			return err
		}
		if c.Done {
			return nil
		}
		next++
	}
	if err := lines.Err(); err != nil {
		return broken.Wrap(err, "engine: stream failed after %d tokens", next)
	}
	return broken.New("engine: stream ended after %d tokens", next)
}

func checkAttempt(err error, want, got string) error {
	if err != nil {
		return err
	}
	if want != got {
		return crossed.New("engine: answer to attempt %s came for %s", got, want)
	}
	return nil
}

func (c *Client) post(ctx context.Context, at, path string, m, answer any) error {
	return c.call(ctx, http.MethodPost, at, path, m, answer)
}

func (c *Client) get(ctx context.Context, at, path string, answer any) error {
	return c.call(ctx, http.MethodGet, at, path, nil, answer)
}

func (c *Client) call(ctx context.Context, method, at, path string, m, answer any) error {
	resp, err := c.send(ctx, method, at, path, m)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, at, path); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return broken.Wrap(err, "engine: answer of %s%s broke off", at, path)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return broken.Wrap(err, "engine: unable to decode the answer of %s%s", at, path)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, at, path string, m any) (*http.Response, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("engine: unable to encode a message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("engine: unable to make a request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, classify(err, at, path)
	}
	return resp, nil
}

// classify tells a failed dial, after which nothing ran, from a broken answer.
func classify(err error, at, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unreachable.Wrap(err, "engine: unable to reach %s", at)
	}
	return broken.Wrap(err, "engine: call to %s%s failed", at, path)
}

func checkStatus(resp *http.Response, at, path string) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return busy.New("engine: %s%s is full", at, path)
	case http.StatusGone, http.StatusNotFound:
		return gone.New("engine: %s%s holds nothing of the attempt", at, path)
	case http.StatusPreconditionFailed:
		return stale.New("engine: %s refused the fencing number", at)
	default:
		return broken.New("engine: status %d from %s%s", resp.StatusCode, at, path)
	}
}
