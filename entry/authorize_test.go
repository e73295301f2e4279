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
	"teaselgate/cell"
	"teaselgate/config"
	"teaselgate/event"
	"teaselgate/outcome"
	"teaselgate/rule"
	"teaselgate/service"
)

const testSecret = "tg-Zm9vYmFyYmF6cXV4MDEyMzQ1Njc4OWFiY2RlZmdoaWo"

// backend records everything but the bodies that reach it.
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

func (b *backend) take() (seen string, runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen, runs = b.seen.String(), b.runs
	b.seen.Reset()
	b.runs = 0
	return seen, runs
}

// bench is an instance's handler before a recording backend server.
type bench struct {
	handler  *Handler
	backend  *backend
	caller   *httptest.Server
	log      *bytes.Buffer
	recorder *event.Recorder

	mu        sync.Mutex
	revision  *config.Revision
	connected bool
}

func (b *bench) setRules(t testing.TB, keys ...string) {
	t.Helper()
	var text strings.Builder
	text.WriteString("- {pool: p, duty: plain, slots: 9}   # marat: test\n" +
		"- {route: closed, path: /closed, pool: p}   # marat: test\n" +
		"- {route: once, path: /once, pool: p, calls: once}   # marat: test\n" +
		"- {route: open, path: /open, pool: p, open: yes}   # marat: test\n" +
		"- {account: shop, rate: 1000, burst: 1000}   # marat: test\n")
	for _, secret := range keys {
		fmt.Fprintf(&text, "- {key: %q, account: shop}   # marat: test\n", account.Hash(secret))
	}
	rules, problems := rule.Parse("test", []byte(text.String()))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision = &config.Revision{Number: 1, Rules: rules}
}

func (b *bench) setConnected(connected bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.connected = connected
}

func newBench(t testing.TB) *bench {
	b := &bench{backend: &backend{}, log: &bytes.Buffer{}, connected: true}
	b.setRules(t, testSecret)
	server := httptest.NewServer(b.backend)
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(b.log)
	log.SetLevel(logrus.DebugLevel)
	b.recorder = event.NewRecorder("i0", log)
	services := service.NewClient()
	t.Cleanup(services.Close)
	b.handler = newTestHandler(b, server.Listener.Addr().String(), services)
	b.caller = httptest.NewServer(b.handler)
	t.Cleanup(b.caller.Close)
	return b
}

func newTestHandler(b *bench, at string, services *service.Client) *Handler {
	return &Handler{
		Rules: func() *config.Revision {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.revision
		},
		Connected: func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.connected
		},
		Admit: func(context.Context, rule.Account, int64) (*allowance.Charge, time.Time, error) {
			return &allowance.Charge{}, time.Time{}, nil
		},
		PickServer:         func(string, []string) (rule.Server, error) { return rule.Server{Server: "s", At: at}, nil },
		ReportServerResult: func(string, time.Duration, cell.Result) {},
		Services:           services,
		RetryBudget:        outcome.NewDefaultRetryBudget(),
		Record:             b.recorder.Record,
		Now:                time.Now,
	}
}

// exchange sends raw bytes and returns the raw answer.
func (b *bench) exchange(t testing.TB, request string) string {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", b.caller.Listener.Addr().String())
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

// leaked tells in which form a text holds the secret. It looks for more than account.Take does.
func leaked(text string) string {
	lower := strings.ToLower(text)
	raw, encoded := testSecret, base64.StdEncoding.EncodeToString([]byte(testSecret))
	for name, form := range map[string]string{
		"plain":   raw,
		"base64":  encoded[:len(encoded)-4],
		"percent": url.QueryEscape(raw),
		"query":   hexPercent(raw),
	} {
		if strings.Contains(lower, strings.ToLower(form)) {
			return name
		}
	}
	for _, token := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" []:,;&?=\"", r) }) {
		decoded, _ := base64.RawStdEncoding.DecodeString(strings.TrimRight(token, "="))
		unescaped, _ := url.PathUnescape(token)
		if strings.Contains(string(decoded), raw) || strings.Contains(unescaped, raw) {
			return "coded in " + token
		}
	}
	return ""
}

func hexPercent(text string) string {
	var out strings.Builder
	for _, b := range []byte(text) {
		out.WriteString("%" + hex.EncodeToString([]byte{b}))
	}
	return out.String()
}

// forms are the ways in which the fuzzer writes the secret.
var forms = []func() string{
	func() string { return testSecret },
	func() string { return base64.StdEncoding.EncodeToString([]byte("shop:" + testSecret)) },
	func() string { return base64.URLEncoding.EncodeToString([]byte(testSecret)) },
	func() string { return hexPercent(testSecret) },
	func() string { return url.QueryEscape(testSecret) },
}

// rawRequest puts a form of the secret in one place of a request that shows the key properly, too.
func rawRequest(place, form byte, name, before, after string) string {
	secret := before + forms[int(form)%len(forms)]() + after
	path, header, trailer, own := "/closed", "", "", "Authorization: Bearer "+testSecret+"\r\n"
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
		own = "X-Api-Key: " + testSecret + "\r\n"
	case 5:
		path += "/" + secret
	case 6:
		header = secret + ": " + name + "\r\n"
	case 7:
		path, own = "/open?a=b&"+name+"="+secret, ""
	case 8:
		path, own, header = "/open", "", name+": "+secret+"\r\n"
	}
	if trailer != "" {
		length = "Transfer-Encoding: chunked\r\nTrailer: " + name + "\r\n"
		body = "5\r\norder\r\n0\r\n" + trailer + "\r\n"
	}
	return "POST " + path + " HTTP/1.1\r\nHost: i0\r\nConnection: close\r\n" + own + header + length + "\r\n" + body
}

// FuzzNoKeyLeaves sends a key in many forms and places: none may reach a backend server, the log,
// an event or an answer. The bodies are the callers' own and not looked at.
func FuzzNoKeyLeaves(f *testing.F) {
	names := []string{
		"Authorization", "authorization", "X-Api-Key", "Api-Key", "Proxy-Authorization", "Cookie", "X-Forwarded-Authorization",
		"api_key", "key", "API_KEY", "access_token", "token", "Idempotency-Key", "Referer", "Trailer", "Connection",
	}
	for place := range byte(18) {
		for form := range byte(len(forms)) {
			for _, name := range names {
				f.Add(place, form, name, "", "")
			}
			f.Add(place, form, "Authorization", "Basic ", "")
			f.Add(place, form, "Cookie", "a=b; session=", "; c=d")
			f.Add(place, form, "X-Json", `{"key":"`, `"}`)
		}
	}
	f.Add(byte(3), byte(0), "0", "", "\x0e")   // a malformed trailer is quoted in the error of the body
	f.Add(byte(0), byte(3), "0", "", "\xda%0") // a malformed percent code behind well-formed ones
	f.Add(byte(0), byte(12), "0", "0", "")     // base64 behind another digit of it
	b := newBench(f)
	recorded := uint64(0)
	f.Fuzz(func(t *testing.T, place, form byte, name, before, after string) {
		answer := b.exchange(t, rawRequest(place, form, name, before, after))
		seen, _ := b.backend.take()
		var events strings.Builder
		for _, e := range b.recorder.Events() {
			if e.Sequence > recorded {
				recorded = e.Sequence
				fmt.Fprintf(&events, "%+v\n", e)
			}
		}
		for where, text := range map[string]string{"backend": seen, "log": b.log.String(), "events": events.String(), "answer": answer} {
			if how := leaked(text); how != "" {
				t.Errorf("unexpected key at the %s, %s: %s", where, how, text)
			}
		}
		b.log.Reset()
	})
}

func TestAuthorizeTellsWhy(t *testing.T) {
	other := strings.Replace(testSecret, "Zm9v", "Zm9x", 1)
	basic := base64.StdEncoding.EncodeToString([]byte("shop:" + testSecret))
	for _, c := range []struct {
		name, path string
		headers    []string
		cutOff     bool
		want       string // code of the refusal, or empty
	}{
		{name: "bearer", path: "/closed", headers: []string{"Authorization: Bearer " + testSecret}},
		{name: "any case", path: "/closed", headers: []string{"aUTHORIZATION: bEARER " + testSecret}},
		{name: "another scheme", path: "/closed", headers: []string{"Authorization: ApiKey " + testSecret}},
		{name: "basic", path: "/closed", headers: []string{"Authorization: Basic " + basic}},
		{name: "bare header", path: "/closed", headers: []string{"X-Api-Key: " + testSecret}},
		{name: "query", path: "/closed?api_key=" + testSecret},
		{name: "short query", path: "/closed?key=" + testSecret},
		{name: "same key twice", path: "/closed?key=" + testSecret, headers: []string{"Api-Key: " + testSecret}},
		{name: "no key", path: "/closed", want: "bad-key"},
		{name: "unknown key", path: "/closed", headers: []string{"X-Api-Key: " + other}, want: "bad-key"},
		{name: "two keys", path: "/closed", headers: []string{"X-Api-Key: " + testSecret, "Authorization: Bearer " + other}, want: "several-keys"},
		{name: "key in the path", path: "/closed/" + testSecret, want: "misplaced-key"},
		{name: "key as idempotency key", path: "/closed", headers: []string{"X-Api-Key: " + testSecret, "Idempotency-Key: " + testSecret}, want: "misplaced-key"},
		{name: "no route", path: "/none", want: "no-route"},
		{name: "open", path: "/open"},
		{name: "open with an unknown key", path: "/open", headers: []string{"X-Api-Key: " + other}},
		{name: "cut off", path: "/closed", headers: []string{"X-Api-Key: " + testSecret}, cutOff: true, want: "cut-off"},
		{name: "open while cut off", path: "/open", cutOff: true},
	} {
		b := newBench(t)
		b.setConnected(!c.cutOff)
		headers := strings.Join(append(c.headers, "Host: i0", "Connection: close", "", ""), "\r\n")
		answer := b.exchange(t, "GET "+c.path+" HTTP/1.1\r\n"+headers)
		_, runs := b.backend.take()
		if c.want == "" {
			if runs != 1 || !strings.HasPrefix(answer, "200") {
				t.Errorf("%s: unexpected answer after %d runs: %s", c.name, runs, answer)
			}
			continue
		}
		if runs != 0 || !strings.Contains(answer, `"code":"`+c.want+`"`) || !strings.Contains(answer, `"outcome":"not-run"`) {
			t.Errorf("%s: unexpected answer after %d runs instead of %s: %s", c.name, runs, c.want, answer)
		}
	}
}

func TestKeyIsCheckedAgainBeforeDispatch(t *testing.T) {
	b := newBench(t)
	c := &call{}
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/closed", nil)
	request.Header.Set("X-Api-Key", testSecret)
	if err := b.handler.authorize(c, request); err != nil {
		t.Fatal(err)
	}
	if err := b.handler.checkAlive(c); err != nil {
		t.Errorf("unexpected error of a good key: %v", err)
	}
	b.setConnected(false)
	if code := outcome.RefusalFromError(b.handler.checkAlive(c)).Code; code != "cut-off" {
		t.Errorf("unexpected code, got %s instead of cut-off", code)
	}
	b.setConnected(true)
	b.setRules(t)
	if code := outcome.RefusalFromError(b.handler.checkAlive(c)).Code; code != "withdrawn-key" {
		t.Errorf("unexpected code, got %s instead of withdrawn-key", code)
	}
}

// BenchmarkAuthorize measures the processor time that a request's key takes.
func BenchmarkAuthorize(b *testing.B) {
	bench := newBench(b)
	headers := http.Header{
		"Authorization": {"Bearer " + testSecret}, "Content-Type": {"application/json"}, "Accept": {"text/event-stream"},
		"User-Agent": {"shop/1.0 (till)"}, "X-Forwarded-For": {"10.1.2.3"}, "Traceparent": {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"},
	}
	for b.Loop() {
		r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/closed"}, Header: headers.Clone()}
		if err := bench.handler.authorize(&call{}, r); err != nil {
			b.Fatal(err)
		}
	}
}
