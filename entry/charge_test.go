package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/account"
	"teaselgate/allowance"
	"teaselgate/cell"
	"teaselgate/config"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/quarantine"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/slot"
)

// newChargingHandler returns a handler with an account that has the given burst of tokens. The clock of its rate is
// stopped, so that the tokens are not refilled. No model request gets a placement.
func newChargingHandler(t *testing.T, burst int, at string) *Handler {
	t.Helper()
	text := "- {pool: plain, duty: plain, slots: 9}   # operator: test\n" +
		"- {pool: pre, duty: prefill, slots: 1}   # operator: test\n" +
		"- {pool: dec, duty: decode, slots: 1, pieces: 9}   # operator: test\n" +
		"- {model: m, prefill: pre, decode: dec}   # operator: test\n" +
		"- {route: model, path: /model, model: m}   # operator: test\n" +
		"- {route: once, path: /once, pool: plain, calls: once}   # operator: test\n" +
		"- {route: read, path: /read, pool: plain, calls: idempotent}   # operator: test\n" +
		fmt.Sprintf("- {account: shop, rate: 1, burst: %d}   # operator: test\n", burst) +
		fmt.Sprintf("- {key: %q, account: shop}   # operator: test\n", account.Hash(testSecret))
	rules, problems := rule.Parse("test", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	services := service.NewClient()
	t.Cleanup(services.Close)
	static := allowance.NewStaticLimiter(func() int { return 1 })
	start := time.Now()
	static.Now = func() time.Time { return start }
	return &Handler{
		Rules:     func() *config.Revision { return &config.Revision{Number: 1, Rules: rules} },
		Connected: func() bool { return true },
		Admit:     static.Take,
		Place: func(context.Context, cell.Request) (*cell.Placement, error) {
			return nil, cell.ErrShed
		},
		PickServer:         func(string, []string) (rule.Server, error) { return rule.Server{Server: "s", At: at}, nil },
		ReportServerResult: func(string, time.Duration, slot.Result) {},
		Services:           services,
		RetryBudget:        outcome.NewDefaultRetryBudget(),
		Quarantine:         quarantine.NewList(),
		Record:             func(event.Event) {},
		Now:                time.Now,
	}
}

// refusalCode sends a request and returns the code of its refusal.
func refusalCode(t *testing.T, h http.Handler, path, body string) string {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testSecret)
	h.ServeHTTP(w, r)
	var refusal struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil {
		t.Fatalf("unexpected response %q: %v", w.Body.String(), err)
	}
	return refusal.Error.Code
}

func TestRequestThatDidNotRunIsNotCharged(t *testing.T) {
	h := newChargingHandler(t, 110, "") // 10 tokens of prompt, 100 of output
	body := `{"prompt": "` + strings.Repeat("x", 40) + `", "max_tokens": 100}`
	for n := range 3 {
		if got := refusalCode(t, h, "/model", body); got != "shed" {
			t.Errorf("unexpected code of refusal %d, got %s instead of shed", n, got)
		}
	}
}

func TestRequestThatMayHaveRunIsCharged(t *testing.T) {
	var runs atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	h := newChargingHandler(t, 1, server.Listener.Addr().String())
	for _, want := range []string{"no-answer", "over-rate"} {
		if got := refusalCode(t, h, "/once", "order"); got != want {
			t.Errorf("unexpected code of a refusal, got %s instead of %s", got, want)
		}
	}
	if n := runs.Load(); n != 1 {
		t.Errorf("unexpected runs, got %d instead of 1", n)
	}
}
