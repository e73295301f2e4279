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

// kind is a kind of call.
type kind string

// The kinds of calls.
const (
	stream   kind = "streamed completion"
	complete kind = "whole completion"
	read     kind = "idempotent read"
	once     kind = "once call without key"
	keyed    kind = "once call with key"
	passing  kind = "once call with key, outage: pass"
)

// What a caller saw.
const (
	sawWhole   = "whole"
	sawReplay  = "replayed" // the stored answer of an earlier run
	sawNotRun  = "not-run"
	sawUnknown = "unknown"
	sawRan     = "ran"
	sawBroken  = "broken" // visibly: an error, or the connection ended before the answer did
	sawGone    = "gone"   // the caller went away itself
	sawPassed  = "passed" // the service's own refusal
	sawWrong   = "wrong"  // an answer that is not the call's own: never right
)

// call sends one call through an instance and tells what its caller saw.
func (b *bench) call(ctx context.Context, n *node, k kind, id string) string {
	req := b.request(ctx, n, k, id)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return brokenOrGone(ctx)
	}
	defer resp.Body.Close()
	if told := resp.Header.Get(outcome.Header); told != "" {
		return told
	}
	if resp.StatusCode != http.StatusOK {
		return sawPassed
	}
	saw := readAnswer(resp, k, id)
	if saw == sawBroken {
		return brokenOrGone(ctx)
	}
	if saw == sawWhole && resp.Header.Get("Teaselgate-Replayed") != "" {
		return sawReplay
	}
	return saw
}

func brokenOrGone(ctx context.Context) string {
	if ctx.Err() != nil {
		return sawGone
	}
	return sawBroken
}

func (b *bench) request(ctx context.Context, n *node, k kind, id string) *http.Request {
	path, body := "/v1/completions", id
	switch k {
	case stream, complete:
		text, _ := json.Marshal(map[string]any{"prompt": id, "max_tokens": maxTokens, "stream": k == stream})
		body = string(text)
	case read:
		path = "/weighings"
	case passing:
		path = "/pass"
	default:
		path = "/orders"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.at+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	if k == keyed || k == passing {
		req.Header.Set("Idempotency-Key", id)
	}
	return req
}

func readAnswer(resp *http.Response, k kind, id string) string {
	switch k {
	case stream:
		return readStream(resp.Body, id)
	case complete:
		return readWhole(resp.Body, id)
	default:
		return readService(resp, id)
	}
}

type completion struct {
	Choices []struct {
		Text         string `json:"text"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
}

// readStream checks every token of a streamed answer.
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
				return sawWrong
			}
			return sawWhole
		}
		var c completion
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
			return sawBroken // an error event
		}
		if c.Choices[0].FinishReason != "" {
			continue
		}
		if c.Choices[0].Text != standengine.Token(id, next) {
			return sawWrong
		}
		next++
	}
	return sawBroken
}

func wantText(id string) string {
	var text strings.Builder
	for n := range maxTokens {
		text.WriteString(standengine.Token(id, n))
	}
	return text.String()
}

func readWhole(body io.Reader, id string) string {
	text, err := io.ReadAll(body)
	if err != nil {
		return sawBroken
	}
	var c completion
	if json.Unmarshal(text, &c) != nil || len(c.Choices) != 1 || c.Choices[0].Text != wantText(id) {
		return sawWrong
	}
	return sawWhole
}

func readService(resp *http.Response, id string) string {
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return sawBroken
	}
	var a standservice.Answer
	if json.Unmarshal(text, &a) != nil || a.Body != id || resp.Trailer.Get("Service-Check") != "whole" {
		return sawWrong
	}
	return sawWhole
}
