package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/config"
	"teaselgate/outcome"
	"teaselgate/rule"
)

// crashingServices are servers of a plain service that end some time after they began to run a request with a deadly body.
type crashingServices struct {
	after   time.Duration
	mu      sync.Mutex
	servers []*httptest.Server
	ended   map[string]bool // by address
}

func startCrashingServices(t *testing.T, n int, after time.Duration) *crashingServices {
	c := &crashingServices{after: after, ended: make(map[string]bool)}
	for range n {
		s := httptest.NewServer(nil)
		s.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, s) })
		c.servers = append(c.servers, s)
		t.Cleanup(s.Close)
	}
	return c
}

func (c *crashingServices) serve(w http.ResponseWriter, r *http.Request, s *httptest.Server) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !strings.Contains(string(body), "deadly") {
		fmt.Fprint(w, "done")
		return
	}
	time.Sleep(c.after)
	c.mu.Lock()
	c.ended[s.Listener.Addr().String()] = true
	c.mu.Unlock()
	s.Listener.Close()
	panic(http.ErrAbortHandler)
}

// pick picks a server that has not ended.
func (c *crashingServices) pick(_ string, exclude []string) (rule.Server, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		at := s.Listener.Addr().String()
		if !c.ended[at] && !slices.Contains(exclude, at) {
			return rule.Server{Server: at, At: at}, nil
		}
	}
	return rule.Server{}, net.ErrClosed
}

func (c *crashingServices) endedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

// A request to a plain service that ends each server which runs it comes again and again. Once it has ended two, it is
// refused as not run, and others of the same caller are served.
func TestPlainRequestsThatCrashServersAreStopped(t *testing.T) {
	cases := []struct {
		path  string
		after time.Duration
	}{
		{"/once", 0},
		{"/once", 200 * time.Millisecond},
		{"/lookup", 0},
		{"/lookup", 200 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.path, " ", c.after), func(t *testing.T) {
			services := startCrashingServices(t, 12, c.after)
			h := newPlainHandler(t)
			h.PickServer = services.pick
			for n := range 6 {
				if status, body := sendPlain(t, h, c.path, fmt.Sprint("sound ", n)); status != http.StatusOK {
					t.Errorf("sound request %d: status %d: %s", n, status, body)
				}
				status, body := sendPlain(t, h, c.path, "deadly")
				if status == http.StatusOK || n > 1 && !strings.Contains(body, `"code":"quarantined","outcome":"not-run"`) {
					t.Errorf("deadly request %d: status %d: %s", n, status, body)
				}
			}
			if n := services.endedCount(); n > 3 {
				t.Errorf("%d servers ended", n)
			}
		})
	}
}

// newPlainHandler returns a handler with a route for calls that must run at most once and one for calls that may be repeated.
func newPlainHandler(t *testing.T) *Handler {
	h := newChargingHandler(t, 1_000_000, "")
	text := "- {pool: plain, duty: plain, slots: 9}   # operator: test\n" +
		"- {route: once, path: /once, pool: plain, calls: once, open: \"yes\"}   # operator: test\n" +
		"- {route: lookup, path: /lookup, pool: plain, calls: idempotent, open: \"yes\"}   # operator: test\n"
	rules, problems := rule.Parse("test", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	h.Rules = func() *config.Revision { return &config.Revision{Number: 1, Rules: rules} }
	h.RetryBudget = outcome.NewRetryBudget(1, 100)
	return h
}

// sendPlain sends a request, and returns the response.
func sendPlain(t *testing.T, h http.Handler, path, body string) (status int, text string) {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	func() {
		defer func() { _ = recover() }() // the response broke off
		h.ServeHTTP(w, r)
	}()
	return w.Code, w.Body.String()
}
