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
	callTimeout     = time.Minute // above the longest wait of a summary and its answer
	maxLineBytes    = 256 << 10
	idleConnections = 256
	checkTrailer    = "Service-Check"
)

// Caller makes calls and checks each answer to its last token.
type Caller struct {
	Keys  map[string]string // secret by client account
	Delay time.Duration     // one way between callers and instances

	client *http.Client
}

// NewCaller returns a caller with its own connections, whose times are stretched by a scale.
func NewCaller(keys map[string]string, delay time.Duration, scale float64) *Caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{Timeout: stretch(callTimeout, scale), Transport: transport}
	return &Caller{Keys: keys, Delay: stretch(delay, scale), client: client}
}

// Close drops the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Answer is what a caller saw of one call.
type Answer struct {
	Arrival Arrival
	Whole   bool
	Status  int
	Code    string          // code of a refusal
	Outcome outcome.Outcome // outcome of a refusal
	First   time.Duration   // until the first token, or until an order's confirmation
	Gaps    []time.Duration // between tokens
	Fault   string          // why the answer is not whole and not a refusal
}

// Good tells whether a completion met both latency targets.
func (a Answer) Good(scale float64) bool {
	if !a.Whole || a.First > stretch(FirstTokenTarget, scale) {
		return false
	}
	var total time.Duration
	for _, gap := range a.Gaps {
		total += gap
	}
	return len(a.Gaps) == 0 || total/time.Duration(len(a.Gaps)) <= stretch(BetweenTarget, scale)
}

// tokens returns what the call costs its account.
func (a Arrival) tokens() int {
	if a.Class == rule.ClassOrder {
		return 1
	}
	return standengine.CountTokens(a.Prompt) + a.Output
}

// Call makes one call at an instance and waits for its answer.
func (c *Caller) Call(ctx context.Context, address string, a Arrival) Answer {
	start := time.Now()
	_ = delay.For(ctx, c.Delay)
	answer := Answer{Arrival: a}
	resp, err := c.send(ctx, address, a)
	if err != nil {
		answer.Fault = err.Error()
		return answer
	}
	defer resp.Body.Close()
	answer.Status = resp.StatusCode
	switch {
	case resp.StatusCode != http.StatusOK:
		readRefusal(resp, &answer)
	case a.Class == rule.ClassOrder:
		readConfirmation(resp, &answer)
		answer.First = time.Since(start) + c.Delay
	default:
		readStream(resp.Body, start.Add(-c.Delay), &answer)
	}
	return answer
}

func (c *Caller) send(ctx context.Context, address string, a Arrival) (*http.Response, error) {
	path, body := requestOf(a)
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

// requestOf returns the path and body of a call: interactive completions are chats, summaries plain.
func requestOf(a Arrival) (path string, body []byte) {
	m := completionRequest{Model: "chat", MaxTokens: a.Output, Stream: true}
	switch a.Class {
	case rule.ClassOrder:
		return "/orders", []byte(a.ID)
	case rule.ClassInteractive:
		path, m.Messages = "/v1/chat/completions", []chatMessage{{"user", a.Prompt}}
	default:
		path, m.Prompt = "/v1/completions", a.Prompt
	}
	body, _ = json.Marshal(m)
	return path, body
}

// enginePrompt returns the prompt as the engine sees it.
func (a Arrival) enginePrompt() string {
	if a.Class == rule.ClassInteractive {
		return "user: " + a.Prompt + "\n"
	}
	return a.Prompt
}

type refusalBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

func readRefusal(resp *http.Response, answer *Answer) {
	var body refusalBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		answer.Fault = fmt.Sprintf("status %d without an error body", resp.StatusCode)
		return
	}
	answer.Code = body.Error.Code
	answer.Outcome = outcome.Outcome(resp.Header.Get(outcome.Header))
}

func readConfirmation(resp *http.Response, answer *Answer) {
	text, err := io.ReadAll(resp.Body)
	if err != nil || !bytes.Contains(text, []byte(answer.Arrival.ID)) || resp.Trailer.Get(checkTrailer) != "whole" {
		answer.Fault = "order " + answer.Arrival.ID + " was not answered whole"
		return
	}
	answer.Whole = true
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
func readStream(body io.Reader, start time.Time, answer *Answer) {
	prompt := answer.Arrival.enginePrompt()
	next := 0
	last := start
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			answer.end(next)
			return
		}
		text, ok := chunkText(data)
		if !ok {
			answer.Fault = "bad chunk: " + data
			return
		}
		if text == "" {
			continue
		}
		if text != standengine.TokenText(prompt, next) {
			answer.Fault = fmt.Sprintf("token %d is wrong: %q", next, text)
			return
		}
		now := time.Now()
		answer.note(next, now.Sub(last))
		last = now
		next++
	}
	answer.Fault = fmt.Sprintf("stream ended after %d of %d tokens", next, answer.Arrival.Output)
}

func chunkText(data string) (string, bool) {
	var c streamChunk
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
		return "", false
	}
	return c.Choices[0].Text + c.Choices[0].Delta.Content, true
}

func (a *Answer) note(index int, since time.Duration) {
	if index == 0 {
		a.First = since
		return
	}
	a.Gaps = append(a.Gaps, since)
}

func (a *Answer) end(tokens int) {
	if tokens != a.Arrival.Output {
		a.Fault = fmt.Sprintf("stream ended after %d of %d tokens", tokens, a.Arrival.Output)
		return
	}
	a.Whole = true
}
