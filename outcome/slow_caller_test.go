package outcome_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// TestSilentCallerIsBounded has a caller that reads nothing while an engine generates far more than the
// sockets hold. The engine must be freed, and other callers must go on.
func TestSilentCallerIsBounded(t *testing.T) {
	b := newBench(t, 1)
	defer b.close()
	conn, err := net.Dial("tcp", b.nodes[0].at)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
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
