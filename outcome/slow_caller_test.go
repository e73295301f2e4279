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

const smallBuffer = 4 << 10 // bytes in a socket

// serveSmall serves a handler on connections that hold little of what is sent.
func serveSmall(t *testing.T, handler http.Handler) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, smallBuffer)
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

// TestSilentCallerIsBounded has a caller that reads nothing while an engine generates far more than the
// sockets hold. The engine must be freed, and other callers must go on.
func TestSilentCallerIsBounded(t *testing.T) {
	b := newBench(t, 1)
	defer b.close()
	conn, err := net.Dial("tcp", serveSmall(t, b.nodes[0].handler))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(smallBuffer); err != nil {
		t.Fatal(err)
	}
	body, _ := json.Marshal(map[string]any{"prompt": strings.Repeat("silent ", 100), "max_tokens": 32768, "stream": true})
	fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		b.key, len(body), body)
	ctx, stop := context.WithTimeout(b.ctx, settleLimit)
	defer stop()
	for b.held() == 0 && ctx.Err() == nil {
		_ = fastWait(ctx, 20*time.Millisecond)
	}
	if saw := b.call(b.ctx, b.nodes[0], stream, "other"); saw != sawWhole {
		t.Errorf("unexpected answer beside a silent caller, got %s instead of %s", saw, sawWhole)
	}
	b.settle()
}
