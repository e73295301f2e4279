package entry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"teaselgate/rule"
	"teaselgate/standin/wire"
)

// countWhole sends requests with a body to a handler whose server sends an answer, and returns how many callers get a
// whole response.
func countWhole(t *testing.T, path string, answer wire.Answer, length int) int {
	t.Helper()
	const requests = 20
	server := wire.NewServer(t, func(int64, *http.Request) wire.Answer { return answer })
	h := newChargingHandler(t, 1000, "")
	h.PickServer = func(string, []string) (rule.Server, error) {
		return rule.Server{Server: "s", At: server.Address}, nil
	}
	front := httptest.NewServer(h)
	defer front.Close()
	text := wire.Upload(length)
	whole := 0
	for range requests {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+path, strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testSecret)
		resp, err := front.Client().Do(req)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			whole++
		}
	}
	if server.Requests() > requests {
		t.Errorf("%s: the server got %d requests instead of %d", path, server.Requests(), requests)
	}
	return whole
}

// A service answers a long upload early, without a length, and ends the connection before it has read the upload.
func TestCallersSeeThatAnEarlyResponseIsIncomplete(t *testing.T) {
	for name, early := range wire.EarlyAnswers("", wire.PartialText) {
		for _, path := range []string{"/once", "/read"} {
			if whole := countWhole(t, path, early.Answer, early.Length); whole > 0 {
				t.Errorf("%s, %s: %d incomplete responses looked whole to their callers", path, name, whole)
			}
		}
	}
}

func TestCallersSeeThatAResponseHasAMalformedTrailer(t *testing.T) {
	for name, text := range wire.InvalidTrailers("", "text") {
		for _, path := range []string{"/once", "/read"} {
			if whole := countWhole(t, path, wire.Answer{Text: text, AfterBody: true, End: wire.Keep}, 4); whole > 0 {
				t.Errorf("%s, %s: %d malformed responses looked whole to their callers", path, name, whole)
			}
		}
	}
}
