package engine

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// FuzzReadChunks checks that readChunks returns nil only for a complete stream of the attempt's own tokens in order.
func FuzzReadChunks(f *testing.F) {
	token := func(attempt string, index int) string {
		return fmt.Sprintf("data: {\"attempt\":%q,\"index\":%d,\"text\":\"t\"}\n\n", attempt, index)
	}
	done := "data: {\"attempt\":\"a\",\"done\":true,\"reason\":\"stop\"}\n\n"
	for _, seed := range []string{
		token("a", 0) + token("a", 1) + done,
		token("a", 0) + token("a", 0) + done,
		token("a", 1) + done,
		token("b", 0) + done,
		token("a", 0) + strings.Replace(done, `"a"`, `"b"`, 1),
		token("a", 0),
		done, "", "data: {\n", ": comment\n\n" + token("a", 0) + done,
		"data: " + strings.Repeat("x", maxChunkBytes) + "\n",
	} {
		f.Add([]byte(seed), 0)
		f.Add([]byte(seed), 1)
	}
	f.Fuzz(func(t *testing.T, body []byte, from int) {
		req := DecodeRequest{Attempt: "a", MaxTokens: 4, From: from}
		next, ended := from, false
		err := readChunks(bytes.NewReader(body), req, func(c Chunk) error {
			if c.Attempt != "a" || ended || !c.Done && (c.Index != next || next >= req.MaxTokens) {
				t.Errorf("unexpected chunk %+v after %d tokens, ended %v", c, next, ended)
			}
			next, ended = next+1, c.Done
			return nil
		})
		if (err == nil) != ended {
			t.Errorf("unexpected end, got error %v with last chunk %v", err, ended)
		}
		if err != nil && !errors.Is(err, ErrIncomplete) && !errors.Is(err, ErrWrongAttempt) {
			t.Errorf("unexpected error %v", err)
		}
	})
}
