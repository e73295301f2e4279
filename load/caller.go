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
	requestTimeout         = time.Minute // longer than the longest wait and response of a request for a summary
	maxLineBytes           = 256 << 10   // longest line of a streamed response
	idleConnectionsPerHost = 256
	checkTrailer           = "Service-Check" // trailer that the service stand-in sends after a complete body
)

// Caller sends requests and checks the responses, completions token by token.
type Caller struct {
	Keys         map[string]string // API key by client account
	NetworkDelay time.Duration     // emulated one-way delay between callers and instances

	client *http.Client
}

// NewCaller returns a caller with its own connection pool; timeScale multiplies its request timeout and network
// delay.
func NewCaller(keys map[string]string, networkDelay time.Duration, timeScale float64) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnectionsPerHost,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{Timeout: scaleDuration(requestTimeout, timeScale), Transport: transport}
	return &Caller{Keys: keys, NetworkDelay: scaleDuration(networkDelay, timeScale), client: client}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Result is the result of one request as its caller saw it.
type Result struct {
	Arrival       Arrival
	Complete      bool            // the response arrived to its end and was correct
	Status        int             // HTTP status; 0 without a response
	RejectionCode string          // error code of a rejection
	Outcome       outcome.Outcome // outcome header of a rejection
	Latency       time.Duration   // time to the first token, or to the end of the response to an order
	TokenGaps     []time.Duration // times between consecutive tokens
	Failure       string          // why the response is neither complete nor a rejection
}

// MeetsTargets reports whether a completion met both latency targets.
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

// tokenCost returns the tokens that the request costs its client account.
func (a Arrival) tokenCost() int {
	if a.Class == rule.ClassOrder {
		return 1
	}
	return standengine.CountTokens(a.Prompt) + a.OutputTokens
}

// Send sends one request to an instance, and reads and checks the response.
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
		// The earlier start adds the network delay of the response to the time to the first token.
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

// buildRequest returns the path and body of a request. Interactive completions use the chat route, summaries the plain
// completions route.
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

// enginePrompt returns the prompt as the engine receives it: the router renders chat messages as "role: content" lines.
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
		result.Failure = "order " + result.Arrival.ID + ": incomplete or wrong response"
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

// readStream reads a streamed completion and checks every token.
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
			result.Failure = "invalid stream chunk: " + data
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

// chunkText returns the text of a plain or chat completion chunk.
func chunkText(data string) (string, bool) {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return "", false
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content, true
}

// recordToken records the time since the previous token, or since the start of the request for the first token.
func (r *Result) recordToken(index int, elapsed time.Duration) {
	if index == 0 {
		r.Latency = elapsed
		return
	}
	r.TokenGaps = append(r.TokenGaps, elapsed)
}

// finish marks the result complete if all tokens were received; otherwise it records a failure.
func (r *Result) finish(received int) {
	if received != r.Arrival.OutputTokens {
		r.Failure = fmt.Sprintf("stream ended after %d of %d tokens", received, r.Arrival.OutputTokens)
		return
	}
	r.Complete = true
}
