package engine_test

import (
	"context"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"teaselgate/engine"
	"teaselgate/rule"
	standengine "teaselgate/standin/engine"
)

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkPollEngine measures what a dispatcher's and a sweeper's questions to an engine with 20 requests cost, both
// ends in one process; bytes are those of HTTP, both ways, without TCP.
func BenchmarkPollEngine(b *testing.B) {
	e := standengine.NewEngine("d0", rule.Prefill)
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	var bytes atomic.Int64
	client := engine.NewClient()
	defer client.Close()
	dial := client.Dial
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}
	at := server.Listener.Addr().String()
	e.KVLife = 1 << 40
	for n := range 20 {
		m := engine.PrefillRequest{Attempt: "0123456789abcdef01234567-" + string(rune('a'+n)), Owner: "i12-1796331234567890123", Prompt: "p"}
		if _, err := client.Prefill(b.Context(), at, m); err != nil {
			b.Fatal(err)
		}
	}
	questions := map[string]func() error{
		"load":     func() error { _, err := client.Load(b.Context(), at); return err },
		"requests": func() error { _, err := client.Requests(b.Context(), at, ""); return err },
		"events":   func() error { _, err := client.CacheEvents(b.Context(), at, 0); return err },
	}
	for name, ask := range questions {
		b.Run(name, func(b *testing.B) {
			before, n := bytes.Load(), 0
			for b.Loop() {
				if err := ask(); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(n), "wire-B/op")
		})
	}
}
