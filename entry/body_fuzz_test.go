package entry

import (
	"bytes"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"teaselgate/outcome"
)

// FuzzCompletionBody checks that every body gives either a valid completion request or a refusal that says that it has
// not run.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		`{"prompt":"lamb","max_tokens":8,"stream":true}`,
		`{"messages":[{"role":"user","content":"leaf"}],"max_completion_tokens":3}`,
		`{"prompt":"x","max_tokens":-1}`,
		`{"prompt":"x","max_tokens":1e9}`,
		`{"prompt":["a"]}`,
		`{"messages":[{"content":null}]}`,
		`{`, ``, `null`, "\xff\xfe", `{"prompt":"\u0000"}`,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
		c, err := readCompletion(httptest.NewRecorder(), r)
		var refusal *outcome.Refusal
		switch {
		case err == nil && (c.prompt == "" || c.maxTokens < 1 || c.maxTokens > maxTokensLimit || c.promptTokens() < 1):
			t.Errorf("unexpected completion request %+v", c)
		case err != nil && (!errors.As(err, &refusal) || refusal.Outcome != outcome.NotRun || refusal.Status < 400):
			t.Errorf("unexpected error %v", err)
		}
	})
}
