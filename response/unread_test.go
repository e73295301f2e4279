package response_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"teaselgate/response"
	"teaselgate/standin/bubble"
)

// net/http doesn't report the result of a request that it has not begun to send when the connection is closed.
func TestResponseToARequestWithoutAResultEnds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://server/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		sending, _ := response.Track(req)
		resp := &http.Response{ProtoMajor: 1, ContentLength: -1, Body: io.NopCloser(strings.NewReader("text"))}
		body := response.NewBody(resp, sending)
		defer body.Close()
		if _, err := io.ReadAll(body); !errors.Is(err, response.ErrIncomplete) {
			t.Errorf("unexpected error %v instead of %v", err, response.ErrIncomplete)
		}
	})
}
