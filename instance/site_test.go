package instance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"teaselgate/outcome"
	"teaselgate/standin/site"
)

const accountName = "dala"

// startSite starts one instance with engines and a plain service for orders. The test must stop the site.
func startSite(t *testing.T) *site.Site {
	t.Helper()
	return startSiteWith(t, func(*site.Config) {})
}

// startSiteWith is startSite with a function that changes the configuration.
func startSiteWith(t *testing.T, change func(*site.Config)) *site.Site {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	config := site.Config{
		Instances: 1, PrefillEngines: 2, DecodeEngines: 2, Services: 1, Zones: []string{"ala-a"}, Log: log,
		Accounts: []site.Account{{Name: accountName, Rate: 1_000_000, Burst: 10_000_000, Weight: 1}},
	}
	change(&config)
	s, err := site.Start(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// response is the response to a caller, or the error instead of one.
type response struct {
	status     int
	outcome    string
	requestID  string
	retryAfter string
	body       string
	err        error // failure to send the request or to read the whole response
}

// errorResponse is the JSON body of an error.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (r response) decodeError(t *testing.T) errorResponse {
	t.Helper()
	var decoded errorResponse
	if err := json.Unmarshal([]byte(r.body), &decoded); err != nil {
		t.Errorf("unexpected body of an error response %q: %v", r.body, err)
	}
	return decoded
}

// sendRequest sends one request and reads the whole response.
func sendRequest(client *http.Client, method, url, key string, body io.Reader) response {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return response{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{
		status:     resp.StatusCode,
		outcome:    resp.Header.Get(outcome.Header),
		requestID:  resp.Header.Get("Teaselgate-Request"),
		retryAfter: resp.Header.Get("Retry-After"),
		body:       string(text),
		err:        err,
	}
}

// chunkedReader hides the length of a request body, so that the client sends it with chunked encoding.
type chunkedReader struct{ io.Reader }

func zeroBody(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }

const completionBody = `{"model": "chat", "prompt": "Describe a lamb shoulder.", "max_tokens": 4}`

func TestBadRequestsGetErrorAndAccurateOutcome(t *testing.T) {
	s := startSite(t)
	key := s.Keys()[accountName]
	const tooLarge = 16<<20 + 1
	tests := []struct {
		name, method, path, key string
		body                    io.Reader
		status                  int
		code                    string
	}{
		{"no key", "POST", "/v1/completions", "", strings.NewReader(completionBody), 401, "bad-key"},
		{"bad key", "POST", "/v1/completions", "tg-wrong", strings.NewReader(completionBody), 401, "bad-key"},
		{"bad key for an order", "POST", "/orders", "tg-wrong", strings.NewReader("a lamb"), 401, "bad-key"},
		{"unknown path", "POST", "/nothing", key, strings.NewReader(completionBody), 404, "no-route"},
		{"path that starts like a route", "POST", "/orderss", key, strings.NewReader("a lamb"), 404, "no-route"},
		{"oversized body", "POST", "/v1/completions", key, zeroBody(tooLarge), 413, "body-too-large"},
		{"oversized chunked body", "POST", "/v1/completions", key, chunkedReader{zeroBody(tooLarge)}, 413, "body-too-large"},
		{"oversized order", "POST", "/orders", key, zeroBody(tooLarge), 413, "body-too-large"},
		{"broken JSON", "POST", "/v1/completions", key, strings.NewReader(`{"model": `), 400, "bad-json"},
		{"wrong type in JSON", "POST", "/v1/chat/completions", key, strings.NewReader(`{"messages": "x"}`), 400, "bad-json"},
		{"wrong method", "GET", "/v1/completions", key, http.NoBody, 405, "bad-method"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			resp := sendRequest(http.DefaultClient, test.method, "http://"+s.Addresses()[0]+test.path, test.key, test.body)
			if resp.err != nil {
				t.Fatalf("unexpected error %v", resp.err)
			}
			decoded := resp.decodeError(t)
			if resp.status != test.status || decoded.Error.Code != test.code || decoded.Error.Message == "" {
				t.Errorf("unexpected error response, got %d %v instead of %d %s", resp.status, decoded, test.status, test.code)
			}
			if resp.outcome != string(outcome.NotRun) || decoded.Error.Outcome != resp.outcome {
				t.Errorf("unexpected outcome, got %q and %q instead of %s", resp.outcome, decoded.Error.Outcome, outcome.NotRun)
			}
			if strings.Contains(resp.body, "tg-") {
				t.Errorf("unexpected key in an error response: %s", resp.body)
			}
		})
	}
	// The outcome not-run must be accurate: no engine and no service may have run a request.
	for _, e := range s.Engines() {
		if c := e.Counters(); c.Prefills > 0 {
			t.Errorf("unexpected prefills at %s: %d", e.Name, c.Prefills)
		}
	}
	if runs := s.Services()[0].Runs(); len(runs) > 0 {
		t.Errorf("unexpected calls at the service: %v", runs)
	}
	if err := s.Stop(); err != nil {
		t.Errorf("unexpected error %v", err)
	}
}
