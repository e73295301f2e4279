package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/allowance"
	"teaselgate/cell"
	"teaselgate/outcome"
	"teaselgate/platform"
	"teaselgate/rule"
	"teaselgate/standin/bubble"
	standplatform "teaselgate/standin/platform"
)

// shutdownHandler returns a handler whose backend servers are silent, with connections in memory.
func shutdownHandler(t *testing.T) *Handler {
	t.Helper()
	h := newChargingHandler(t, 1000, "10.0.0.1:80")
	h.AbortDelay = 300 * time.Millisecond
	h.Services.Dial = func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			buffer := make([]byte, 4096)
			for {
				if _, err := server.Read(buffer); err != nil {
					return
				}
			}
		}()
		return client, nil
	}
	return h
}

// untilEnd waits until a request's context ends, as a queue does.
func untilEnd(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// claimsOfAnother returns a claim store in which another instance holds the claim of each request and has not sent it.
func claimsOfAnother(t *testing.T) *outcome.ClaimStore {
	t.Helper()
	store := standplatform.NewServer("token")
	client := platform.NewClient("http://store.test", "token")
	client.HTTP = &http.Client{Transport: handlerTransport{store.Handler()}}
	client.Writes = client.HTTP
	other := outcome.NewClaimStore("other-1", client)
	digest := outcome.Digest([]byte(http.MethodPost), []byte("/once"), []byte(shutdownBody))
	if _, _, err := other.Acquire(t.Context(), outcome.ClaimRequest{Account: "shop", Route: "once", Key: "k", Digest: digest}); err != nil {
		t.Fatal(err)
	}
	claims := outcome.NewClaimStore("own-1", client)
	claims.Wait = func(ctx context.Context, _ time.Duration) error { return untilEnd(ctx) }
	return claims
}

// handlerTransport passes requests to a handler.
type handlerTransport struct{ handler http.Handler }

// RoundTrip implements http.RoundTripper.
func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	incoming := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.String(), r.Body)
	incoming.Header = r.Header
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, incoming)
	return w.Result(), r.Context().Err()
}

const shutdownBody = `{"prompt": "x", "max_tokens": 1}`

// A caller whose request waits at the shutdown deadline gets a refusal that says whether it ran. Requests that waited for a
// place were said to be unknown, and those that may run once got no answer.
func TestUnfinishedRequestsAreAnsweredAtShutdown(t *testing.T) {
	tests := []struct {
		name, path, key string
		prepare         func(t *testing.T, h *Handler)
		code            string
		outcome         outcome.Outcome
		within          time.Duration // after the shutdown deadline
	}{
		{"stream waits for the allowance", "/model", "", func(_ *testing.T, h *Handler) {
			h.Admit = func(ctx context.Context, _ rule.Account, _ int64) (*allowance.Charge, time.Time, error) {
				return nil, time.Time{}, untilEnd(ctx)
			}
		}, "leaving", outcome.NotRun, 0},
		{"stream waits for a place", "/model", "", func(_ *testing.T, h *Handler) {
			h.Place = func(ctx context.Context, _ cell.Request) (*cell.Placement, error) { return nil, untilEnd(ctx) }
		}, "leaving", outcome.NotRun, 0},
		{"idempotent request runs", "/read", "", func(*testing.T, *Handler) {}, "leaving", outcome.Unknown, 0},
		{
			"order waits for its claim", "/once", "k", func(t *testing.T, h *Handler) { h.Claims = claimsOfAnother(t) },
			"leaving", outcome.NotRun, 0,
		},
		{"order waits for a connection", "/once", "", func(_ *testing.T, h *Handler) {
			h.Services.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return nil, untilEnd(ctx) }
		}, "leaving", outcome.NotRun, 0},
		{"order runs", "/once", "", func(*testing.T, *Handler) {}, "leaving", outcome.Unknown, 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				h := shutdownHandler(t)
				test.prepare(t, h)
				ctx, end := context.WithCancelCause(t.Context())
				defer end(nil)
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, test.path, strings.NewReader(shutdownBody))
				r.Header.Set("Authorization", "Bearer "+testSecret)
				if test.key != "" {
					r.Header.Set(idempotencyKeyHeader, test.key)
				}
				const deadline = 100 * time.Millisecond
				time.AfterFunc(deadline, func() { end(outcome.ErrShuttingDown) })
				w, start := httptest.NewRecorder(), time.Now()
				h.ServeHTTP(w, r)
				var body struct {
					Error struct {
						Code string `json:"code"`
					} `json:"error"`
				}
				if err := json.Unmarshal(w.Body.Bytes(), &body); err != nil {
					t.Fatalf("unexpected response %d %q: %v", w.Code, w.Body, err)
				}
				if got := outcome.Outcome(w.Header().Get(outcome.Header)); body.Error.Code != test.code || got != test.outcome {
					t.Errorf("unexpected refusal, got %s %s instead of %s %s", body.Error.Code, got, test.code, test.outcome)
				}
				if took := time.Since(start); took > deadline+test.within {
					t.Errorf("unexpected time to the answer, got %v after the deadline instead of %v", took-deadline, test.within)
				}
			})
		})
	}
}
