package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"teaselgate/account"
	"teaselgate/allowance"
	"teaselgate/config"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/quarantine"
	"teaselgate/rule"
	"teaselgate/service"
	"teaselgate/slot"
)

const testSecret = "tg-Zm9vYmFyYmF6cXV4MDEyMzQ1Njc4OWFiY2RlZmdoaWo"

// backend is a backend server that records what it receives, except bodies.
type backend struct {
	mu   sync.Mutex
	seen bytes.Buffer
	runs int
}

func (b *backend) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs++
	fmt.Fprintln(&b.seen, r.Method, r.RequestURI, r.Host, r.Header, r.Trailer, r.TransferEncoding)
}

// takeSeen returns the recorded requests and their number, and clears the record.
func (b *backend) takeSeen() (seen string, runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen, runs = b.seen.String(), b.runs
	b.seen.Reset()
	b.runs = 0
	return seen, runs
}

// testEnv is a handler with a backend server that records what it receives.
type testEnv struct {
	handler  *Handler
	backend  *backend
	instance *httptest.Server
	log      *bytes.Buffer
	recorder *event.Recorder

	mu        sync.Mutex
	revision  *config.Revision
	connected bool
}

// setRules puts rules with the given keys in force.
func (env *testEnv) setRules(t testing.TB, keys ...string) {
	t.Helper()
	var text strings.Builder
	text.WriteString("- {pool: p, duty: plain, slots: 9}   # operator: test\n" +
		"- {route: closed, path: /closed, pool: p}   # operator: test\n" +
		"- {route: once, path: /once, pool: p, calls: once}   # operator: test\n" +
		"- {route: open, path: /open, pool: p, open: yes}   # operator: test\n" +
		"- {account: shop, rate: 1000, burst: 1000}   # operator: test\n")
	for _, secret := range keys {
		fmt.Fprintf(&text, "- {key: %q, account: shop}   # operator: test\n", account.Hash(secret))
	}
	rules, problems := rule.Parse("test", []byte(text.String()))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.revision = &config.Revision{Number: 1, Rules: rules}
}

func (env *testEnv) setConnected(connected bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.connected = connected
}

func newTestEnv(t testing.TB) *testEnv {
	env := &testEnv{backend: &backend{}, log: &bytes.Buffer{}, connected: true}
	env.setRules(t, testSecret)
	server := httptest.NewServer(env.backend)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(env.log)
	log.SetLevel(logrus.DebugLevel)
	env.recorder = event.NewRecorder("i0", log)
	services := service.NewClient()
	t.Cleanup(services.Close)
	env.handler = newTestHandler(env, server.Listener.Addr().String(), services)
	env.instance = httptest.NewServer(env.handler)
	t.Cleanup(env.instance.Close)
	return env
}

func newTestHandler(env *testEnv, at string, services *service.Client) *Handler {
	return &Handler{
		Quarantine: quarantine.NewList(),
		Rules: func() *config.Revision {
			env.mu.Lock()
			defer env.mu.Unlock()
			return env.revision
		},
		Connected: func() bool {
			env.mu.Lock()
			defer env.mu.Unlock()
			return env.connected
		},
		Admit: func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error) {
			return &allowance.Charge{}, time.Time{}, nil
		},
		PickServer:         func(string, []string) (rule.Server, error) { return rule.Server{Server: "s", At: at}, nil },
		ReportServerResult: func(string, time.Duration, slot.Result) {},
		Services:           services,
		RetryBudget:        outcome.NewDefaultRetryBudget(),
		Record:             env.recorder.Record,
		Now:                time.Now,
	}
}

// exchange sends a raw request to the instance and returns the status, header and body of its response, or
// the empty string if there is no response.
func (env *testEnv) exchange(t testing.TB, request string) string {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", env.instance.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, request); err != nil {
		return ""
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	return fmt.Sprintln(resp.StatusCode, resp.Header, string(body))
}

// leakForm returns the form in which a text contains the secret, or the empty string if it does not. It recognises more
// forms than account.ExtractCredentials does.
func leakForm(text string) string {
	lower := strings.ToLower(text)
	raw, encoded := testSecret, base64.StdEncoding.EncodeToString([]byte(testSecret))
	for name, form := range map[string]string{
		"plain":   raw,
		"base64":  encoded[:len(encoded)-4],
		"query":   url.QueryEscape(raw),
		"percent": percentEncode(raw),
	} {
		if strings.Contains(lower, strings.ToLower(form)) {
			return name
		}
	}
	for _, token := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" []:,;&?=\"", r) }) {
		decoded, _ := base64.RawStdEncoding.DecodeString(strings.TrimRight(token, "="))
		unescaped, _ := url.PathUnescape(token)
		if strings.Contains(string(decoded), raw) || strings.Contains(unescaped, raw) {
			return "encoded in " + token
		}
	}
	return ""
}

// percentEncode returns a text with each byte percent-encoded.
func percentEncode(text string) string {
	var out strings.Builder
	for _, b := range []byte(text) {
		out.WriteString("%" + hex.EncodeToString([]byte{b}))
	}
	return out.String()
}

// secretForms are the forms in which the fuzz test sends the secret.
var secretForms = []func() string{
	func() string { return testSecret },
	func() string { return base64.StdEncoding.EncodeToString([]byte("shop:" + testSecret)) },
	func() string { return base64.URLEncoding.EncodeToString([]byte(testSecret)) },
	func() string { return percentEncode(testSecret) },
	func() string { return url.QueryEscape(testSecret) },
}

// rawRequest returns a request with a form of the secret, between before and after, in one place. place%9 selects the
// place, and an odd place/9 the at-most-once route instead of the other closed one. All but requests of the open route
// also carry the key as a proper credential.
func rawRequest(place, form byte, name, before, after string) string {
	secret := before + secretForms[int(form)%len(secretForms)]() + after
	path, header, trailer, credential := "/closed", "", "", "Authorization: Bearer "+testSecret+"\r\n"
	if place/9%2 == 1 {
		path = "/once"
	}
	body, length := "order", "Content-Length: 5\r\n"
	switch place % 9 {
	case 0:
		header = name + ": " + secret + "\r\n"
	case 1:
		path += "?" + name + "=" + secret
	case 2:
		path += "?" + secret + "=" + name
	case 3:
		trailer = name + ": " + secret + "\r\n"
	case 4:
		header = "X-Api-Key: other\r\n" + name + ": " + secret + "\r\n"
		credential = "X-Api-Key: " + testSecret + "\r\n"
	case 5:
		path += "/" + secret
	case 6:
		header = secret + ": " + name + "\r\n"
	case 7:
		path, credential = "/open?a=b&"+name+"="+secret, ""
	case 8:
		path, credential, header = "/open", "", name+": "+secret+"\r\n"
	}
	if trailer != "" {
		length = "Transfer-Encoding: chunked\r\nTrailer: " + name + "\r\n"
		body = "5\r\norder\r\n0\r\n" + trailer + "\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: i0\r\nConnection: close\r\n" + credential + header + length + "\r\n" + body
}

// FuzzNoKeyLeaves sends a key in many forms and places. None may reach a backend server, the log, an event or a
// response. Request bodies are not checked, because they are forwarded unchanged.
func FuzzNoKeyLeaves(f *testing.F) {
	names := []string{
		"Authorization", "authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie",
		"X-Forwarded-Authorization",
		"api_key", "key", "API_KEY", "access_token", "token", "Idempotency-Key", "Referer", "Trailer", "Connection",
	}
	for place := range byte(18) {
		for form := range byte(len(secretForms)) {
			for _, name := range names {
				f.Add(place, form, name, "", "")
			}
			f.Add(place, form, "Authorization", "Basic ", "")
			f.Add(place, form, "Cookie", "a=b; session=", "; c=d")
			f.Add(place, form, "X-Json", `{"key":"`, `"}`)
		}
	}
	f.Add(byte(3), byte(0), "0", "", "\x0e")   // the error of the body quotes a malformed trailer
	f.Add(byte(0), byte(3), "0", "", "\xda%0") // a malformed percent escape after valid ones
	f.Add(byte(0), byte(12), "0", "0", "")     // base64 text after another base64 digit
	env := newTestEnv(f)
	recorded := uint64(0)
	f.Fuzz(func(t *testing.T, place, form byte, name, before, after string) {
		response := env.exchange(t, rawRequest(place, form, name, before, after))
		seen, _ := env.backend.takeSeen()
		var events strings.Builder
		for _, e := range env.recorder.Events() {
			if e.Sequence > recorded {
				recorded = e.Sequence
				fmt.Fprintf(&events, "%+v\n", e)
			}
		}
		for where, text := range map[string]string{
			"backend": seen, "log": env.log.String(), "events": events.String(), "response": response,
		} {
			if found := leakForm(text); found != "" {
				t.Errorf("unexpected key in the %s, %s: %s", where, found, text)
			}
		}
		env.log.Reset()
	})
}

func TestAuthorizeReturnsRefusalCode(t *testing.T) {
	other := strings.Replace(testSecret, "Zm9v", "Zm9x", 1)
	basic := base64.StdEncoding.EncodeToString([]byte("shop:" + testSecret))
	for _, c := range []struct {
		name, path   string
		headers      []string
		disconnected bool
		want         string // refusal code; empty if the request is authorized
	}{
		{name: "bearer", path: "/closed", headers: []string{"Authorization: Bearer " + testSecret}},
		{name: "header name and scheme in mixed case", path: "/closed", headers: []string{"aUTHORIZATION: bEARER " + testSecret}},
		{name: "another scheme", path: "/closed", headers: []string{"Authorization: ApiKey " + testSecret}},
		{name: "basic", path: "/closed", headers: []string{"Authorization: Basic " + basic}},
		{name: "bare header", path: "/closed", headers: []string{"X-Api-Key: " + testSecret}},
		{name: "query", path: "/closed?api_key=" + testSecret},
		{name: "query parameter key", path: "/closed?key=" + testSecret},
		{name: "same key twice", path: "/closed?key=" + testSecret, headers: []string{"Api-Key: " + testSecret}},
		{name: "no key", path: "/closed", want: "bad-key"},
		{name: "unknown key", path: "/closed", headers: []string{"X-Api-Key: " + other}, want: "bad-key"},
		{
			name: "two keys", path: "/closed",
			headers: []string{"X-Api-Key: " + testSecret, "Authorization: Bearer " + other}, want: "several-keys",
		},
		{name: "key in the path", path: "/closed/" + testSecret, want: "misplaced-key"},
		{
			name: "key as idempotency key", path: "/closed",
			headers: []string{"X-Api-Key: " + testSecret, "Idempotency-Key: " + testSecret}, want: "misplaced-key",
		},
		{name: "no route", path: "/none", want: "no-route"},
		{name: "open", path: "/open"},
		{name: "open route with an unknown key", path: "/open", headers: []string{"X-Api-Key: " + other}},
		{
			name: "disconnected instance", path: "/closed", headers: []string{"X-Api-Key: " + testSecret},
			disconnected: true, want: "cut-off",
		},
		{name: "open route of a disconnected instance", path: "/open", disconnected: true},
	} {
		env := newTestEnv(t)
		env.setConnected(!c.disconnected)
		headers := strings.Join(append(c.headers, "Host: i0", "Connection: close", "", ""), "\r\n")
		response := env.exchange(t, "GET "+c.path+" HTTP/1.1\r\n"+headers)
		_, runs := env.backend.takeSeen()
		if c.want == "" {
			if runs != 1 || !strings.HasPrefix(response, "200") {
				t.Errorf("%s: unexpected response after %d runs: %s", c.name, runs, response)
			}
			continue
		}
		if runs != 0 || !strings.Contains(response, `"code":"`+c.want+`"`) ||
			!strings.Contains(response, `"outcome":"not-run"`) {
			t.Errorf("%s: unexpected response after %d runs instead of %s: %s", c.name, runs, c.want, response)
		}
	}
}

func TestKeyIsRecheckedBeforeSending(t *testing.T) {
	env := newTestEnv(t)
	q := &request{}
	req := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/closed", nil)
	req.Header.Set("X-Api-Key", testSecret)
	if err := env.handler.authorize(q, req); err != nil {
		t.Fatal(err)
	}
	if err := env.handler.recheckAuthorization(q); err != nil {
		t.Errorf("unexpected error for a valid key: %v", err)
	}
	env.setConnected(false)
	if code := outcome.RefusalFromError(env.handler.recheckAuthorization(q)).Code; code != "cut-off" {
		t.Errorf("unexpected code, got %s instead of cut-off", code)
	}
	env.setConnected(true)
	env.setRules(t)
	if code := outcome.RefusalFromError(env.handler.recheckAuthorization(q)).Code; code != "withdrawn-key" {
		t.Errorf("unexpected code, got %s instead of withdrawn-key", code)
	}
}

// BenchmarkAuthorize measures the CPU time for authorizing a request.
func BenchmarkAuthorize(b *testing.B) {
	env := newTestEnv(b)
	headers := http.Header{
		"Authorization": {"Bearer " + testSecret}, "Content-Type": {"application/json"}, "Accept": {"text/event-stream"},
		"User-Agent": {"shop/1.0 (till)"}, "X-Forwarded-For": {"10.1.2.3"},
		"Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"},
	}
	for b.Loop() {
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/closed"}, Header: headers.Clone()}
		if err := env.handler.authorize(&request{}, r); err != nil {
			b.Fatal(err)
		}
	}
}
