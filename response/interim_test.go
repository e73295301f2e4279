package response_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"teaselgate/response"
)

// countedConn counts the bytes that are read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements io.Reader.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// A server sends interim heads without end. The request must fail soon, without reading on.
func TestEndlessInterimHeadsAreGivenUp(t *testing.T) {
	const (
		tolerated = 1 << 20  // bytes read
		most      = 64 << 20 // bytes sent, so that a test that fails ends
	)
	for _, head := range []string{
		"HTTP/1.1 103 Early Hints\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 8<<10) + "\r\n\r\n",
	} {
		var read atomic.Int64
		transport := response.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return countedConn{conn, &read}, err
			},
		})
		address := acceptOne(t, func(conn net.Conn) {
			text := strings.Repeat(head, 1+(64<<10)/len(head))
			for total := 0; total < most; {
				n, err := io.WriteString(conn, text)
				if total += n; err != nil {
					return
				}
			}
		})
		if status, _, err := fetch(t, transport, address); err == nil {
			t.Errorf("endless interim heads are a response with status %d", status)
		}
		if read.Load() > tolerated {
			t.Errorf("%d bytes were read", read.Load())
		}
	}
}

// Interim heads before a response are skipped.
func TestInterimHeadsAreSkipped(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	server := serveTexts(t, strings.Repeat(interim, 20)+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext")
	transport := response.NewTransport(&http.Transport{})
	defer transport.CloseIdleConnections()
	if status, text, err := fetch(t, transport, server.Address); status != http.StatusOK || text != "text" || err != nil {
		t.Errorf("unexpected result, got status %d, %q and error %v", status, text, err)
	}
}

// acceptOne starts a server that reads the head of one request and then passes the connection to serve.
func acceptOne(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			serve(conn)
		}
	}()
	return listener.Addr().String()
}
