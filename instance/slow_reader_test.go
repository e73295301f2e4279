package instance_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"teaselgate/standin/backend"
	"teaselgate/standin/caller"
)

// Sizes of the test of slow readers.
const (
	slowReaders       = 500
	slowResponseBytes = 200_000
	processMemory     = 112_000_000 // bytes that the process may use
	bodyMemory        = 32_000_000  // bytes that it may hold for callers
	othersServed      = 60          // requests of other callers meanwhile
)

// Callers that read slowly must take nothing from others, and must not make the instance exceed its memory: at the users' sites
// a process that does is killed. The instance runs as a process of its own, whose memory the kernel counts.
func TestSlowReadersTakeNothingFromOthers(t *testing.T) {
	site := newStoreSite(t)
	site.servers["s0"].SetFaults(backend.Faults{LongBody: slowResponseBytes})
	address, process := startProcess(t, site.url)
	var readers sync.WaitGroup
	ctx, stop := context.WithCancel(t.Context())
	defer readers.Wait()
	defer stop()
	for n := range slowReaders {
		readers.Go(func() { readSlowly(ctx, t, address, fmt.Sprintf("slow%d", n)) })
	}
	time.Sleep(2 * time.Second)
	client := &http.Client{Timeout: 10 * time.Second}
	for n := range othersServed {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/status/1", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Host = caller.Host
		caller.Request{ID: fmt.Sprintf("other%d", n), Key: accountKey, Deadline: time.Second}.SetHeaders(req.Header)
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK || len(body) != slowResponseBytes {
			t.Fatalf("request %d beside slow readers got status %d and %d bytes, error %v", n, resp.StatusCode, len(body), err)
		}
	}
	if peak := peakMemory(t, process.Process.Pid); peak > processMemory {
		t.Errorf("the process used %d bytes, %d are allowed", peak, processMemory)
	}
	if process.ProcessState != nil {
		t.Errorf("the process ended: %v", process.ProcessState)
	}
}

// readSlowly sends a request and reads its response by some bytes a second, until the context ends.
func readSlowly(ctx context.Context, t *testing.T, address, id string) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(4096)
	}
	header := http.Header{}
	caller.Request{ID: id, Key: accountKey, Deadline: time.Second}.SetHeaders(header)
	var text strings.Builder
	fmt.Fprintf(&text, "GET /status/1 HTTP/1.1\r\nHost: %s\r\n", caller.Host)
	if err := header.Write(&text); err != nil {
		t.Error(err)
	}
	if _, err := io.WriteString(conn, text.String()+"\r\n"); err != nil {
		return
	}
	piece := make([]byte, 64)
	for ctx.Err() == nil {
		if _, err := conn.Read(piece); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// startProcess builds the program and starts an instance as a process. It returns the address for callers.
func startProcess(t *testing.T, storeURL string) (string, *exec.Cmd) {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "teaselgate")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "..").CombinedOutput(); err != nil {
		t.Fatalf("unable to build: %v, %s", err, out)
	}
	addresses := make([]string, 3)
	for n := range addresses {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[n] = l.Addr().String()
		l.Close()
	}
	settings := filepath.Join(dir, "i1.yaml")
	text := fmt.Sprintf("name: i1\nzone: a\nlisten: %s\nadmin: %s\npeer: %s\nplatform: %s\nsource: store\n"+
		"limit: {process: %d, memory: %d}\nlog: {format: json}\n", addresses[0], addresses[1], addresses[2], storeURL, processMemory, bodyMemory)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(context.Background(), binary, "serve", "--settings", settings)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for range maxPolls {
		resp, err := http.Get("http://" + addresses[1] + "/ready") //nolint:noctx // a poll on loopback
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return addresses[0], cmd
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatal("the process is not ready in time")
	return "", nil
}

// peakMemory returns the most memory that a process has had, in bytes.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kb << 10
		}
	}
	t.Fatal("the kernel states no peak")
	return 0
}
