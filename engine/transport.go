package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
)

const maxResponseBytes = 1 << 20

func (c *Client) post(ctx context.Context, at, path string, m, answer any) error {
	return c.call(ctx, c.pooled, http.MethodPost, at, path, m, answer)
}

func (c *Client) get(ctx context.Context, at, path string, answer any) error {
	return c.call(ctx, c.pooled, http.MethodGet, at, path, nil, answer)
}

func (c *Client) call(ctx context.Context, via *http.Transport, method, at, path string, m, answer any) error {
	resp, err := send(ctx, via, method, at, path, m)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, at, path); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return incomplete.Wrap(err, "engine: answer of %s%s broke off", at, path)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return incomplete.Wrap(err, "engine: unable to decode the answer of %s%s", at, path)
	}
	return nil
}

func send(ctx context.Context, via *http.Transport, method, at, path string, m any) (*http.Response, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("engine: unable to encode a message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("engine: unable to make a request: %w", err)
	}
	resp, err := via.RoundTrip(req)
	if err != nil {
		return nil, roundTripError(err, at, path)
	}
	return resp, nil
}

// roundTripError tells a failed dial, after which nothing ran, from a broken answer.
func roundTripError(err error, at, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unreachable.Wrap(err, "engine: unable to reach %s", at)
	}
	return incomplete.Wrap(err, "engine: call to %s%s failed", at, path)
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
		return staleFence.New("engine: %s refused the fencing number", at)
	default:
		return incomplete.New("engine: status %d from %s%s", resp.StatusCode, at, path)
	}
}
