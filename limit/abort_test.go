package limit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"teaselgate/event"
)

// A handler breaks off its response. The caller must see that, also one of HTTP/1.0, for whom a response without a length
// ends with the connection.
func TestCallersSeeThatAResponseIsBrokenOff(t *testing.T) {
	for _, version := range []string{"1.0", "1.1"} {
		for name, breakOff := range map[string]bool{"broken off": true, "whole": false} {
			t.Run(version+" "+name, func(t *testing.T) {
				address := serveOnSocket(t, func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, "part of the res")
					_ = http.NewResponseController(w).Flush()
					if breakOff {
						panic(http.ErrAbortHandler)
					}
				})
				for n := range 20 {
					conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
					if err != nil {
						t.Fatal(err)
					}
					_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
					if _, err := io.WriteString(conn, "GET / HTTP/"+version+"\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
						t.Fatal(err)
					}
					if err := readWhole(conn); (err == nil) == breakOff {
						t.Errorf("response %d: unexpected error %v", n, err)
					}
					conn.Close()
				}
			})
		}
	}
}

// readWhole reads a response to its end.
func readWhole(conn net.Conn) error {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return err
}

// serveOnSocket serves requests on a port of the loopback interface until the test ends, and returns its address.
func serveOnSocket(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	record := func(event.Event) {}
	server := NewServer(handler, limits, NewMemory(1<<20), isModelPath, record)
	listener := WrapListener(server, inner, 100, record)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Shutdown(context.Background())
		<-done
	})
	return inner.Addr().String()
}
