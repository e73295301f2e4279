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

// startSite starts one instance with engines and an order service.
func startSite(t *testing.T) *site.Site {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := site.Start(context.Background(), site.Config{
		Instances: 1, PrefillEngines: 2, DecodeEngines: 2, Services: 1, Zones: []string{"ala-a"}, Log: log,
		Accounts: []site.Account{{Name: accountName, Rate: 1_000_000, Burst: 10_000_000, Weight: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// answer is what a caller received.
type answer struct {
	status  int
	outcome string
	request string // id
	retry   string
	body    string
	err     error // the answer broke off
}

// refusal is the JSON error in a body.
type refusal struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func (a answer) refusal(t *testing.T) refusal {
	t.Helper()
	var r refusal
	if err := json.Unmarshal([]byte(a.body), &r); err != nil {
		t.Errorf("unexpected refusal %q: %v", a.body, err)
	}
	return r
}

// call sends one request.
func call(client *http.Client, method, url, key string, body io.Reader) answer {
	req, err := http.NewRequest(method, url, body)
	if err != nil {
		return answer{err: err}
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		outcome: resp.Header.Get(outcome.Header),
		request: resp.Header.Get("Teaselgate-Request"),
		retry:   resp.Header.Get("Retry-After"),
		body:    string(text),
		err:     err,
	}
}

// unsized hides a body's length, so that it is sent in chunks.
type unsized struct{ io.Reader }

func zeros(n int) io.Reader { return bytes.NewReader(make([]byte, n)) }

const prompt = `{"model": "chat", "prompt": "Describe a lamb shoulder.", "max_tokens": 4}`

func TestBadRequestsGetClearErrorsWithTheTrueOutcome(t *testing.T) {
	s := startSite(t)
	key := s.Keys()[accountName]
	const tooLarge = 16<<20 + 1
	tests := []struct {
		name, method, path, key string
		body                    io.Reader
		status                  int
		code                    string
	}{
		{"no key", "POST", "/v1/completions", "", strings.NewReader(prompt), 401, "bad-key"},
		{"bad key", "POST", "/v1/completions", "tg-wrong", strings.NewReader(prompt), 401, "bad-key"},
		{"bad key for an order", "POST", "/orders", "tg-wrong", strings.NewReader("a lamb"), 401, "bad-key"},
		{"unknown path", "POST", "/nothing", key, strings.NewReader(prompt), 404, "no-route"},
		{"path beside a route", "POST", "/orderss", key, strings.NewReader("a lamb"), 404, "no-route"},
		{"oversized body", "POST", "/v1/completions", key, zeros(tooLarge), 413, "body-too-large"},
		{"oversized body in chunks", "POST", "/v1/completions", key, unsized{zeros(tooLarge)}, 413, "body-too-large"},
		{"oversized order", "POST", "/orders", key, zeros(tooLarge), 413, "body-too-large"},
		{"broken JSON", "POST", "/v1/completions", key, strings.NewReader(`{"model": `), 400, "bad-json"},
		{"wrong type in JSON", "POST", "/v1/chat/completions", key, strings.NewReader(`{"messages": "x"}`), 400, "bad-json"},
		{"wrong method", "GET", "/v1/completions", key, http.NoBody, 405, "bad-method"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a := call(http.DefaultClient, test.method, "http://"+s.Addresses()[0]+test.path, test.key, test.body)
			if a.err != nil {
				t.Fatalf("unexpected error %v", a.err)
			}
			r := a.refusal(t)
			if a.status != test.status || r.Error.Code != test.code || r.Error.Message == "" {
				t.Errorf("unexpected refusal, got %d %v instead of %d %s", a.status, r, test.status, test.code)
			}
			if a.outcome != string(outcome.NotRun) || r.Error.Outcome != a.outcome {
				t.Errorf("unexpected outcome, got %q and %q instead of %s", a.outcome, r.Error.Outcome, outcome.NotRun)
			}
			if strings.Contains(a.body, "tg-") {
				t.Errorf("unexpected key in a refusal: %s", a.body)
			}
		})
	}
	// The outcome must be true: nothing may have run.
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
