package response_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"teaselgate/response"
	"teaselgate/socket"
	"teaselgate/standin/wire"
)

// lateEnd is a connection that the other end has ended while a request is written to it: its end is returned afterwards.
type lateEnd struct {
	net.Conn
	ended   chan struct{} // closed when the other end has ended the connection
	written chan struct{} // closed when something was written after that
	write   sync.Once
}

// Read implements io.Reader.
func (c *lateEnd) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		close(c.ended)
		select {
		case <-c.written:
		case <-time.After(5 * time.Second):
		}
	}
	return n, err
}

// Write implements io.Writer.
func (c *lateEnd) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	select {
	case <-c.ended:
		c.write.Do(func() { close(c.written) })
	default:
	}
	return n, err
}

// A server ends an idle connection just before the next request is written to it. net/http repeats an idempotent request.
func TestIdempotentRequestIsRepeatedAfterTheEndOfAnIdleConnection(t *testing.T) {
	server := wire.NewServer(t, func(n int64, _ *http.Request) wire.Answer {
		text := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"
		if n == 1 {
			return wire.Answer{Text: text, End: wire.HalfEnd}
		}
		return wire.Answer{Text: text, End: wire.Keep}
	})
	first := &lateEnd{ended: make(chan struct{}), written: make(chan struct{})}
	dials := 0
	transport := response.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := socket.NewDialer().DialContext(ctx, network, address)
			if dials++; dials > 1 || err != nil {
				return conn, err
			}
			first.Conn = conn
			return first, nil
		},
	})
	defer transport.CloseIdleConnections()
	for n := range 2 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Address+"/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatalf("unexpected error %v of request %d", err, n)
		}
		if _, err := io.ReadAll(resp.Body); err != nil {
			t.Errorf("unexpected error %v of the body", err)
		}
		resp.Body.Close()
		<-first.ended
	}
	if dials != 2 {
		t.Errorf("%d connections were opened instead of 2", dials)
	}
}
