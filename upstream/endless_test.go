package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"teaselgate/standin/bubble"
)

// Amounts of bytes of servers in trouble.
const (
	endlessBytes  = 32 << 20 // sent at most, so that a test that fails ends
	toleratedRead = 1 << 20  // read at most before the exchange is given up
)

// A server sends bytes without end where a response should be, until the connection is closed. The request must fail soon
// and the bytes must not fill the memory.
func TestEndlessBytesAreGivenUp(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nId: z\r\n"
	cases := []struct{ name, first, start, repeated string }{
		{"status line", "", "", "x"},
		{"head of one line", "", "HTTP/1.1 200 OK\r\nJunk: ", "x"},
		{"head of many lines", "", "HTTP/1.1 200 OK\r\nId: b\r\n", "Junk: x\r\n"},
		{"head of a continued line", "", "HTTP/1.1 200 OK\r\nJunk: x\r\n", " x\r\n"},
		{"interim responses", "", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"body of a late response", responseText("a", "A"), late + "Content-Length: 1000000000\r\n\r\n", "x"},
		{"body of a late response in chunks", responseText("a", "A"), late + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
		{"size of a chunk", "", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		{"trailers", "", "HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Junk: x\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				sent := 0
				p := NewPool()
				p.RequestID = func(h http.Header) string { return h.Get(idHeader) }
				p.Dial = func(context.Context, string, string) (net.Conn, error) {
					client, server := net.Pipe()
					go serveEndless(server, c.first, c.start, c.repeated, &sent)
					return client, nil
				}
				ctx, stop := context.WithTimeout(t.Context(), time.Second)
				defer stop()
				if c.first != "" {
					if got, err := p.post(ctx, "a"); got != "A" {
						t.Fatalf("first response %q, error %v", got, err)
					}
				}
				start := time.Now()
				if got, err := p.post(ctx, "b"); err == nil {
					t.Errorf("endless bytes are the response %.20q", got)
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("given up after %v", took)
				}
				synctest.Wait()
				if sent > toleratedRead {
					t.Errorf("%d bytes were read", sent)
				}
				p.Close()
			})
		})
	}
}

// serveEndless responds to a first request, unless the response is empty, and to the next one with endless bytes.
func serveEndless(conn net.Conn, first, start, repeated string, sent *int) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if first != "" {
		if !readRequest(reader) {
			return
		}
		if _, err := io.WriteString(conn, first); err != nil {
			return
		}
	}
	if !readRequest(reader) {
		return
	}
	text := start + strings.Repeat(repeated, 4096)
	for *sent < endlessBytes {
		n, err := io.WriteString(conn, text)
		*sent += n
		if err != nil {
			return
		}
		text = strings.Repeat(repeated, 4096)
	}
	_, _ = io.Copy(io.Discard, reader) // waits until the other end closes
}

func readRequest(reader *bufio.Reader) bool {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}
