package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

const idHeader = "Id"

// scriptedServer is a server that sends prepared responses, whatever the requests are.
type scriptedServer struct {
	responses  []string // one for each request, in order; an empty one closes the connection
	dials      int
	requestIDs []string // IDs of the requests received
}

// dial opens a connection to the server.
func (s *scriptedServer) dial(context.Context, string, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	s.dials++
	go func() {
		defer serverConn.Close()
		reader := bufio.NewReader(serverConn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			s.requestIDs = append(s.requestIDs, req.Header.Get(idHeader))
			if len(s.responses) == 0 || s.responses[0] == "" {
				return
			}
			text := s.responses[0]
			s.responses = s.responses[1:]
			if _, err := io.WriteString(serverConn, text); err != nil {
				return
			}
		}
	}()
	return clientConn, nil
}

// responseText returns an HTTP response to the request with the given ID. The body has at most nine bytes.
func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newTestPool(s *scriptedServer) *Pool {
	p := NewPool()
	p.Dial = s.dial
	p.RequestID = func(h http.Header) string { return h.Get(idHeader) }
	return p
}

// post sends a request with the given ID and returns the body of the response.
func (p *Pool) post(ctx context.Context, id string) (string, error) {
	return p.postBody(ctx, id, "body")
}

// postBody sends a request with the given ID and body, and returns the body of the response.
func (p *Pool) postBody(ctx context.Context, id, body string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://server/", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set(idHeader, id)
	resp, err := p.Do(ctx, "server", id, req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func TestPoolMatchesResponsesToRequests(t *testing.T) {
	cases := []struct {
		name      string
		responses []string
		ids       []string
		want      []string // body of each response, or "broken" for an error
		dials     int
	}{
		{
			"reused connection",
			[]string{responseText("a", "A"), responseText("b", "B")},
			[]string{"a", "b"},
			[]string{"A", "B"},
			1,
		},
		{
			"late response to another request",
			[]string{responseText("a", "A"), responseText("z", "Z") + responseText("b", "B")},
			[]string{"a", "b"},
			[]string{"A", "B"},
			1,
		},
		{
			"response to another request on a new connection",
			[]string{responseText("z", "Z")},
			[]string{"a"},
			[]string{"broken"},
			1,
		},
		{
			"connection closed without a response",
			[]string{responseText("a", "A"), ""},
			[]string{"a", "b"},
			[]string{"A", "broken"},
			1,
		},
		{
			"extra bytes after the response",
			[]string{responseText("a", "A") + "junk", responseText("b", "B")},
			[]string{"a", "b"},
			[]string{"A", "B"},
			2,
		},
		{
			"interim responses before the response",
			[]string{
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: z\r\n\r\n" + responseText("a", "A"),
				responseText("b", "B"),
			},
			[]string{"a", "b"},
			[]string{"A", "B"},
			1,
		},
		{
			"extra bytes after the end of a chunked response",
			[]string{
				"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n" + responseText("b", "old"),
				responseText("b", "B"),
			},
			[]string{"a", "b"},
			[]string{"A", "B"},
			2,
		},
		{
			"truncated response",
			[]string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nA", ""},
			[]string{"a"},
			[]string{"broken"},
			1,
		},
		{"not an HTTP response", []string{"garbage\r\n\r\n"}, []string{"a"}, []string{"broken"}, 1},
		{
			"response without an ID on a new connection",
			[]string{responseText("", "A")},
			[]string{"a"},
			[]string{"A"},
			1,
		},
		{
			"response without an ID on a reused connection",
			[]string{responseText("a", "A"), responseText("", "B")},
			[]string{"a", "b"},
			[]string{"A", "broken"},
			1,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := &scriptedServer{responses: c.responses}
				p := newTestPool(s)
				for n, id := range c.ids {
					ctx, stop := context.WithTimeout(t.Context(), time.Second)
					got, err := p.post(ctx, id)
					if err != nil {
						got = "broken"
					}
					if got != c.want[n] {
						t.Errorf("unexpected response to %s, got %q with error %v instead of %q", id, got, err, c.want[n])
					}
					stop()
				}
				if s.dials != c.dials {
					t.Errorf("unexpected number of connections, got %d instead of %d", s.dials, c.dials)
				}
				p.Close()
			})
		})
	}
}

// The pool must not resend a request that may have reached the server, even if the server closed a reused connection.
func TestPoolNeverResendsRequest(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &scriptedServer{responses: []string{responseText("a", "A"), ""}}
		p := newTestPool(s)
		if _, err := p.post(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		if _, err := p.post(t.Context(), "b"); !errors.Is(err, ErrNoResponse) {
			t.Errorf("unexpected error %v instead of %v", err, ErrNoResponse)
		}
		if got := strings.Join(s.requestIDs, " "); got != "a b" {
			t.Errorf("unexpected requests at the server, got %q instead of \"a b\"", got)
		}
		p.Close()
	})
}

func TestIdleConnectionsCloseBeforeServerTimeout(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &scriptedServer{responses: []string{responseText("a", "A"), responseText("b", "B"), responseText("c", "C")}}
		p := newTestPool(s)
		p.KeepAliveTimeout = func(http.Header) (time.Duration, bool) { return 3 * time.Second, true }
		for n, id := range []string{"a", "b", "c"} {
			if _, err := p.post(t.Context(), id); err != nil {
				t.Fatal(err)
			}
			<-time.After(time.Duration(n+1) * time.Second) // idle for 1 s, 2 s, 3 s; 3 s less the margin is 1.5 s
		}
		if s.dials != 2 {
			t.Errorf("unexpected number of connections, got %d instead of 2", s.dials)
		}
		p.Prune()
		p.Close()
	})
}

func TestUnreachableServerReturnsErrNotSent(t *testing.T) {
	p := NewPool()
	p.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if _, err := p.post(t.Context(), "a"); !errors.Is(err, ErrNotSent) {
		t.Errorf("unexpected error %v instead of %v", err, ErrNotSent)
	}
}

// A server sends a second copy of each response after a delay: between two requests, after the head of the next one, or
// while that is being answered. No request gets the response to another one.
func TestDelayedCopiesReachNoOtherRequest(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
		bubble.Test(t, func(t *testing.T) {
			p := NewPool()
			p.RequestID = func(h http.Header) string { return h.Get(idHeader) }
			p.Dial = func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go serveCopies(server, delay)
				return client, nil
			}
			for n := range 40 {
				id := string(rune('A' + n/2%7)) // each ID is used twice in a row, and again later
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				want := id + string(rune('0'+n%10))
				got, err := p.postBody(ctx, id, want)
				if err == nil && got != want {
					t.Errorf("delay %v: unexpected response to request %d, got %q instead of %q", delay, n, got, want)
				}
				stop()
				<-time.After(time.Duration(n%5) * 17 * time.Millisecond)
			}
			p.Close()
		})
	}
}

// serveCopies responds to each request with its ID and body, 20 ms later, and again after a delay.
func serveCopies(conn net.Conn, delay time.Duration) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		text := responseText(req.Header.Get(idHeader), string(body))
		<-time.After(20 * time.Millisecond)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.AfterFunc(delay, func() { _, _ = io.WriteString(conn, text) })
	}
}
