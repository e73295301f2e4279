package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"

	"teaselgate/cell"
	"teaselgate/engine"
	"teaselgate/rule"
)

// crashingEngines are engines that end when they begin to write an answer on a prompt with a deadly text. Each serves
// prefills and streams.
type crashingEngines struct {
	deadly  string
	mu      sync.Mutex
	servers []*httptest.Server
	prompts map[string]string // by attempt
	ended   map[string]bool   // by address
}

func startCrashingEngines(t *testing.T, n int, deadly string) *crashingEngines {
	e := &crashingEngines{deadly: deadly, prompts: make(map[string]string), ended: make(map[string]bool)}
	for range n {
		s := httptest.NewServer(nil)
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, s.Listener) })
		e.servers = append(e.servers, s)
		t.Cleanup(s.Close)
	}
	return e
}

func (e *crashingEngines) serve(w http.ResponseWriter, r *http.Request, listener net.Listener) {
	var message engine.PrefillRequest
	if json.NewDecoder(r.Body).Decode(&message) != nil {
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	if message.Prompt != "" {
		e.prompts[message.Attempt] = message.Prompt
	}
	crashes := r.URL.Path == engine.DecodePath && strings.Contains(e.prompts[message.Attempt], e.deadly)
	if crashes {
		e.ended[listener.Addr().String()] = true
	}
	e.mu.Unlock()
	if crashes {
		listener.Close()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path != engine.DecodePath {
		fmt.Fprintf(w, `{"attempt":%q,"handle":"h","tokens":1}`, message.Attempt)
		return
	}
	for index := range 3 {
		fmt.Fprintf(w, "data: {\"attempt\":%q,\"index\":%d,\"text\":\"x\"}\n\n", message.Attempt, index)
	}
	fmt.Fprintf(w, "data: {\"attempt\":%q,\"done\":true,\"reason\":\"length\"}\n\n", message.Attempt)
}

// place places a request on an engine that it does not exclude and that has not ended.
func (e *crashingEngines) place(_ context.Context, r cell.Request) (*cell.Placement, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.servers {
		at := s.Listener.Addr().String()
		if !e.ended[at] && !slices.Contains(r.Exclude, at) {
			server := rule.Server{Server: at, At: at}
			return &cell.Placement{Prefill: server, Decode: server}, nil
		}
	}
	return nil, cell.ErrNoServer
}

// Requests whose prompts begin alike end each engine that begins their answers. Others of the same client account, also
// with the same shorter beginning, must be served.
func TestPromptsThatCrashEnginesAreStopped(t *testing.T) {
	system, deadly := strings.Repeat("You are a butcher. ", 30), strings.Repeat("deadly ", 400)
	engines := startCrashingEngines(t, 12, deadly)
	h := newChargingHandler(t, 1_000_000, "")
	h.Engines, h.Place = engine.NewClient(), engines.place
	h.CancelAttempt = func(string, string, bool) {}
	defer h.Engines.Close()
	send := func(prompt string) (status int, body string) {
		w := httptest.NewRecorder()
		text := fmt.Sprintf(`{"prompt": %q, "max_tokens": 3}`, prompt)
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/model", strings.NewReader(text))
		r.Header.Set("Authorization", "Bearer "+testSecret)
		func() {
			defer func() { _ = recover() }() // the response broke off
			h.ServeHTTP(w, r)
		}()
		return w.Code, w.Body.String()
	}
	for n := range 10 {
		if status, body := send(fmt.Sprint(system, "Describe lamb number ", n)); status != http.StatusOK {
			t.Errorf("sound request %d: status %d: %s", n, status, body)
		}
		status, body := send(fmt.Sprint(system, deadly, n))
		if status == http.StatusOK {
			t.Errorf("request %d that crashes engines was answered", n)
		}
		if n > 1 && !strings.Contains(body, `"code":"quarantined","outcome":"not-run"`) {
			t.Errorf("request %d that would crash engines: status %d: %s", n, status, body)
		}
	}
	if n := len(engines.ended); n > 3 {
		t.Errorf("%d engines ended", n)
	}
}
