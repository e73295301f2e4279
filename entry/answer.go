package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"teaselgate/outcome"
)

// answer writes a completion to its caller, token by token or whole.
type answer struct {
	w       http.ResponseWriter
	call    *call
	ask     completion
	created time.Time
	tokens  int
	reason  string
	started bool // whether a byte has gone to the caller
	text    strings.Builder
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *content `json:"delta,omitempty"`
	Message      *content `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func newAnswer(w http.ResponseWriter, c *call, ask completion, now time.Time) *answer {
	return &answer{w: w, call: c, ask: ask, created: now}
}

// token passes one generated token on.
func (a *answer) token(text string) error {
	a.tokens++
	if !a.ask.stream {
		a.text.WriteString(text)
		return nil
	}
	return a.send(a.chunk(&text, nil))
}

func (a *answer) chunk(text, reason *string) completionAnswer {
	c := choice{FinishReason: reason}
	object := "text_completion"
	switch {
	case a.ask.chat && text != nil:
		object, c.Delta = "chat.completion.chunk", &content{Content: *text}
	case a.ask.chat:
		object, c.Delta = "chat.completion.chunk", &content{}
	case text != nil:
		c.Text = text
	default:
		c.Text = new(string)
	}
	return a.envelope(object, c)
}

func (a *answer) envelope(object string, c choice) completionAnswer {
	return completionAnswer{
		ID:      "cmpl-" + a.call.id,
		Object:  object,
		Created: a.created.Unix(),
		Model:   a.call.route.Model,
		Choices: []choice{c},
	}
}

func (a *answer) send(v any) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-cache")
	}
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", text); err != nil {
		return fmt.Errorf("entry: unable to write to the caller: %w", err)
	}
	return http.NewResponseController(a.w).Flush()
}

// finish ends a whole answer.
func (a *answer) finish() {
	if a.ask.stream {
		_ = a.send(a.chunk(nil, &a.reason))
		fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	a.started = true
	text := a.text.String()
	c := choice{FinishReason: &a.reason}
	object := "text_completion"
	if a.ask.chat {
		object, c.Message = "chat.completion", &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	whole := a.envelope(object, c)
	prompt := a.ask.promptTokens()
	whole.Usage = &usage{PromptTokens: prompt, CompletionTokens: a.tokens, TotalTokens: prompt + a.tokens}
	a.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(a.w).Encode(whole)
}

// breakOff tells the caller of a failure in mid-stream and ends the connection uncleanly.
func (a *answer) breakOff(r *outcome.Refusal) {
	fmt.Fprintf(a.w, "event: error\ndata: %s\n\n", r.Body())
	_ = http.NewResponseController(a.w).Flush()
	panic(http.ErrAbortHandler)
}
