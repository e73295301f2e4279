package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Names and figures of the deployment.
const (
	host       = "ficu95.example"
	key        = "3d3zji9n73hh2b9wu3fe"
	account    = "huka270"
	modelName  = "kasap-lm"
	plainName  = "shopfront"
	graceTime  = 8 * time.Second        // graceS
	lossSlack  = 200 * time.Millisecond // lossSlackMs
	maxCutKept = 3                      // requests from kept channels that a machine may pass on and leave without an answer
)

// manifest returns the operator's configuration with routes.
func manifest(routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": 7,
		"routes":  routes,
		"services": []any{
			map[string]any{
				"name": modelName, "healthPath": "/health", "maxConnections": 310, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 2, "kvCapacityTokens": 32546, "kvTokenBytes": 18432, "linkMbps": 180000, "moves": false,
					"stride": 1, "most": 12, "kvHoldS": 0.5, "roleSwitchS": 6, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainName, "healthPath": "/health", "maxConnections": 1000, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{
			"name": account, "apiKeys": []any{key}, "priority": 1, "unit": "tokens", "plainTokens": 200,
			"ratePerS": 0, "burst": 0,
		}},
	}
}

// route returns a route to a plain service.
func route(name, prefix, kind string, timeout, target time.Duration) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": target.Milliseconds(), "priority": 1, "service": plainName, "maxAttempts": 1, "public": false,
		"sticky": false, "resumable": false,
	}
}

// call is a request of a caller, and what came back.
type call struct {
	id     string
	sent   time.Time // when its last byte was sent
	ended  time.Time // when the answer or the connection ended
	status int       // 0 if no head of an answer came
	answer string    // id of the request that the answer belongs to, as it says
	body   string    // as far as it came
	err    error     // why the answer is not complete; nil if it is
}

// took returns the time from the last byte of the request to the end of the answer or the connection.
func (c *call) took() time.Duration { return c.ended.Sub(c.sent) }

// wasCut reports whether the instance ended the connection without a complete answer.
func (c *call) wasCut() bool {
	var timeout net.Error
	return c.err != nil && !(errors.As(c.err, &timeout) && timeout.Timeout())
}

func (c *call) String() string {
	what := "answered"
	if c.err != nil {
		what = "not answered (" + c.err.Error() + ")"
	}
	return fmt.Sprintf("%s %s with status %d and %d bytes, %.3f s after its last byte was sent",
		c.id, what, c.status, len(c.body), c.took().Seconds())
}

// caller is a connection of a caller.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(address string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &caller{conn, bufio.NewReader(conn)}, nil
}

// send sends a whole request with a body, which may be empty.
func (c *caller) send(method, target, id string, budget time.Duration, headers, body string) (*call, error) {
	return c.sendWithKey(key, method, target, id, budget, headers, body)
}

// sendWithKey is send for a caller with a key of its own.
func (c *caller) sendWithKey(key, method, target, id string, budget time.Duration, headers, body string) (*call, error) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s",
		method, target, host, id, budget.Milliseconds(), key, headers)
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	_, err := io.WriteString(c.conn, text.String())
	return &call{id: id, sent: time.Now()}, err
}

// receive reads the answer to a call, up to a time.
func (c *caller) receive(out *call, method string, until time.Time) {
	_ = c.conn.SetReadDeadline(until)
	defer func() { out.ended = time.Now() }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		out.err = err
		return
	}
	defer resp.Body.Close()
	out.status, out.answer = resp.StatusCode, resp.Header.Get("Attempt-Id")
	body, err := io.ReadAll(resp.Body)
	out.body, out.err = string(body), err
}
