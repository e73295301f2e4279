package instance_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"teaselgate/platform"
	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
	"teaselgate/standin/wire"
)

// unsoundHead replaces the status line of a backend server's responses.
type unsoundHead struct{ name, statusLine string }

var unsoundStatuses = []unsoundHead{
	{"status 000", "HTTP/1.1 000 Trouble"},
	{"status 042", "HTTP/1.1 042 Trouble"},
	{"status +20", "HTTP/1.1 +20 Trouble"},
}

func TestResponsesWithInvalidStatusesReachNoCaller(t *testing.T) {
	for _, head := range unsoundStatuses {
		t.Run(head.name, func(t *testing.T) { checkUnsoundHead(t, head) })
	}
}

var unsoundNames = []unsoundHead{
	{"blank in a name", "HTTP/1.1 200 OK\r\nBad Name: x"},
	{"blank before a colon", "HTTP/1.1 200 OK\r\nName : x"},
	{"blank in an interim head", "HTTP/1.1 103 Early Hints\r\nBad Name: x\r\n\r\nHTTP/1.1 200 OK"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nBad\x01Name: x"},
}

func TestResponsesWithInvalidFieldNamesReachNoCaller(t *testing.T) {
	for _, head := range unsoundNames {
		t.Run(head.name, func(t *testing.T) { checkUnsoundHead(t, head) })
	}
}

// checkUnsoundHead checks what callers get while one server of each duty sends an unsound head in each response. A second
// server of each duty is sound.
func checkUnsoundHead(t *testing.T, head unsoundHead) {
	t.Helper()
	model := caller.Request{Key: accountKey, PromptTokens: 100, MaxOutputTokens: 20}
	for _, c := range []struct {
		name, server, path string
		call               caller.Request
		repeatable         bool // whether a request whose response is lost may be answered by the sound server
	}{
		{"plain, once", "s0", "/order/", caller.Request{Key: accountKey}, false},
		{"plain, idempotent", "s0", "/status/", caller.Request{Key: accountKey}, true},
		{"prefill", "p0", "/draft/", model, true},
		{"decode, once", "d0", "/draft/", model, false},
		{"decode, resumable", "d0", "/digest/", model, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := startStoreSite(t)
			s.waitUntilServed(t, c.path, c.call)
			sound := s.addSoundServer(t, c.server)
			var rewritten atomic.Int64
			s.replaceAddress(t, c.server, func(address string) string {
				return wire.NewProxy(t, address, func(text []byte) []byte { return rewriteHead(text, head.statusLine, &rewritten) })
			})
			lost := s.sendWhile(t, func() bool { return rewritten.Load() == 0 }, c.path, c.call)
			switch {
			case c.repeatable && lost > 0:
				t.Errorf("%d requests that may be repeated were not answered", lost)
			case !c.repeatable && lost == 0:
				t.Error("an unsound response was taken for an answer")
			case !c.repeatable:
				checkRanOnce(t, s.servers[c.server], sound)
			}
		})
	}
}

// rewriteHead replaces the status line of responses to callers and of prefills, and counts them. Reports of engines stay as
// they are.
func rewriteHead(text []byte, statusLine string, rewritten *atomic.Int64) []byte {
	if !bytes.Contains(text, []byte("Response-Seal: ")) && !bytes.Contains(text, []byte("kvHandle\"")) {
		return text
	}
	rewritten.Add(1)
	return bytes.Replace(text, []byte("HTTP/1.1 200 OK"), []byte(statusLine), 1)
}

// sendWhile sends requests as long as a condition holds, checks that each answer is whole or a failure, and returns the
// number of failures.
func (s *storeTestSite) sendWhile(t *testing.T, condition func() bool, path string, call caller.Request) (failures int) {
	t.Helper()
	for n := 0; condition(); n++ {
		if n == maxPolls {
			t.Fatalf("the condition still holds after %d requests", n)
		}
		call.ID = fmt.Sprint("request-", n)
		status, text := s.post(t, path+"1", call)
		if status == http.StatusOK && (strings.Contains(text, call.ID) || strings.Contains(text, "token 3\n\n")) {
			<-time.After(pollInterval / 10)
			continue
		}
		if failures++; status != http.StatusBadGateway && status != http.StatusServiceUnavailable || text != "" {
			t.Errorf("unexpected answer, got status %d and %q", status, text)
		}
	}
	return failures
}

// checkRanOnce checks that no request ran more than once.
func checkRanOnce(t *testing.T, servers ...*backend.Server) {
	t.Helper()
	runs := make(map[string]int)
	for _, server := range servers {
		for _, received := range server.Received() {
			if received.Ran {
				runs[received.ID]++
			}
		}
	}
	for id, n := range runs {
		if n > 1 {
			t.Errorf("request %s ran %d times", id, n)
		}
	}
}

// soundServiceTime is the time that a second plain server takes for a request. It is longer than that of the first, so that
// the first is preferred until it has failed.
const soundServiceTime = 30 * time.Millisecond

// addSoundServer starts a second server with the duty of another one and returns it.
func (s *storeTestSite) addSoundServer(t *testing.T, like string) *backend.Server {
	t.Helper()
	added := s.addServers(t, "1", soundServiceTime)
	for id := range added {
		if id[0] != like[0] {
			s.deleteServer(t, id)
		}
	}
	return added[like[:1]+"1"]
}

// deleteServer removes the entry of a server from the platform store.
func (s *storeTestSite) deleteServer(t *testing.T, id string) {
	t.Helper()
	entry, err := s.client.Get(t.Context(), platform.ServerKind, id)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.client.Delete(t.Context(), platform.ServerKind, id, entry.Version); err != nil {
		t.Fatal(err)
	}
}

// replaceAddress changes the address in the entry of a server.
func (s *storeTestSite) replaceAddress(t *testing.T, id string, change func(address string) string) {
	t.Helper()
	entry, err := s.client.Get(t.Context(), platform.ServerKind, id)
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]any
	if err := json.Unmarshal(entry.Data, &fields); err != nil {
		t.Fatal(err)
	}
	address := change(fields["address"].(string))
	s.engines.Store(address, s.servers[id])
	fields["address"] = address
	if _, err := s.client.Update(t.Context(), platform.ServerKind, id, entry.Version, fields); err != nil {
		t.Fatal(err)
	}
}
