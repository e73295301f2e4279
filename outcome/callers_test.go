package outcome_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"teaselgate/outcome"
	standengine "teaselgate/standin/engine"
	standservice "teaselgate/standin/service"
)

// requestKind is a kind of request.
type requestKind string

// The kinds of requests. Requests to routes with "calls: once" run at most once.
const (
	kindStream     requestKind = "streamed completion"
	kindCompletion requestKind = "non-streamed completion"
	kindRead       requestKind = "idempotent read"
	kindOnce       requestKind = "at-most-once request without key"
	kindOnceKeyed  requestKind = "at-most-once request with key"
	kindOncePass   requestKind = "at-most-once request with key, outage: pass"
)

// The results of a request, as its caller sees them.
const (
	resultWhole        = "whole"
	resultReplayed     = "replayed" // the stored response of an earlier run
	resultNotRun       = "not-run"
	resultUnknown      = "unknown"
	resultRan          = "ran"
	resultBroken       = "broken" // an error, or the connection ended before the response did
	resultDisconnected = "gone"   // the caller disconnected
	resultPassed       = "passed" // an error response of the service, passed on
	resultWrong        = "wrong"  // a response that does not belong to the request, which must never occur
)

// call sends a request through an instance and returns its result.
func (b *testbed) call(ctx context.Context, inst *instance, k requestKind, id string) string {
	req := b.request(ctx, inst, k, id)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return brokenOrDisconnected(ctx)
	}
	defer resp.Body.Close()
	if refusedAs := resp.Header.Get(outcome.Header); refusedAs != "" {
		b.checkRetryAfter(resp, k, refusedAs)
		return refusedAs
	}
	if resp.StatusCode != http.StatusOK {
		return resultPassed
	}
	result := readResult(resp, k, id)
	if result == resultBroken {
		return brokenOrDisconnected(ctx)
	}
	if result == resultWhole && resp.Header.Get("Teaselgate-Replayed") != "" {
		return resultReplayed
	}
	return result
}

// checkRetryAfter checks that a failed request tells the caller when to retry, unless a retry might run it twice.
func (b *testbed) checkRetryAfter(resp *http.Response, k requestKind, refusedAs string) {
	want := refusedAs == resultNotRun || k != kindOnce && k != kindOnceKeyed
	if resp.StatusCode >= http.StatusInternalServerError && (resp.Header.Get("Retry-After") != "") != want {
		b.t.Errorf("unexpected Retry-After %q of a %s refused as %s", resp.Header.Get("Retry-After"), k, refusedAs)
	}
}

// brokenOrDisconnected returns the result of a request whose response did not arrive in full.
func brokenOrDisconnected(ctx context.Context) string {
	if ctx.Err() != nil {
		return resultDisconnected
	}
	return resultBroken
}

func (b *testbed) request(ctx context.Context, inst *instance, k requestKind, id string) *http.Request {
	path, body := "/v1/completions", id
	switch k {
	case kindStream, kindCompletion:
		text, _ := json.Marshal(map[string]any{"prompt": id, "max_tokens": maxTokens, "stream": k == kindStream})
		body = string(text)
	case kindRead:
		path = "/weighings"
	case kindOncePass:
		path = "/pass"
	default:
		path = "/orders"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+inst.address+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	if k == kindOnceKeyed || k == kindOncePass {
		req.Header.Set("Idempotency-Key", id)
	}
	return req
}

func readResult(resp *http.Response, k requestKind, id string) string {
	switch k {
	case kindStream:
		return readStream(resp.Body, id)
	case kindCompletion:
		return readCompletion(resp.Body, id)
	default:
		return readServiceResponse(resp, id)
	}
}

type completion struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStream reads a streamed completion and checks every token.
func readStream(body io.Reader, id string) string {
	next := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if next != maxTokens {
				return resultWrong
			}
			return resultWhole
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
			return resultBroken // an error event
		}
		if c.Choices[0].FinishReason != "" {
			continue
		}
		if c.Choices[0].Text != standengine.TokenText(id, next) {
			return resultWrong
		}
		next++
	}
	return resultBroken
}

// expectedText returns the text of the completion of a prompt.
func expectedText(id string) string {
	var text strings.Builder
	for n := range maxTokens {
		text.WriteString(standengine.TokenText(id, n))
	}
	return text.String()
}

func readCompletion(body io.Reader, id string) string {
	text, err := io.ReadAll(body)
	if err != nil {
		return resultBroken
	}
	var c completion
	if json.Unmarshal(text, &c) != nil || len(c.Choices) != 1 || c.Choices[0].Text != expectedText(id) {
		return resultWrong
	}
	return resultWhole
}

func readServiceResponse(resp *http.Response, id string) string {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resultBroken
	}
	var response standservice.Response
	if json.Unmarshal(text, &response) != nil || response.Body != id || resp.Trailer.Get("Service-Check") != "whole" {
		return resultWrong
	}
	return resultWhole
}
