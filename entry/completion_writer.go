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

// completionWriter writes a completion to its caller, as a stream of tokens or as one response.
type completionWriter struct {
	response        http.ResponseWriter
	controller      *http.ResponseController
	writeTimeout    time.Duration // time limit for writing one chunk
	request         *request
	completion      completionRequest
	created         time.Time
	generatedTokens int
	finishReason    string
	started         bool            // whether the response has started, after which no refusal can be sent
	text            strings.Builder // all generated text, for a complete response and for resuming a stream
	chunkTemplate   chunkTemplate
	buffer          []byte
}

// chunkTemplate holds the bytes of a streamed chunk before and after its text.
type chunkTemplate struct {
	prefix []byte
	suffix []byte
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

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (h *Handler) newCompletionWriter(
	response http.ResponseWriter, q *request, completion completionRequest,
) *completionWriter {
	return &completionWriter{
		response:     response,
		controller:   http.NewResponseController(response),
		writeTimeout: h.chunkWriteTimeout(),
		request:      q,
		completion:   completion,
		created:      h.Now(),
	}
}

// writeToken adds a generated token to the completion and, if it is streamed, sends the token to the caller.
func (w *completionWriter) writeToken(text string) error {
	w.generatedTokens++
	w.text.WriteString(text)
	if !w.completion.stream {
		return nil
	}
	if !w.started {
		if err := w.start(); err != nil {
			return err
		}
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a token: %w", err)
	}
	w.buffer = append(append(append(w.buffer[:0], w.chunkTemplate.prefix...), quoted...), w.chunkTemplate.suffix...)
	return w.write(w.buffer)
}

// start sets the header of a stream and prepares the template of its chunks.
func (w *completionWriter) start() error {
	w.started = true
	w.response.Header().Set("Content-Type", "text/event-stream")
	w.response.Header().Set("Cache-Control", "no-cache")
	const placeholder = "\x00"
	text := placeholder
	chunk, err := json.Marshal(w.newChunk(&text, nil))
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	quoted, err := json.Marshal(placeholder)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	prefix, suffix, _ := bytes.Cut(chunk, quoted)
	w.chunkTemplate.prefix = append([]byte("data: "), prefix...)
	w.chunkTemplate.suffix = append(bytes.Clone(suffix), '\n', '\n')
	return nil
}

// write sends bytes to the caller and flushes them. A caller that does not accept them within the write timeout counts
// as disconnected.
func (w *completionWriter) write(text []byte) error {
	_ = w.controller.SetWriteDeadline(time.Now().Add(w.writeTimeout))
	if _, err := w.response.Write(text); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := w.controller.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	return nil
}

// newChunk returns a streamed chunk. The last chunk has a finish reason and no text.
func (w *completionWriter) newChunk(text, reason *string) completionResponse {
	c := choice{FinishReason: reason}
	object := "text_completion"
	switch {
	case w.completion.chat && text != nil:
		object, c.Delta = "chat.completion.chunk", &content{Content: *text}
	case w.completion.chat:
		object, c.Delta = "chat.completion.chunk", &content{}
	case text != nil:
		c.Text = text
	default:
		c.Text = new(string)
	}
	return w.newResponse(object, c)
}

// newResponse returns a response object with one choice.
func (w *completionWriter) newResponse(object string, c choice) completionResponse {
	return completionResponse{
		ID:      "cmpl-" + w.request.id,
		Object:  object,
		Created: w.created.Unix(),
		Model:   w.request.route.Model,
		Choices: []choice{c},
	}
}

// finish ends a completion that succeeded.
func (w *completionWriter) finish() error {
	if !w.completion.stream {
		return w.writeComplete()
	}
	if !w.started {
		if err := w.start(); err != nil {
			return err
		}
	}
	last, err := json.Marshal(w.newChunk(nil, &w.finishReason))
	if err != nil {
		return fmt.Errorf("entry: unable to encode a chunk: %w", err)
	}
	return w.write(fmt.Appendf(w.buffer[:0], "data: %s\n\ndata: [DONE]\n\n", last))
}

// writeComplete sends a completion that is not streamed.
func (w *completionWriter) writeComplete() error {
	text := w.text.String()
	c := choice{FinishReason: &w.finishReason}
	object := "text_completion"
	if w.completion.chat {
		object, c.Message = "chat.completion", &content{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	resp := w.newResponse(object, c)
	prompt := w.completion.promptTokens()
	resp.Usage = &usage{PromptTokens: prompt, CompletionTokens: w.generatedTokens, TotalTokens: prompt + w.generatedTokens}
	body, err := json.Marshal(resp)
	if err != nil {
		return fmt.Errorf("entry: unable to encode a response: %w", err)
	}
	w.started = true
	w.response.Header().Set("Content-Type", "application/json")
	w.response.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return w.write(body)
}

// abort ends a response that has started. It sends an error event if the response is streamed, and closes the
// connection by a panic with http.ErrAbortHandler, so that the response does not look complete.
func (w *completionWriter) abort(r *outcome.Refusal) {
	if w.completion.stream {
		_ = w.write(fmt.Appendf(nil, "event: error\ndata: %s\n\n", r.Body()))
	}
	panic(http.ErrAbortHandler)
}
