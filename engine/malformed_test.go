package engine

import (
	"context"
	"testing"
	"time"

	"teaselgate/standin/wire"
)

// calls are the calls to engines, each with the body of a sound response.
var calls = []struct {
	name, body string
	call       func(ctx context.Context, c *Client, address string) error
	readsAll   bool // whether the response is read to its end
}{
	{"prefill", `{"attempt":"a","handle":"h"}`, func(ctx context.Context, c *Client, address string) error {
		_, err := c.Prefill(ctx, address, PrefillRequest{Attempt: "a"})
		return err
	}, true},
	{"import", `{"attempt":"a"}`, func(ctx context.Context, c *Client, address string) error {
		_, err := c.Import(ctx, address, ImportRequest{Attempt: "a"})
		return err
	}, true},
	{"decode", chunkText(0, "a", true), func(ctx context.Context, c *Client, address string) error {
		return c.Decode(ctx, address, DecodeRequest{Attempt: "a", MaxTokens: 1}, func(Chunk) error { return nil })
	}, false},
	{"cancel", `{"attempt":"a"}`, func(ctx context.Context, c *Client, address string) error {
		_, err := c.Cancel(ctx, address, CancelRequest{Attempt: "a"})
		return err
	}, true},
	{"order", `{}`, func(ctx context.Context, c *Client, address string) error {
		return c.Order(ctx, address, Order{Fence: 1})
	}, true},
	{"load report", `{}`, func(ctx context.Context, c *Client, address string) error {
		_, err := c.Load(ctx, address)
		return err
	}, true},
	{"cache events", `[]`, func(ctx context.Context, c *Client, address string) error {
		_, err := c.CacheEvents(ctx, address, 0)
		return err
	}, true},
}

func TestMalformedResponsesOfEnginesAreErrors(t *testing.T) {
	for _, test := range calls {
		t.Run(test.name, func(t *testing.T) {
			call := func(address string) error {
				client := NewClient()
				client.SilenceTimeout = time.Second
				defer client.Close()
				ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
				defer stop()
				return test.call(ctx, client, address)
			}
			wire.CheckCall(t, wire.MalformedHeads("", test.body), call)
			if test.readsAll {
				wire.CheckCall(t, wire.InvalidTrailers("", test.body), call)
			}
			wire.CheckUnframed(t, "", test.body, call)
		})
	}
}

// A prefill is the call to engines whose request may be long.
func TestEarlyResponsesToPrefillsAreErrors(t *testing.T) {
	wire.CheckEarly(t, "", `{"attempt":"a","handle":"h"}`, func(address, upload string) error {
		client := NewClient()
		client.SilenceTimeout = time.Second
		defer client.Close()
		_, err := client.Prefill(t.Context(), address, PrefillRequest{Attempt: "a", Prompt: upload})
		return err
	})
}
