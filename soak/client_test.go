package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// serveRequest lets a server run a request with an id.
func serveRequest(t *testing.T, s *backend.Server, id, account string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://soak.example/order/1", strings.NewReader("two lambs"))
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Tenant-Name", account)
	s.ServeHTTP(httptest.NewRecorder(), r)
}

// Each broken promise must be found, and a run without one must pass.
func TestCheckFindsBrokenPromises(t *testing.T) {
	tests := []struct {
		name    string
		runs    int
		result  result
		account string
		want    string // empty: none
	}{
		{"sound", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"unknown outcome", 1, result{id: "x", path: "/order/1", status: 502}, "dala", ""},
		{"an idempotent request may run twice", 2, result{id: "x", path: "/status/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"ran twice", 2, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", "ran 2 times"},
		{"refused but ran", 1, result{id: "x", path: "/order/1", status: 503}, "dala", "refused as not run"},
		{"another's answer", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of y"}, "dala", "wrong answer"},
		{"cut stream that looks whole", 0, result{id: "x", path: "/draft/1", status: 200, body: expectedStream(3)}, "dala", "wrong answer"},
		{"another account", 1, result{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "other", "for account"},
		{"not served any more", 0, result{id: "x", path: "/order/1", status: 503}, "dala", "were served after all faults"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := (&backend.Server{ID: "s0", Slots: 4, ServiceTime: time.Millisecond}).Init()
			for range test.runs {
				serveRequest(t, s, test.result.id, test.account)
			}
			clients := &clients{env: &environment{servers: []*backendServer{{server: s}}}, results: []result{test.result}}
			if strings.Contains(test.want, "served after") {
				clients.finalResults = []result{test.result}
			}
			got := strings.Join(clients.check(), "; ")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("unexpected findings %q instead of %q", got, test.want)
			}
		})
	}
}
