package service

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startRawServer starts a TCP server that reads a request from each connection and then passes the connection to
// handle. It returns the server's address and the number of requests read.
func startRawServer(t *testing.T, handle func(net.Conn)) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && req.ProtoMajor == 1 {
				_, _ = io.Copy(io.Discard, req.Body)
				requests.Add(1)
				handle(conn)
			}
			conn.Close()
		}
	}()
	t.Cleanup(func() {
		listener.Close()
		<-done
	})
	return listener.Addr().String(), requests
}

// newKeyedRequest returns a POST request with an idempotency key.
func newKeyedRequest(address string) *http.Request {
	return &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: address, Path: "/orders"},
		Header:        http.Header{"Idempotency-Key": {"wedding"}},
		Body:          io.NopCloser(strings.NewReader("lamb")),
		ContentLength: 4,
	}
}

func TestConnNeverRepeatsRequest(t *testing.T) {
	faults := map[string]func(net.Conn){
		"closed before the response": func(net.Conn) {},
		"reset before the response":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"incomplete header":          func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le") },
		"not HTTP":                   func(c net.Conn) { _, _ = io.WriteString(c, "SSH-2.0\r\n\r\n") },
		"HTTP/2 settings":            func(c net.Conn) { _, _ = io.WriteString(c, "\x00\x00\x00\x04\x00\x00\x00\x00\x00") },
		"no response":                func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			address, requests := startRawServer(t, fault)
			client := NewClient()
			client.ResponseTimeout = 50 * time.Millisecond
			defer client.Close()
			conn, err := client.Open(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			for range 3 {
				resp, err := conn.Send(t.Context(), newKeyedRequest(address))
				if err == nil {
					resp.Body.Close()
				}
				if !errors.Is(err, ErrIncomplete) {
					t.Errorf("unexpected error, got %v instead of %v", err, ErrIncomplete)
				}
			}
			if n := requests.Load(); n != 1 {
				t.Errorf("unexpected number of requests, got %d instead of 1", n)
			}
		})
	}
}

func TestFailedDialReturnsErrUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	client := NewClient()
	if _, err := client.Open(t.Context(), address); !errors.Is(err, ErrUnreachable) {
		t.Errorf("unexpected error of Open, got %v instead of %v", err, ErrUnreachable)
	}
	resp, err := client.Do(t.Context(), newKeyedRequest(address))
	if err == nil {
		resp.Body.Close()
	}
	if !errors.Is(err, ErrUnreachable) {
		t.Errorf("unexpected error of Do, got %v instead of %v", err, ErrUnreachable)
	}
}
