package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	sent     time.Time
	status   int
	whole    bool // whether the answer was complete
	body     string
	sealed   bool
	err      error
	finished time.Time
}

var lastAttempt atomic.Int64

// newAttemptID returns an id of a client attempt.
func newAttemptID() string { return fmt.Sprintf("9c41d07b%08x", lastAttempt.Add(1)) }

// dial opens a channel to an instance.
func dial(address string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second}
	return d.Dial("tcp", address) //nolint:noctx // the time-out bounds it
}

// send sends a request on a channel and reads the answer.
func send(conn net.Conn, reader *bufio.Reader, head string, limit time.Duration) answer {
	a := answer{sent: time.Now()}
	_ = conn.SetDeadline(a.sent.Add(limit))
	if _, a.err = io.WriteString(conn, head); a.err != nil {
		return a
	}
	method, _, _ := strings.Cut(head, " ")
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.finished = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("Response-Seal") != ""
	text, err := io.ReadAll(resp.Body)
	a.body, a.err, a.whole, a.finished = string(text), err, err == nil, time.Now()
	return a
}

// plainHead returns the head of a request without a body.
func plainHead(method, target, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		method, target, hostName, id, deadline.Milliseconds(), apiKey)
}

// streamHead returns the head of a request to the model, with a prompt of so many tokens and without a body.
func streamHead(id string, prompt int, deadline time.Duration) string {
	return fmt.Sprintf("POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel-Name: m\r\nToken-Count: %d,600\r\n"+
		"Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:%d\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n",
		hostName, id, prompt, prompt-1210, deadline.Milliseconds(), apiKey)
}
