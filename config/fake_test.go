package config

import (
	"crypto/ed25519"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"teaselgate/account"
	"teaselgate/platform"
	"teaselgate/rule"
	standin "teaselgate/standin/platform"
)

const testToken = "test"

var errConnectionCut = errors.New("config: connection cut")

// handlerTransport passes HTTP requests to the stand-in's handler without a network, so that tests can run in fake time.
type handlerTransport struct {
	handler http.Handler
	isCut   func() bool // reports whether the connection to the platform is cut
}

// RoundTrip implements http.RoundTripper.
func (t *handlerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.isCut() {
		return nil, errConnectionCut
	}
	done := make(chan *http.Response, 1)
	go func() {
		defer func() {
			if recover() != nil {
				done <- nil
			}
		}()
		w := httptest.NewRecorder()
		t.handler.ServeHTTP(w, req)
		done <- w.Result()
	}()
	select {
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case resp := <-done:
		if resp == nil {
			return nil, errConnectionCut
		}
		return resp, nil
	}
}

func newPlatformStandIn() *standin.Server { return standin.NewServer(testToken) }

func newPlatformClient(server *standin.Server, isCut func() bool) *platform.Client {
	transport := &handlerTransport{handler: server.Handler(), isCut: isCut}
	return &platform.Client{Base: "http://platform", Token: testToken, HTTP: &http.Client{Transport: transport}}
}

func neverCut() bool { return false }

// operatorPrivateKey derives the private key of an operator from the name.
func operatorPrivateKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func operatorLine(name string) string {
	return fmt.Sprintf("- {operator: %s, key: %q}   # marat: test\n", name, account.FormatPublicKey(operatorPrivateKey(name)))
}

// guardedRules returns a rules file with three operators and the given lines. Change rules require one approval for
// keys, operators and change rules, and none for accounts; other kinds have no change rule.
func guardedRules(lines ...string) string {
	text := operatorLine("aigerim") + operatorLine("marat") + operatorLine("olga") +
		"- {change: change, by: [aigerim, marat], approvals: 1}   # marat: test\n" +
		"- {change: operator, by: [aigerim, marat], approvals: 1}   # marat: test\n" +
		"- {change: key, by: [aigerim, marat, olga], approvals: 1}   # marat: test\n" +
		"- {change: account, by: [aigerim], approvals: 0}   # marat: test\n"
	return text + strings.Join(lines, "")
}

func accountLine(name string, rate int) string {
	return fmt.Sprintf("- {account: %s, rate: %d, burst: 10}   # marat: test\n", name, rate)
}

func keyLine(secret, accountName string) string {
	return fmt.Sprintf("- {key: %q, account: %s}   # marat: test\n", account.Hash(secret), accountName)
}

func poolLine(name string, slots int) string {
	return fmt.Sprintf("- {pool: %s, duty: plain, slots: %d}   # marat: test\n", name, slots)
}

func mustParse(t testing.TB, text string) *rule.Set {
	t.Helper()
	set, problems := rule.Parse("test.yaml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return set
}

func mustApply(t testing.TB, client *platform.Client, r ChangeRequest) Result {
	t.Helper()
	result, err := NewWriter(client).Apply(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// writeHookTransport calls a hook after each successful write to the platform. If the hook returns an error, the
// response is lost.
type writeHookTransport struct {
	next       http.RoundTripper
	afterWrite func(path string) error
}

// RoundTrip implements http.RoundTripper.
func (t *writeHookTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil || !isWrite(req) || resp.StatusCode != http.StatusOK {
		return resp, err
	}
	if err := t.afterWrite(req.URL.Path); err != nil {
		return nil, err
	}
	return resp, nil
}

// isWrite reports whether a request stores an object: a new one by POST, a new version by PUT.
func isWrite(req *http.Request) bool {
	return req.Method == http.MethodPut || req.Method == http.MethodPost
}

// sleep waits in the fake time of a test.
func sleep(d time.Duration) { <-time.After(d) }
