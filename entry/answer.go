package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"teaselgate/outcome"
)

// answer writes a completion to its caller, token by token or whole.
type answer struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration // for one chunk
	call       *call
	ask        completion
	created    time.Time
	tokens     int
	reason     string
	started    bool            // whether a byte has gone to the caller
	text       strings.Builder // all tokens so far, for a whole answer and for a resumed stream
	frame      frame
	buffer     []byte
}

// frame is a streamed chunk around the place of its text.
type frame struct {
	before []byte
	after  []byte
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

func (h *Handler) newAnswer(w http.ResponseWriter, c *call, ask completion) *answer {
	return &answer{
		w:          w,
		controller: http.NewResponseController(w),
		timeout:    h.chunkTimeout(),
		call:       c,
		ask:        ask,
		created:    h.Now(),
	}
}

// token passes one generated token on.
func (a *answer) token(text string) error {
	a.tokens++
	a.text.WriteString(text)
	if !a.ask.stream {
		return nil
	}
	if !a.started {
		if err := a.start(); err != nil {
			return err
		}
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a token: %w", err)
	}
	a.buffer = append(append(append(a.buffer[:0], a.frame.before...), quoted...), a.frame.after...)
	return a.write(a.buffer)
}

// start sends the header of a stream and prepares its chunks.
func (a *answer) start() error {
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-cache")
	const mark = "\x00"
	text := mark
	chunk, err := json.Marshal(a.chunk(&text, nil))
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	quoted, err := json.Marshal(mark)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	before, after, _ := bytes.Cut(chunk, quoted)
	a.frame.before = append([]byte("data: "), before...)
	a.frame.after = append(bytes.Clone(after), '\n', '\n')
	return nil
}

// write sends bytes to the caller at once. A caller that takes none of them in time is taken for gone.
func (a *answer) write(text []byte) error {
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.timeout))
	if _, err := a.w.Write(text); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	if err := a.controller.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCaller, err)
	}
	return nil
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

// finish ends a whole answer.
func (a *answer) finish() error {
	if !a.ask.stream {
		return a.writeWhole()
	}
	if !a.started {
		if err := a.start(); err != nil {
			return err
		}
	}
	last, err := json.Marshal(a.chunk(nil, &a.reason))
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	return a.write(fmt.Appendf(a.buffer[:0], "data: %s\n\ndata: [DONE]\n\n", last))
}

// writeWhole sends an answer that is not streamed.
func (a *answer) writeWhole() error {
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
	body, err := json.Marshal(whole)
	if err != nil {
		return fmt.Errorf("entry: unable to encode an answer: %w", err)
	}
	a.started = true
	a.w.Header().Set("Content-Type", "application/json")
	a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return a.write(body)
}

// breakOff tells the caller of a failure in mid-stream and ends the connection uncleanly.
func (a *answer) breakOff(r *outcome.Refusal) {
	if a.ask.stream {
		_ = a.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", r.Body()))
	}
	panic(http.ErrAbortHandler)
}
