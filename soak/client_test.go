package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// serveRequest makes a server run a request with an id for a client account.
func serveRequest(t *testing.T, s *backend.Server, id, account string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://soak.example/order/1",
		strings.NewReader("two lambs"))
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Tenant-Name", account)
	s.ServeHTTP(httptest.NewRecorder(), r)
}

// Violated guarantees must be found, and results without a violation must pass.
func TestCheckFindsViolations(t *testing.T) {
	tests := []struct {
		name    string
		runs    int
		result  result
		account string
		want    string // part of the violation's description; empty if there must be none
	}{
		{"one run with its response", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"an order may run and end without a known outcome", 1, result{id: "x", path: "/order/1", status: 502}, "dala", ""},
		{"an idempotent request may run twice", 2, result{id: "x", path: "/status/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"an order ran twice", 2, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", "ran 2 times"},
		{"rejected but ran", 1, result{id: "x", path: "/order/1", status: 503}, "dala", "refused as not run"},
		{"got the response of another request", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of y"}, "dala", "wrong answer"},
		{"truncated stream that looks complete", 0, result{id: "x", path: "/draft/1", status: 200, body: expectedStream(3)}, "dala", "wrong answer"},
		{"request reached the server for another account", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "other", "for account"},
		{"request not served after all faults", 0, result{id: "x", path: "/order/1", status: 503}, "dala", "were served after all faults"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := (&backend.Server{ID: "s0", Slots: 4, ServiceTime: time.Millisecond}).Init()
			for range test.runs {
				serveRequest(t, s, test.result.id, test.account)
			}
			c := &clients{env: &environment{servers: []*backendServer{{backend: s}}}, results: []result{test.result}}
			if strings.Contains(test.want, "served after") {
				c.finalResults = []result{test.result}
			}
			got := strings.Join(c.check(), "; ")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("unexpected violations %q instead of %q", got, test.want)
			}
		})
	}
}

// A request that an instance has read and that got no answer in a planned stop must be found. One that met a closed listener or
// crossed the end of an idle connection, and a stream that was cut after it had begun, must not.
func TestCheckFindsRequestsThatAreLostInStops(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("refused")}
	tests := []struct {
		name     string
		received bool
		result   stopResult
		lost     bool
	}{
		{"answered", true, stopResult{took: time.Second, answered: true}, false},
		{"cut while it waited", false, stopResult{took: time.Second, err: io.EOF}, true},
		{"cut at a server", true, stopResult{took: 10 * time.Millisecond, err: io.EOF}, true},
		{"crossed the end of an idle connection", false, stopResult{took: 10 * time.Millisecond, err: io.EOF}, false},
		{"the listener was closed", false, stopResult{took: time.Second, err: fmt.Errorf("unable to connect: %w", dial)}, false},
		{"stream cut after its header", true, stopResult{took: time.Second, answered: true, err: io.ErrUnexpectedEOF}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := (&backend.Server{ID: "s0", Slots: 4, ServiceTime: time.Millisecond}).Init()
			test.result.id = "x"
			if test.received {
				serveRequest(t, s, "x", "dala")
			}
			c := &clients{env: &environment{servers: []*backendServer{{backend: s}}}, stopResults: []stopResult{test.result}}
			c.checkStops()
			if found := len(c.violations) > 0; found != test.lost {
				t.Errorf("unexpected violations %q", c.violations)
			}
		})
	}
}
