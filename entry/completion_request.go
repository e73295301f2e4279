package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"teaselgate/outcome"
)

const (
	defaultMaxTokens   = 256
	maxTokensLimit     = 32768
	bytesPerToken      = 4        // estimate for charging and placement
	maxCompletionBytes = 16 << 20 // the settings may set a lower limit for all request bodies
	chatSuffix         = "/chat/completions"
)

// completionRequest is a validated completion request.
type completionRequest struct {
	chat      bool
	model     string
	prompt    string
	maxTokens int
	stream    bool
}

// completionBody is the JSON body of a completion request.
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

// RenderChat returns the prompt for the messages of a chat.
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

// promptTokens estimates the number of tokens of the prompt.
func (c completionRequest) promptTokens() int {
	return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken
}

// readCompletion reads and validates the body of a completion request. Its errors are refusals.
func readCompletion(w http.ResponseWriter, r *http.Request) (completionRequest, error) {
	if r.Method != http.MethodPost {
		return completionRequest{}, badRequest(http.StatusMethodNotAllowed, "bad-method", "completions take POST")
	}
	content, err := readLimited(w, r, maxCompletionBytes+1)
	if err != nil {
		return completionRequest{}, err
	}
	if len(content) > maxCompletionBytes {
		return completionRequest{}, badRequest(http.StatusRequestEntityTooLarge, "body-too-large", "the body is too large")
	}
	var b completionBody
	if err := json.Unmarshal(content, &b); err != nil {
		return completionRequest{}, badRequest(http.StatusBadRequest, "bad-json", "the body is not valid JSON: "+err.Error())
	}
	return b.validate(strings.HasSuffix(r.URL.Path, chatSuffix))
}

// validate converts a body into a completion request, or returns a refusal.
func (b completionBody) validate(chat bool) (completionRequest, error) {
	c := completionRequest{chat: chat, model: b.Model, prompt: b.Prompt, maxTokens: b.MaxTokens, stream: b.Stream}
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
	if c.maxTokens < 1 || c.maxTokens > maxTokensLimit {
		return c, badRequest(http.StatusBadRequest, "bad-max-tokens", "max_tokens is out of range")
	}
	return c, nil
}

// badRequest returns the refusal of a malformed request.
func badRequest(status int, code, message string) error {
	return outcome.NewRefusal(status, code, message)
}
