package cli

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// Only requests with the text crash a stand-in; the others get their body.
func TestDeadlyRequestsCrashAStandin(t *testing.T) {
	d := deadlyRequests{text: "deadly"}
	for _, c := range []struct {
		path, body string
		crashes    bool
	}{{"/a", "sound", false}, {"/a", "a deadly one", true}, {"/deadly", "", true}} {
		var got string
		var crashed atomic.Bool
		var server *httptest.Server
		next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := make([]byte, 100)
			n, _ := r.Body.Read(body)
			got = string(body[:n])
		})
		server = httptest.NewServer(d.handler(next, func() {
			crashed.Store(true)
			server.CloseClientConnections()
		}))
		resp, err := http.Post(server.URL+c.path, "text/plain", strings.NewReader(c.body))
		if err == nil {
			resp.Body.Close()
		}
		server.Close()
		if crashed.Load() != c.crashes || (err != nil) != c.crashes || !c.crashes && got != c.body {
			t.Errorf("%s %q: crashed %v, error %v, body %q", c.path, c.body, crashed.Load(), err, got)
		}
	}
}
