package limit

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"teaselgate/standin/bubble"
)

// net/http reads on while a request is served, to notice that its caller disconnects. If this read began before the handler,
// it got the deadline of a head, and a request that lasted longer was cut without an answer.
func TestDeadlineOfAHeadEndsWithTheHead(t *testing.T) {
	const headTimeout, work = 2 * time.Second, 9 * time.Second
	requests := map[string]string{
		"without a body":    "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"with length 0":     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
		"with a body":       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
		"in parts":          "GET / HTTP/1.1\r\nHo|st: a\r\n\r\n",
		"with a slow head":  "GET / HTTP/1.1\r\nHost: a\r\n||||||||||||||||||\r\n",
		"with a late start": "||||||||||||||||||GET / HTTP/1.1\r\nHost: a\r\n\r\n",
	}
	for name, text := range requests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body)
					select {
					case <-r.Context().Done():
						t.Error("the request was cut")
					case <-time.After(work):
						w.WriteHeader(http.StatusNoContent)
					}
				})
				s.listener.HeadTimeout = func() time.Duration { return headTimeout }
				s.listener.IdleTimeout = func() time.Duration { return headTimeout }
				next := s.server.Handler
				s.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					sleep(time.Millisecond) // the background read begins
					next.ServeHTTP(w, r)
				})
				conn := s.dial()
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for n := range 3 { // on a new connection, and on a kept one
					sendInParts(conn, text)
					if !readNoContent(reader) {
						t.Fatalf("no answer to request %d", n)
					}
				}
			})
		})
	}
}

// sendInParts writes a text and waits for a while at each bar.
func sendInParts(conn io.Writer, text string) {
	for _, c := range text {
		if c == '|' {
			sleep(100 * time.Millisecond)
			continue
		}
		fmt.Fprint(conn, string(c))
	}
}

// A refusal before the handler, or one by net/http, has its own time to be written, and not the rest of that for the answer
// before it on the connection.
func TestDeadlineOfAnAnswerEndsWithTheAnswer(t *testing.T) {
	refused := map[string]struct {
		request string
		status  int
	}{
		"malformed":      {"GET / HTTP/1.1\r\nHost: a\r\nbad\r\n\r\n", http.StatusBadRequest},
		"body too large": {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", http.StatusRequestEntityTooLarge},
	}
	for name, test := range refused {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := startServer(t, limits, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
				conn := s.dial()
				defer conn.Close()
				reader := bufio.NewReader(conn)
				fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
				if !readNoContent(reader) {
					t.Fatal("no answer to the first request")
				}
				sleep(2 * limits.Stall)
				fmt.Fprint(conn, test.request)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatalf("no answer to the second request: %v", err)
				}
				defer resp.Body.Close()
				if resp.StatusCode != test.status {
					t.Errorf("unexpected status %d instead of %d", resp.StatusCode, test.status)
				}
			})
		})
	}
}
