package soak

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/backend"
)

// ran lets a server run a request with an id.
func ran(t *testing.T, s *backend.Server, id, account string) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "http://soak.example/order/1", strings.NewReader("two lambs"))
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Tenant-Name", account)
	s.ServeHTTP(httptest.NewRecorder(), r)
}

// Each broken promise must be found, and a run without one must pass.
func TestCheckFindsBrokenPromises(t *testing.T) {
	cases := []struct {
		name  string
		runs  int
		call  call
		owner string
		want  string // empty: none
	}{
		{"sound", 1, call{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"unknown outcome", 1, call{id: "x", path: "/order/1", status: 502}, "dala", ""},
		{"an idempotent request may run twice", 2, call{id: "x", path: "/status/1", status: 200, body: "whole answer of x"}, "dala", ""},
		{"ran twice", 2, call{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "dala", "ran 2 times"},
		{"refused but ran", 1, call{id: "x", path: "/order/1", status: 503}, "dala", "refused as not run"},
		{"another's answer", 1, call{id: "x", path: "/order/1", status: 200, body: "whole answer of y"}, "dala", "wrong answer"},
		{"cut stream that looks whole", 0, call{id: "x", path: "/draft/1", status: 200, body: wholeStream(3)}, "dala", "wrong answer"},
		{"another account", 1, call{id: "x", path: "/order/1", status: 200, body: "whole answer of x"}, "other", "for account"},
		{"not served any more", 0, call{id: "x", path: "/order/1", status: 503}, "dala", "were served after all faults"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := (&backend.Server{ID: "s0", Slots: 4, ServiceTime: time.Millisecond}).Init()
			for range c.runs {
				ran(t, s, c.call.id, c.owner)
			}
			found := &clients{world: &world{members: []*member{{server: s}}}, calls: []call{c.call}}
			if strings.Contains(c.want, "served after") {
				found.tail = []call{c.call}
			}
			got := strings.Join(found.check(), "; ")
			if c.want == "" && got != "" || !strings.Contains(got, c.want) {
				t.Errorf("unexpected findings %q instead of %q", got, c.want)
			}
		})
	}
}
