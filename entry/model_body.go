package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"teaselgate/outcome"
)

const (
	defaultMaxTokens   = 256
	limitMaxTokens     = 32768
	bytesPerToken      = 4        // estimate used for charges and placement
	maxCompletionBytes = 16 << 20 // the settings may set a lower limit for all bodies
	chatSuffix         = "/chat/completions"
)

// completion is what a caller asks of a model.
type completion struct {
	chat      bool
	model     string
	prompt    string
	maxTokens int
	stream    bool
}

type completionBody struct {
	Model               string    `json:"model"`
	Prompt              string    `json:"prompt"`
	Messages            []Message `json:"messages"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RenderChat makes the prompt that a chat stands for.
func RenderChat(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

func (c completion) promptTokens() int {
	return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken
}

func readCompletion(w http.ResponseWriter, r *http.Request) (completion, error) {
	if r.Method != http.MethodPost {
		return completion{}, badRequest(http.StatusMethodNotAllowed, "bad-method", "completions take POST")
	}
	text, err := readLimited(w, r, maxCompletionBytes+1)
	if err != nil {
		return completion{}, err
	}
	if len(text) > maxCompletionBytes {
		return completion{}, badRequest(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	var b completionBody
	if err := json.Unmarshal(text, &b); err != nil {
		return completion{}, badRequest(http.StatusBadRequest, "bad-json", "the body is not valid JSON: "+err.Error())
	}
	return b.check(strings.HasSuffix(r.URL.Path, chatSuffix))
}

func (b completionBody) check(chat bool) (completion, error) {
	c := completion{chat: chat, model: b.Model, prompt: b.Prompt, maxTokens: b.MaxTokens, stream: b.Stream}
	if chat {
		c.prompt = RenderChat(b.Messages)
	}
	if c.prompt == "" {
		return c, badRequest(http.StatusBadRequest, "no-prompt", "the body has no prompt or messages")
	}
	if c.maxTokens == 0 {
		c.maxTokens = b.MaxCompletionTokens
	}
	if c.maxTokens == 0 {
		c.maxTokens = defaultMaxTokens
	}
	if c.maxTokens < 1 || c.maxTokens > limitMaxTokens {
		return c, badRequest(http.StatusBadRequest, "bad-max-tokens", "max_tokens is out of range")
	}
	return c, nil
}

func badRequest(status int, code, message string) error {
	return outcome.NewRefusal(status, code, message)
}
