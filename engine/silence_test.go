package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

// pipeClient returns a client whose connections are served by a handler, in memory.
func pipeClient(handler http.HandlerFunc) *Client {
	c := NewClient()
	c.Dial = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go func() {
			_ = (&http.Server{Handler: handler}).Serve(&oneConn{conn: serverConn, done: make(chan struct{})})
		}()
		return clientConn, nil
	}
	return c
}

// oneConn is a listener that accepts one connection.
type oneConn struct {
	conn net.Conn
	done chan struct{}
}

// Accept implements net.Listener.
func (l *oneConn) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close implements net.Listener.
func (l *oneConn) Close() error { return nil }

// Addr implements net.Listener.
func (l *oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// sendEach writes a text at each interval until the connection is closed or limit texts are sent.
func sendEach(w http.ResponseWriter, interval time.Duration, limit int, text func(n int) string) {
	for n := range limit {
		<-time.After(interval)
		if _, err := io.WriteString(w, text(n)); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func chunkText(n int, attempt string, done bool) string {
	return fmt.Sprintf("data: {\"attempt\":%q,\"index\":%d,\"done\":%v}\n\n", attempt, n, done)
}

// A slow but sound stream must not be cut, and one that is stuck must end in bounded time, also if the engine sends a
// byte, a comment or a piece of the head now and then.
func TestSlowStreamsGoOnAndStalledOnesEnd(t *testing.T) {
	const tokens = 60
	cases := []struct {
		name   string
		engine http.HandlerFunc
		whole  bool
	}{
		{"a token just before each timeout", func(w http.ResponseWriter, _ *http.Request) {
			sendEach(w, silenceTimeout*9/10, tokens+1, func(n int) string { return chunkText(n, "a", n == tokens) })
		}, true},
		{"a byte each second", func(w http.ResponseWriter, _ *http.Request) {
			sendEach(w, time.Second, 1<<20, func(int) string { return "d" })
		}, false},
		{"empty lines only", func(w http.ResponseWriter, _ *http.Request) {
			sendEach(w, time.Second, 1<<20, func(int) string { return "\n" })
		}, false},
		{"comments after a token", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, chunkText(0, "a", false))
			sendEach(w, time.Second, 1<<20, func(int) string { return ": still here\n\n" })
		}, false},
		{"no head", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				client := pipeClient(c.engine)
				defer client.Close()
				ctx, stop := context.WithTimeout(t.Context(), time.Hour)
				defer stop()
				start := time.Now()
				err := client.Decode(ctx, "engine", DecodeRequest{Attempt: "a", MaxTokens: tokens}, func(Chunk) error { return nil })
				took := time.Since(start)
				client.Close()
				<-time.After(2 * time.Second) // the engine notices the end of the connection at its next write
				if c.whole && err != nil {
					t.Errorf("a sound stream was cut after %v: %v", took, err)
				}
				if !c.whole && (!errors.Is(err, ErrIncomplete) || took > 2*silenceTimeout) {
					t.Errorf("a stalled stream ended after %v with %v, want an error within %v", took, err, 2*silenceTimeout)
				}
			})
		})
	}
}
