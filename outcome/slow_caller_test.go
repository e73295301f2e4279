package outcome_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const smallBufferBytes = 4 << 10 // size of a socket buffer

// serveWithSmallBuffer serves a handler on connections with small send buffers, and returns its address.
func serveWithSmallBuffer(t *testing.T, handler http.Handler) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallBufferBytes)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// The caller reads nothing while an engine generates far more than the socket buffers hold. The engine must release the
// memory of the attempt, and requests of other callers must work.
func TestStalledCallerReleasesEngine(t *testing.T) {
	b := newTestbed(t, 1)
	defer b.close()
	conn, err := net.Dial("tcp", serveWithSmallBuffer(t, b.instances[0].handler))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBufferBytes); err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(map[string]any{"prompt": strings.Repeat("silent ", 100), "max_tokens": 32768, "stream": true})
	fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		b.key, len(body), body)
	ctx, stop := context.WithTimeout(b.ctx, releaseTimeout)
	defer stop()
	for b.heldPieces() == 0 && ctx.Err() == nil {
		_ = fastWait(ctx, 20*time.Millisecond)
	}
	if result := b.call(b.ctx, b.instances[0], kindStream, "other"); result != resultWhole {
		t.Errorf("unexpected result of another caller, got %s instead of %s", result, resultWhole)
	}
	b.checkReleased()
}
