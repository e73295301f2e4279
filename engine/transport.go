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

	"teaselgate/response"
)

const maxResponseBytes = 1 << 20

func (c *Client) post(ctx context.Context, address, path string, message, out any) error {
	return c.call(ctx, c.pooled, http.MethodPost, address, path, message, out)
}

func (c *Client) get(ctx context.Context, address, path string, out any) error {
	return c.call(ctx, c.pooled, http.MethodGet, address, path, nil, out)
}

func (c *Client) call(
	ctx context.Context, transport *response.Transport, method, address, path string, message, out any,
) error {
	resp, err := send(ctx, transport, method, address, path, message)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp, address, path); err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return incomplete.Wrap(err, "engine: incomplete response from %s%s", address, path)
	}
	if err := json.Unmarshal(text, out); err != nil {
		return incomplete.Wrap(err, "engine: unable to decode the response of %s%s", address, path)
	}
	return nil
}

func send(
	ctx context.Context, transport *response.Transport, method, address, path string, message any,
) (*http.Response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("engine: unable to encode a message: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("engine: unable to create a request: %w", err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, roundTripError(err, address, path)
	}
	return resp, nil
}

// roundTripError returns ErrUnreachable if no connection could be opened, so that the call did not run, and
// ErrIncomplete otherwise.
func roundTripError(err error, address, path string) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return unreachable.Wrap(err, "engine: unable to reach %s", address)
	}
	return incomplete.Wrap(err, "engine: call to %s%s failed", address, path)
}

func checkStatus(resp *http.Response, address, path string) error {
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return busy.New("engine: %s%s has no free slot or memory", address, path)
	case http.StatusGone, http.StatusNotFound:
		return gone.New("engine: %s%s no longer has the attempt or its KV cache", address, path)
	case http.StatusPreconditionFailed:
		return staleFence.New("engine: %s refused an order with an old fencing number", address)
	default:
		return incomplete.New("engine: status %d from %s%s", resp.StatusCode, address, path)
	}
}
