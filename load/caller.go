package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"teaselgate/delay"
	"teaselgate/outcome"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
)

const (
	requestTimeout         = time.Minute // above the longest wait of a summary and its answer
	maxLineBytes           = 256 << 10
	idleConnectionsPerHost = 256
	checkTrailer           = "Service-Check"
)

// Caller makes calls and checks each answer to its last token.
type Caller struct {
	Keys         map[string]string // secret by client account
	NetworkDelay time.Duration     // one way between callers and instances

	client *http.Client
}

// NewCaller returns a caller with its own connections, whose times are stretched by a scale.
func NewCaller(keys map[string]string, networkDelay time.Duration, timeScale float64) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnectionsPerHost,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{Timeout: scaleDuration(requestTimeout, timeScale), Transport: transport}
	return &Caller{Keys: keys, NetworkDelay: scaleDuration(networkDelay, timeScale), client: client}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result is what a caller saw of one call.
type Result struct {
	Arrival       Arrival
	Complete      bool
	Status        int
	RejectionCode string          // code of a refusal
	Outcome       outcome.Outcome // outcome of a refusal
	Latency       time.Duration   // until the first token, or until an order's confirmation
	TokenGaps     []time.Duration // between tokens
	Failure       string          // why the answer is not whole and not a refusal
}

// MeetsTargets tells whether a completion met both latency targets.
func (r Result) MeetsTargets(timeScale float64) bool {
	if !r.Complete || r.Latency > scaleDuration(FirstTokenTarget, timeScale) {
		return false
	}
	var total time.Duration
	for _, gap := range r.TokenGaps {
		total += gap
	}
	return len(r.TokenGaps) == 0 || total/time.Duration(len(r.TokenGaps)) <= scaleDuration(InterTokenTarget, timeScale)
}

// tokenCost returns what the call costs its account.
func (a Arrival) tokenCost() int {
	if a.Class == rule.ClassOrder {
		return 1
	}
	return standengine.CountTokens(a.Prompt) + a.OutputTokens
}

// Send makes one call at an instance and waits for its answer.
func (c *Caller) Send(ctx context.Context, address string, a Arrival) Result {
	start := time.Now()
	_ = delay.For(ctx, c.NetworkDelay)
	result := Result{Arrival: a}
	resp, err := c.post(ctx, address, a)
	if err != nil {
		result.Failure = err.Error()
		return result
	}
	defer resp.Body.Close()
	result.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		readRejection(resp, &result)
	case a.Class == rule.ClassOrder:
		readOrderResponse(resp, &result)
		result.Latency = time.Since(start) + c.NetworkDelay
	default:
		readStream(resp.Body, start.Add(-c.NetworkDelay), &result)
	}
	return result
}

func (c *Caller) post(ctx context.Context, address string, a Arrival) (*http.Response, error) {
	path, body := buildRequest(a)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Keys[a.Account])
	req.Header.Set("Content-Type", "application/json")
	return c.client.Do(req)
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []chatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

// buildRequest returns the path and body of a call: interactive completions are chats, summaries plain.
func buildRequest(a Arrival) (path string, body []byte) {
	completion := completionRequest{Model: "chat", MaxTokens: a.OutputTokens, Stream: true}
	switch a.Class {
	case rule.ClassOrder:
		return "/orders", []byte(a.ID)
	case rule.ClassInteractive:
		path, completion.Messages = "/v1/chat/completions", []chatMessage{{"user", a.Prompt}}
	default:
		path, completion.Prompt = "/v1/completions", a.Prompt
	}
	body, _ = json.Marshal(completion)
	return path, body
}

// enginePrompt returns the prompt as the engine sees it.
func (a Arrival) enginePrompt() string {
	if a.Class == rule.ClassInteractive {
		return "user: " + a.Prompt + "\n"
	}
	return a.Prompt
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func readRejection(resp *http.Response, result *Result) {
	var body errorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		result.Failure = fmt.Sprintf("status %d without an error body", resp.StatusCode)
		return
	}
	result.RejectionCode = body.Error.Code
	result.Outcome = outcome.Outcome(resp.Header.Get(outcome.Header))
}

func readOrderResponse(resp *http.Response, result *Result) {
	text, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Contains(text, []byte(result.Arrival.ID)) || resp.Trailer.Get(checkTrailer) != "whole" {
		result.Failure = "order " + result.Arrival.ID + " was not answered whole"
		return
	}
	result.Complete = true
}

type streamChunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// readStream checks every token of a streamed completion.
func readStream(body io.Reader, start time.Time, result *Result) {
	prompt := result.Arrival.enginePrompt()
	received := 0
	lastAt := start
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.finish(received)
			return
		}
		text, ok := chunkText(data)
		if !ok {
			result.Failure = "bad chunk: " + data
			return
		}
		if text == "" {
			continue
		}
		if text != standengine.TokenText(prompt, received) {
			result.Failure = fmt.Sprintf("token %d is wrong: %q", received, text)
			return
		}
		now := time.Now()
		result.recordToken(received, now.Sub(lastAt))
		lastAt = now
		received++
	}
	result.Failure = fmt.Sprintf("stream ended after %d of %d tokens", received, result.Arrival.OutputTokens)
}

func chunkText(data string) (string, bool) {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return "", false
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content, true
}

func (r *Result) recordToken(index int, elapsed time.Duration) {
	if index == 0 {
		r.Latency = elapsed
		return
	}
	r.TokenGaps = append(r.TokenGaps, elapsed)
}

func (r *Result) finish(received int) {
	if received != r.Arrival.OutputTokens {
		r.Failure = fmt.Sprintf("stream ended after %d of %d tokens", received, r.Arrival.OutputTokens)
		return
	}
	r.Complete = true
}
