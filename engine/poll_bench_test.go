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

// countingConn counts the bytes that are read from and written to a connection.
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

// BenchmarkPollEngine measures the calls with which a dispatcher and a sweeper poll an engine that has 20 requests.
// Both ends run in one process. wire-B/op counts the bytes of HTTP in both directions, without TCP headers.
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
	address := server.Listener.Addr().String()
	e.KVLifetime = 1 << 40 // some 18 minutes, longer than the benchmark runs
	for n := range 20 {
		req := engine.PrefillRequest{Attempt: "0123456789abcdef01234567-" + string(rune('a'+n)), Owner: "i12-1796331234567890123", Prompt: "p"}
		if _, err := client.Prefill(b.Context(), address, req); err != nil {
			b.Fatal(err)
		}
	}
	calls := map[string]func() error{
		"load":     func() error { _, err := client.Load(b.Context(), address); return err },
		"requests": func() error { _, err := client.Requests(b.Context(), address, ""); return err },
		"events":   func() error { _, err := client.CacheEvents(b.Context(), address, 0); return err },
	}
	for name, call := range calls {
		b.Run(name, func(b *testing.B) {
			before, n := bytes.Load(), 0
			for b.Loop() {
				if err := call(); err != nil {
					b.Fatal(err)
				}
				n++
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(n), "wire-B/op")
		})
	}
}
