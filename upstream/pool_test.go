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
	"testing/synctest"
	"time"
)

const idHeader = "Id"

// scripted is a server that answers each connection's requests with prepared texts.
type scripted struct {
	answers []string // the next one for each request; empty closes the connection
	dialed  int
	read    []string // ids of the requests read
}

func (s *scripted) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	s.dialed++
	go func() {
		defer far.Close()
		reader := bufio.NewReader(far)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			s.read = append(s.read, req.Header.Get(idHeader))
			if len(s.answers) == 0 || s.answers[0] == "" {
				return
			}
			text := s.answers[0]
			s.answers = s.answers[1:]
			if _, err := io.WriteString(far, text); err != nil {
				return
			}
		}
	}()
	return near, nil
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func newTestPool(s *scripted) *Pool {
	p := NewPool()
	p.Dial = s.dial
	p.RequestID = func(h http.Header) string { return h.Get(idHeader) }
	return p
}

func (p *Pool) get(ctx context.Context, id string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://server/", strings.NewReader("body"))
	if err != nil {
		return "", err
	}
	req.Header.Set(idHeader, id)
	answer, err := p.Do(ctx, "server", id, req)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return string(text), err
}

func TestAnswersFindTheirRequests(t *testing.T) {
	cases := []struct {
		name    string
		answers []string
		ids     []string
		want    []string // "broken" for an error
		dialed  int
	}{
		{"kept connection", []string{reply("a", "A"), reply("b", "B")}, []string{"a", "b"}, []string{"A", "B"}, 1},
		{"late answer of another request", []string{reply("a", "A"), reply("z", "Z") + reply("b", "B")}, []string{"a", "b"}, []string{"A", "B"}, 1},
		{"another's answer on a new connection", []string{reply("z", "Z")}, []string{"a"}, []string{"broken"}, 1},
		{"closed without an answer", []string{reply("a", "A"), ""}, []string{"a", "b"}, []string{"A", "broken"}, 1},
		{"bytes after the answer", []string{reply("a", "A") + "junk", reply("b", "B")}, []string{"a", "b"}, []string{"A", "B"}, 2},
		{"cut answer", []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nA", ""}, []string{"a"}, []string{"broken"}, 1},
		{"no answer in the protocol", []string{"garbage\r\n\r\n"}, []string{"a"}, []string{"broken"}, 1},
		{"answer without an id on a new connection", []string{reply("", "A")}, []string{"a"}, []string{"A"}, 1},
		{"answer without an id on a kept connection", []string{reply("a", "A"), reply("", "B")}, []string{"a", "b"}, []string{"A", "broken"}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scripted{answers: c.answers}
				p := newTestPool(s)
				for n, id := range c.ids {
					ctx, stop := context.WithTimeout(t.Context(), time.Second)
					got, err := p.get(ctx, id)
					if err != nil {
						got = "broken"
					}
					if got != c.want[n] {
						t.Errorf("unexpected answer to %s, got %q with error %v instead of %q", id, got, err, c.want[n])
					}
					stop()
				}
				if s.dialed != c.dialed {
					t.Errorf("unexpected number of connections, got %d instead of %d", s.dialed, c.dialed)
				}
				p.Close()
			})
		})
	}
}

// A request that may have reached the server is never sent again by the pool itself.
func TestNothingIsSentTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{answers: []string{reply("a", "A"), ""}}
		p := newTestPool(s)
		if _, err := p.get(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		if _, err := p.get(t.Context(), "b"); !errors.Is(err, ErrNoResponse) {
			t.Errorf("unexpected error %v instead of %v", err, ErrNoResponse)
		}
		if got := strings.Join(s.read, " "); got != "a b" {
			t.Errorf("unexpected requests at the server, got %q", got)
		}
		p.Close()
	})
}

func TestIdleConnectionsEndBeforeTheServerClosesThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scripted{answers: []string{reply("a", "A"), reply("b", "B"), reply("c", "C")}}
		p := newTestPool(s)
		p.KeepAliveTimeout = func(http.Header) (time.Duration, bool) { return 3 * time.Second, true }
		for n, id := range []string{"a", "b", "c"} {
			if _, err := p.get(t.Context(), id); err != nil {
				t.Fatal(err)
			}
			<-time.After(time.Duration(n+1) * time.Second) // 1 s is within the server's 3 s less the margin, 2 s is not
		}
		if s.dialed != 2 {
			t.Errorf("unexpected number of connections, got %d instead of 2", s.dialed)
		}
		p.Prune()
		p.Close()
	})
}

func TestAnUnreachableServerHasSeenNothing(t *testing.T) {
	p := NewPool()
	p.Dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if _, err := p.get(t.Context(), "a"); !errors.Is(err, ErrNotSent) {
		t.Errorf("unexpected error %v instead of %v", err, ErrNotSent)
	}
}
